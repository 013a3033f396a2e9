//! The threads that communicate with other nodes.

use crate::adoption;
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

/// Interval between polls of the membership core, which must be polled at least every 100 ms.
const TICK: Duration = Duration::from_millis(50);

/// Interval between manifest queries to each listed node while the table can't be read.
const QUERY_INTERVAL: Duration = Duration::from_millis(1000);

/// Age of the last table read after which peers are queried for the manifest.
const MAX_READ_AGE: Duration = Duration::from_millis(1500);

/// Timeout of connecting and of each read and write of a proposal exchange.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Threads that answer proposals; as many more may queue, and further connections are closed.
const PROPOSAL_THREADS: usize = 4;

/// The manifest queries to peers that are not answered yet.
#[derive(Default)]
pub(crate) struct Queries {
    last_sequence: u32,
    /// The queried VM and the time at which the query was sent, by sequence number.
    pending: HashMap<u32, (id::Vm, Instant)>,
}

impl Queries {
    fn register(&mut self, vm: &id::Vm, now: Instant) -> u32 {
        self.pending
            .retain(|_, (_, sent_at)| now.saturating_since(*sent_at) < adopt::EVIDENCE_TTL);
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.pending.insert(self.last_sequence, (vm.clone(), now));
        self.last_sequence
    }

    /// Takes the query that a report answers and returns the time at which it was sent.
    ///
    /// Returns `None` if there is no such query or another VM was queried. Each query accepts
    /// one report.
    fn take(&mut self, sequence: u32, vm: &id::Vm) -> Option<Instant> {
        let (queried, sent_at) = self.pending.get(&sequence)?;
        let sent_at = (queried == vm).then_some(*sent_at)?;
        self.pending.remove(&sequence);
        Some(sent_at)
    }
}

/// Receives datagrams until the node stops.
pub(crate) fn receive(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    queries: &Mutex<Queries>,
    rng: &mut SmallRng,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    while !shared.is_stopped() {
        // The socket has a read timeout, so that the loop notices when the node stops.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match wire::from_slice(&buffer[..length]) {
            Ok(frame) => on_frame(shared, socket, queries, &frame, from, rng),
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
    queries: &Mutex<Queries>,
    frame: &Frame,
    from: SocketAddr,
    rng: &mut SmallRng,
) {
    match frame {
        Frame::Query { vm, sequence } => answer_query(shared, socket, vm, *sequence, from),
        Frame::Report(report) => on_report(shared, queries, report, rng),
        _ => {
            if let Some(header) = frame.header() {
                let accepted = shared
                    .recorder
                    .observe(header.status.stamp, shared.timestamp());
                // A rejected stamp is counted; the membership data of the frame is still used.
                if !accepted {
                    shared.metrics.count("frame.refused");
                }
                record_revision(shared, header);
            }
            let (now, status) = (shared.now(), status(shared));
            let actions = lock(&shared.members).on_frame(frame, now, &status, rng);
            match actions {
                Ok(actions) => execute(shared, socket, actions),
                Err(error) => {
                    shared.metrics.count("frame.refused");
                    tracing::debug!(%from, %error, "frame_refused");
                }
            }
        }
    }
}

/// Records the revision that a listed node reports, for `GET /v1/status`.
fn record_revision(shared: &Shared, header: &wire::Header) {
    let listed = lock(&shared.members).address(&header.vm).is_some();
    if listed {
        lock(&shared.revisions).insert(header.vm.clone(), header.status.revision);
    }
}

fn answer_query(shared: &Shared, socket: &UdpSocket, vm: &id::Vm, sequence: u32, from: SocketAddr) {
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
    queries: &Mutex<Queries>,
    report: &wire::Report,
    rng: &mut SmallRng,
) {
    // Discard reports without a pending query to that VM: the validity of a report is counted
    // from the time at which its query was sent.
    let Some(sent_at) = lock(queries).take(report.sequence, &report.vm) else {
        shared.metrics.count("frame.refused");
        return;
    };
    let event = Event::PeerReport {
        vm: report.vm.clone(),
        sent_at,
        report: adopt::Report {
            revision: report.revision,
            operation: report.operation,
            pending: report.pending.clone(),
            settled: report.settled,
        },
    };
    adoption::drive(shared, event, rng);
}

/// Polls the membership core, and queries peers for the manifest while the table is unavailable.
pub(crate) fn tick(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    queries: &Mutex<Queries>,
    rng: &mut SmallRng,
) {
    let mut queried_at = Instant::default();
    while !shared.is_stopped() {
        let (now, status) = (shared.now(), status(shared));
        let actions = lock(&shared.members).tick(now, &status, rng);
        execute(shared, socket, actions);
        if now.saturating_since(queried_at) >= QUERY_INTERVAL && is_read_overdue(shared, now) {
            queried_at = now;
            query_peers(shared, socket, queries, now);
        }
        std::thread::sleep(TICK);
    }
}

fn is_read_overdue(shared: &Shared, now: Instant) -> bool {
    let last_read_at = lock(&shared.adoption).last_read();
    last_read_at.is_some_and(|sent_at| now.saturating_since(sent_at) > MAX_READ_AGE)
}

fn query_peers(shared: &Shared, socket: &UdpSocket, queries: &Mutex<Queries>, now: Instant) {
    let entries = lock(&shared.adoption)
        .manifest()
        .map(|manifest| manifest.entry_vms.clone());
    for entry in entries.unwrap_or_default() {
        if entry.vm == shared.settings.vm {
            continue;
        }
        let sequence = lock(queries).register(&entry.vm, now);
        let vm = shared.settings.vm.clone();
        send(socket, &Frame::Query { vm, sequence }, entry.peer);
    }
}

/// Returns the status that this node's membership frames carry.
pub(crate) fn status(shared: &Shared) -> Status {
    let stamp = shared.recorder.stamp(shared.timestamp());
    let adoption = lock(&shared.adoption);
    Status {
        stamp,
        revision: adoption.revision(),
    }
}

pub(crate) fn execute(shared: &Shared, socket: &UdpSocket, actions: Vec<Action>) {
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

/// Begins a graceful shutdown, which [`Node::join`](crate::Node::join) completes.
pub(crate) fn begin_drain(shared: &Shared) {
    let now = shared.now();
    let actions = lock(&shared.drain).begin(now);
    lock(&shared.drain_actions).extend(actions);
}

fn send(socket: &UdpSocket, frame: &Frame, to: SocketAddr) {
    match wire::to_vec(frame) {
        // Ignore send errors: the protocol tolerates the loss of datagrams.
        Ok(bytes) => drop(socket.send_to(&bytes, to)),
        Err(error) => tracing::error!(%error, "frame_not_encoded"),
    }
}

/// Answers the proposals of committing nodes until the node stops.
pub(crate) fn serve_proposals(shared: &Arc<Shared>, listener: &TcpListener) {
    let Ok(pool) = crate::pool::ThreadPool::new("proposal", PROPOSAL_THREADS, PROPOSAL_THREADS)
    else {
        tracing::error!("thread_spawn_failed");
        return;
    };
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, from)) => {
                let state = shared.clone();
                let accepted = pool.run(move || {
                    if let Err(error) = serve_proposal(&state, stream) {
                        state.metrics.count("frame.refused");
                        tracing::debug!(%from, %error, "proposal_exchange_failed");
                    }
                });
                // A rejected stamp is counted; the membership data of the frame is still used.
                if !accepted {
                    shared.metrics.count("frame.refused");
                }
            }
            // The listener is non-blocking, so that the loop notices when the node stops. Accept
            // is retried every 10 ms.
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
    let vote = to_vote(evaluate_proposal(shared, &proposal));
    let answer = wire::Answer {
        operation: proposal.operation,
        vote,
    };
    wire::to_writer(&mut BufWriter::new(&stream), &Frame::Answer(answer))
}

/// Evaluates a proposal and returns this node's answer.
pub(crate) fn evaluate_proposal(shared: &Shared, proposal: &wire::Proposal) -> adopt::Answer {
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

fn to_vote(answer: adopt::Answer) -> wire::Vote {
    match answer {
        adopt::Answer::Promised => wire::Vote::Promised,
        adopt::Answer::Stale { revision } => wire::Vote::Stale(revision),
        adopt::Answer::Busy => wire::Vote::Busy,
        adopt::Answer::Unready => wire::Vote::Unready,
        adopt::Answer::Invalid => wire::Vote::Invalid,
    }
}

/// Sends a proposal to another node and waits for its answer.
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
