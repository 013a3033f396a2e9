//! The threads that talk to other nodes.

use crate::adopting;
use crate::lock;
use crate::shared::Shared;
use dogwoodlb_manifest::adopt::{self, Event};
use dogwoodlb_member::Action;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{self as wire, Frame, Status, MAX_DATAGRAM_BYTES};
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::io::{BufReader, BufWriter};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the membership core is called; it asks for at most 100 ms.
const TICK: Duration = Duration::from_millis(50);

/// How often each listed node is asked about the manifest while the table can't be read.
const ASK: Duration = Duration::from_millis(1000);

/// A read of the table older than this leads to questions to the peers.
const UNREAD: Duration = Duration::from_millis(1500);

/// The limit of a proposal's whole exchange, connecting included.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Proposals answered at the same time; further ones wait in the kernel's queue.
const PROPOSALS: usize = 4;

/// The questions to peers that are not answered yet.
#[derive(Default)]
pub(crate) struct Questions {
    next: u32,
    /// Which VM was asked, and when.
    open: HashMap<u32, (id::Vm, Instant)>,
}

impl Questions {
    fn ask(&mut self, vm: &id::Vm, now: Instant) -> u32 {
        self.open
            .retain(|_, (_, began)| now.saturating_since(*began) < adopt::EVIDENCE_TTL);
        self.next = self.next.wrapping_add(1);
        self.open.insert(self.next, (vm.clone(), now));
        self.next
    }

    /// Returns when the question was sent that a VM answers; each question has one answer.
    fn take(&mut self, sequence: u32, vm: &id::Vm) -> Option<Instant> {
        let (asked, began) = self.open.get(&sequence)?;
        let began = (asked == vm).then_some(*began)?;
        self.open.remove(&sequence);
        Some(began)
    }
}

/// Receives datagrams until the node stops.
pub(crate) fn receive(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    questions: &Mutex<Questions>,
    rng: &mut SmallRng,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    while !shared.is_stopped() {
        // The socket has a read timeout, so that the loop sees the node's end.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match wire::from_slice(&buffer[..length]) {
            Ok(frame) => on_frame(shared, socket, questions, &frame, from, rng),
            Err(error) => {
                shared.metrics.count("frame.refused");
                tracing::debug!(%from, %error, "frame_refused");
            }
        }
    }
}

fn on_frame(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    questions: &Mutex<Questions>,
    frame: &Frame,
    from: SocketAddr,
    rng: &mut SmallRng,
) {
    match frame {
        Frame::Query { vm, sequence } => answer(shared, socket, vm, *sequence, from),
        Frame::Report(report) => on_report(shared, questions, report, rng),
        _ => {
            if let Some(header) = frame.header() {
                let plausible = shared
                    .recorder
                    .observe(header.status.stamp, shared.timestamp());
                if !plausible {
                    shared.metrics.count("frame.refused");
                }
                note_revision(shared, header);
            }
            let (now, status) = (shared.now(), status(shared));
            let actions = lock(&shared.members).on_frame(frame, now, &status, rng);
            match actions {
                Ok(actions) => carry_out(shared, socket, actions),
                Err(error) => {
                    shared.metrics.count("frame.refused");
                    tracing::debug!(%from, %error, "frame_refused");
                }
            }
        }
    }
}

/// Keeps the revision that a listed node reports, for operators to see.
fn note_revision(shared: &Shared, header: &wire::Header) {
    let listed = lock(&shared.members).address(&header.vm).is_some();
    if listed {
        lock(&shared.revisions).insert(header.vm.clone(), header.status.revision);
    }
}

fn answer(shared: &Shared, socket: &UdpSocket, vm: &id::Vm, sequence: u32, from: SocketAddr) {
    let report = lock(&shared.adoption).report();
    let frame = Frame::Report(wire::Report {
        vm: shared.settings.vm.clone(),
        sequence,
        revision: report.revision,
        operation: report.operation,
        pending: report.pending,
        settled: report.settled,
    });
    let to = lock(&shared.members).address(vm).unwrap_or(from);
    send(socket, &frame, to);
}

fn on_report(
    shared: &Arc<Shared>,
    questions: &Mutex<Questions>,
    report: &wire::Report,
    rng: &mut SmallRng,
) {
    // A report to a question that is no longer open, or that another VM was asked, proves
    // nothing.
    let Some(began) = lock(questions).take(report.sequence, &report.vm) else {
        shared.metrics.count("frame.refused");
        return;
    };
    let event = Event::PeerReport {
        vm: report.vm.clone(),
        began,
        report: adopt::Report {
            revision: report.revision,
            operation: report.operation,
            pending: report.pending.clone(),
            settled: report.settled,
        },
    };
    adopting::drive(shared, event, rng);
}

/// Runs the membership core, and asks peers about the manifest while the table is down.
pub(crate) fn tick(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    questions: &Mutex<Questions>,
    rng: &mut SmallRng,
) {
    let mut asked = Instant::default();
    while !shared.is_stopped() {
        let (now, status) = (shared.now(), status(shared));
        let actions = lock(&shared.members).tick(now, &status, rng);
        carry_out(shared, socket, actions);
        if now.saturating_since(asked) >= ASK && is_unread(shared, now) {
            asked = now;
            ask(shared, socket, questions, now);
        }
        std::thread::sleep(TICK);
    }
}

fn is_unread(shared: &Shared, now: Instant) -> bool {
    let last = lock(&shared.adoption).last_read();
    last.is_some_and(|began| now.saturating_since(began) > UNREAD)
}

fn ask(shared: &Shared, socket: &UdpSocket, questions: &Mutex<Questions>, now: Instant) {
    let listed = lock(&shared.adoption)
        .manifest()
        .map(|manifest| manifest.entry_vms.clone());
    for entry in listed.unwrap_or_default() {
        if entry.vm == shared.settings.vm {
            continue;
        }
        let sequence = lock(questions).ask(&entry.vm, now);
        let vm = shared.settings.vm.clone();
        send(socket, &Frame::Query { vm, sequence }, entry.peer);
    }
}

/// Returns what this node's frames carry.
pub(crate) fn status(shared: &Shared) -> Status {
    let stamp = shared.recorder.stamp(shared.timestamp());
    let adoption = lock(&shared.adoption);
    Status {
        stamp,
        revision: adoption.revision(),
    }
}

pub(crate) fn carry_out(shared: &Shared, socket: &UdpSocket, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, frame } => send(socket, &frame, to),
            Action::Changed {
                vm,
                state,
                incarnation,
            } => {
                shared
                    .recorder
                    .record(shared.timestamp(), "member_changed", |event| {
                        event
                            .with("member", vm)
                            .with("state", format!("{state:?}").to_lowercase())
                            .with("incarnation", incarnation)
                    });
            }
        }
    }
}

/// Begins a graceful shutdown; the thread in [`Node::join`](crate::Node::join) carries it on.
pub(crate) fn begin_drain(shared: &Shared) {
    let now = shared.now();
    let steps = lock(&shared.drain).begin(now);
    lock(&shared.begun).extend(steps);
}

fn send(socket: &UdpSocket, frame: &Frame, to: SocketAddr) {
    match wire::to_vec(frame) {
        // A datagram that can't be sent is lost, as any datagram may be.
        Ok(bytes) => drop(socket.send_to(&bytes, to)),
        Err(error) => tracing::error!(%error, "frame_not_sent"),
    }
}

/// Answers proposals of committing nodes until the node stops.
pub(crate) fn serve_proposals(shared: &Arc<Shared>, listener: &TcpListener) {
    let Ok(pool) = crate::pool::Pool::new("proposal", PROPOSALS, PROPOSALS) else {
        tracing::error!("thread_failed");
        return;
    };
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, from)) => {
                let one = shared.clone();
                let accepted = pool.run(move || {
                    if let Err(error) = serve_proposal(&one, stream) {
                        one.metrics.count("frame.refused");
                        tracing::debug!(%from, %error, "proposal_refused");
                    }
                });
                if !accepted {
                    shared.metrics.count("frame.refused");
                }
            }
            // The listener is non-blocking, so that the loop sees the node's end.
            Err(_) => std::thread::sleep(TICK / 5),
        }
    }
}

fn serve_proposal(shared: &Shared, stream: TcpStream) -> wire::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(PROPOSAL_TIMEOUT))?;
    stream.set_write_timeout(Some(PROPOSAL_TIMEOUT))?;
    let frame = wire::from_reader(&mut BufReader::new(&stream))?;
    let Frame::Propose(proposal) = frame else {
        return Ok(());
    };
    let vote = vote(answer_own(shared, &proposal));
    let answer = wire::Answer {
        operation: proposal.operation,
        vote,
    };
    wire::to_writer(&mut BufWriter::new(&stream), &Frame::Answer(answer))
}

/// Answers a proposal on behalf of this node.
pub(crate) fn answer_own(shared: &Shared, proposal: &wire::Proposal) -> adopt::Answer {
    let proposal = adopt::Proposal {
        operation: proposal.operation,
        operator: proposal.operator.clone(),
        base: proposal.base,
        row_version: proposal.row_version,
        text: proposal.text.clone(),
    };
    let now = shared.now();
    let answer = {
        let mut rng = lock(&shared.rng);
        lock(&shared.adoption).on_proposal(&proposal, now, &mut *rng)
    };
    shared
        .recorder
        .record(shared.timestamp(), "proposal_answered", |event| {
            event
                .with("operation", proposal.operation)
                .with("answer", format!("{answer:?}"))
        });
    answer
}

fn vote(answer: adopt::Answer) -> wire::Vote {
    match answer {
        adopt::Answer::Promised => wire::Vote::Promised,
        adopt::Answer::Stale { revision } => wire::Vote::Stale(revision),
        adopt::Answer::Busy => wire::Vote::Busy,
        adopt::Answer::Unready => wire::Vote::Unready,
        adopt::Answer::Invalid => wire::Vote::Invalid,
    }
}

/// Sends a proposal to a node and waits for its answer.
pub(crate) fn propose(to: SocketAddr, proposal: &wire::Proposal) -> wire::Result<adopt::Answer> {
    let stream = TcpStream::connect_timeout(&to, PROPOSAL_TIMEOUT)?;
    stream.set_read_timeout(Some(PROPOSAL_TIMEOUT))?;
    stream.set_write_timeout(Some(PROPOSAL_TIMEOUT))?;
    wire::to_writer(
        &mut BufWriter::new(&stream),
        &Frame::Propose(proposal.clone()),
    )?;
    match wire::from_reader(&mut BufReader::new(&stream))? {
        Frame::Answer(answer) if answer.operation == proposal.operation => Ok(match answer.vote {
            wire::Vote::Promised => adopt::Answer::Promised,
            wire::Vote::Stale(revision) => adopt::Answer::Stale { revision },
            wire::Vote::Busy => adopt::Answer::Busy,
            wire::Vote::Unready => adopt::Answer::Unready,
            wire::Vote::Invalid => adopt::Answer::Invalid,
        }),
        _ => Ok(adopt::Answer::Invalid),
    }
}
