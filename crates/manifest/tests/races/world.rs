//! Simulates eleven nodes with their clocks and their network in virtual time.

use super::store::{Call, Reply, Request, Requester, Store};
use dogwoodlb_external::Category;
use dogwoodlb_manifest::adopt::{self, Adoption};
use dogwoodlb_manifest::commit::{self, Commit};
use dogwoodlb_manifest::record::{self, CURRENT};
use dogwoodlb_types::{id, Instant, Refusal};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

pub(crate) const NODES: usize = 11;
/// The time until which messages and responses of the table are lost and delayed.
pub(crate) const FAULTY_MS: u64 = 60_000;
const CLIENT_TIMEOUT_MS: u64 = 1_000;
/// The difference between the initial clocks of two consecutive nodes, in milliseconds.
const ORIGIN_MS: u64 = 77_777;
/// The group of nodes that cannot reach the table.
pub(crate) const CUT_OFF: u8 = 2;

#[derive(Clone, Debug)]
enum Message {
    Ping(usize, Instant),
    Ack(usize, Instant, adopt::Report),
    /// The index of a commit, the node that sent it and the proposal.
    Propose(usize, usize, adopt::Proposal),
    /// The index of a commit, the answering node, the row version and the answer.
    Answer(usize, usize, u64, adopt::Answer),
    Reply(Requester, Instant, Reply),
}

#[derive(Clone, Debug)]
enum Event {
    /// Delivers a message to a node. With an incarnation, it is dropped if the node has restarted.
    Deliver(usize, Option<u64>, Message),
    Table(Call),
}

pub(crate) struct Node {
    pub(crate) adoption: Adoption,
    incarnation: u64,
    pub(crate) paused_until: u64,
    /// The network partition; nodes of different groups cannot reach each other.
    pub(crate) group: u8,
    pub(crate) revision: id::Revision,
}

pub(crate) struct CommitRun {
    pub(crate) node: usize,
    incarnation: u64,
    commit: Commit,
    pub(crate) base: u64,
    pub(crate) operation: id::Operation,
    pub(crate) result: Option<Result<id::Revision, Refusal>>,
}

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(crate) store: Store,
    pub(crate) down_since: u64,
    pub(crate) down_until: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) runs: Vec<CommitRun>,
    pub(crate) ambiguous: usize,
}

fn name(node: usize) -> id::Vm {
    format!("e{node}").parse().unwrap()
}

/// Returns a manifest with random callers that often omits one or two of the VMs.
fn random_manifest(rng: &mut StdRng, mark: usize) -> String {
    let absent = [
        rng.random_range(0..2 * NODES),
        rng.random_range(0..3 * NODES),
    ];
    let vms = (0..NODES).filter(|vm| !absent.contains(vm)).map(|vm| {
        format!(
            r#"{{"vm": "e{vm}", "region": "r", "centre": "c", "address": "10.0.0.{vm}:1",
            "peer": "10.0.0.{vm}:2"}}"#
        )
    });
    let vms = vms.collect::<Vec<_>>().join(",");
    let callers = (0..8).filter(|_| rng.random_bool(0.7));
    let callers = callers.map(|one| format!(r#"{{"caller": "c{one}", "class": "customer"}}"#));
    let callers = callers.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"entry_vms": [{vms}], "callers": [{callers}],
        "models": [{{"model": "m{mark}", "version": 1, "object": "o"}}]}}"#
    )
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let node = |vm| Node {
            adoption: Adoption::new(name(vm), Instant::from_millis(vm as u64 * ORIGIN_MS)),
            incarnation: 1,
            paused_until: 0,
            group: 0,
            revision: id::Revision(0),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            store: Store::default(),
            down_since: 0,
            down_until: 0,
            nodes: (0..NODES).map(node).collect(),
            runs: Vec::new(),
            ambiguous: 0,
        }
    }

    /// Returns the clock of a node, which has its own origin and a rate error of up to 1%.
    pub(crate) fn local(&self, node: usize) -> Instant {
        let (node, rate) = (node as u64, 990 + 2 * node as u64);
        Instant::from_millis(node * ORIGIN_MS + self.now * rate / 1_000)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Returns a random delay, which is long with the given probability while faults are injected.
    fn delay(&mut self, probability: f64, longest: u64) -> u64 {
        let is_slow = self.now < FAULTY_MS && self.rng.random_bool(probability);
        self.rng
            .random_range(if is_slow { 100..longest } else { 1..20 })
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_separated = self.nodes[from].group != self.nodes[to].group;
        let is_lost = self.now < FAULTY_MS && self.rng.random_bool(0.03);
        if from == to || !(is_separated || is_lost) {
            let at = self.now + self.delay(0.02, 4_000);
            self.push(at, Event::Deliver(to, None, message));
        }
    }

    fn send_request(&mut self, node: usize, requester: Requester, request: Request) {
        // The long delays of a commit's write also simulate a node that is paused between the
        // promises and the write.
        let is_commit_write = matches!(
            (&request, requester),
            (Request::Write(_), Requester::Commit(_))
        );
        let delay = self.delay(if is_commit_write { 0.2 } else { 0.03 }, 9_000);
        let call = Call {
            node,
            incarnation: self.nodes[node].incarnation,
            requester,
            sent_at: self.local(node),
            request,
            is_answered: delay < CLIENT_TIMEOUT_MS,
        };
        if !call.is_answered {
            let reply = call.request.failed(Category::Ambiguous);
            self.reply(&call, reply, CLIENT_TIMEOUT_MS);
        }
        self.push(self.now + delay, Event::Table(call));
    }

    fn reply(&mut self, call: &Call, reply: Reply, delay: u64) {
        let message = Message::Reply(call.requester, call.sent_at, reply);
        let event = Event::Deliver(call.node, Some(call.incarnation), message);
        self.push(self.now + delay, event);
    }

    fn on_table(&mut self, call: &Call) {
        let is_lost = self.now < FAULTY_MS && self.rng.random_bool(0.1);
        let is_down = self.now < self.down_until || self.nodes[call.node].group == CUT_OFF;
        let mut reply = call.request.failed(match self.rng.random_bool(0.5) {
            true => Category::NotSent,
            false => Category::Ambiguous,
        });
        if !is_down {
            reply = self.store.on_request(&call.request, self.now);
            if is_lost {
                reply = call.request.failed(Category::Ambiguous);
            }
        }
        if call.is_answered {
            let delay = if is_down {
                300
            } else {
                self.rng.random_range(1..20)
            };
            self.reply(call, reply, delay);
        }
    }

    fn on_adoption_event(&mut self, node: usize, event: adopt::Event) {
        let now = self.local(node);
        let adoption = &mut self.nodes[node].adoption;
        for action in adoption.on_event(event, now, &mut self.rng) {
            let request = match action {
                adopt::Action::Read => Request::Read(CURRENT.to_owned()),
                adopt::Action::ReadRevision(revision) => Request::Read(record::key(revision)),
                adopt::Action::Close(txn) => Request::Write(txn),
                adopt::Action::Adopted(revision) => {
                    assert!(revision > self.nodes[node].revision);
                    self.nodes[node].revision = revision;
                    continue;
                }
            };
            let is_text = matches!(&request, Request::Read(key) if key != CURRENT);
            let requester = if is_text {
                Requester::Text
            } else {
                Requester::Pointer
            };
            self.send_request(node, requester, request);
        }
    }

    /// Starts a commit on a node and returns its index.
    pub(crate) fn commit(&mut self, node: usize, base: u64) -> usize {
        let number = self.runs.len();
        let operation = id::Operation(self.rng.random());
        let operator = format!("op-{number}").parse().unwrap();
        let text = random_manifest(&mut self.rng, number);
        let (revision, now) = (id::Revision(base), self.local(node));
        let (commit, actions) = Commit::new(operation, operator, revision, text, now).unwrap();
        self.runs.push(CommitRun {
            node,
            incarnation: self.nodes[node].incarnation,
            commit,
            base,
            operation,
            result: None,
        });
        self.execute(number, actions);
        number
    }

    fn on_commit_event(&mut self, run: usize, event: commit::Event) {
        let now = self.local(self.runs[run].node);
        let actions = self.runs[run].commit.on_event(event, now);
        self.execute(run, actions);
    }

    fn execute(&mut self, run: usize, actions: Vec<commit::Action>) {
        let node = self.runs[run].node;
        for action in actions {
            match action {
                commit::Action::Read(key) => {
                    self.send_request(node, Requester::Commit(run), Request::Read(key))
                }
                commit::Action::Write(txn) => {
                    self.send_request(node, Requester::Commit(run), Request::Write(txn))
                }
                commit::Action::Propose { vms, proposal } => {
                    for vm in vms {
                        let to = vm.as_str()[1..].parse().unwrap();
                        self.send(node, to, Message::Propose(run, node, proposal.clone()));
                    }
                }
                commit::Action::Done(result) => {
                    assert!(self.runs[run].result.replace(result).is_none());
                }
            }
        }
    }

    fn deliver(&mut self, node: usize, message: Message) {
        match message {
            Message::Ping(from, sent_at) => {
                let report = self.nodes[node].adoption.report();
                self.send(node, from, Message::Ack(node, sent_at, report));
            }
            Message::Ack(from, sent_at, report) => {
                let vm = name(from);
                self.on_adoption_event(
                    node,
                    adopt::Event::PeerReport {
                        vm,
                        sent_at,
                        report,
                    },
                );
            }
            Message::Propose(run, from, proposal) => {
                let now = self.local(node);
                let adoption = &mut self.nodes[node].adoption;
                let answer = adoption.on_proposal(&proposal, now, &mut self.rng);
                let message = Message::Answer(run, node, proposal.row_version, answer);
                self.send(node, from, message);
            }
            Message::Answer(run, from, row_version, answer) if self.is_active(run) => {
                let vm = name(from);
                let event = commit::Event::Answer {
                    vm,
                    row_version,
                    answer,
                };
                self.on_commit_event(run, event);
            }
            Message::Answer(..) => {}
            Message::Reply(requester, sent_at, reply) => {
                self.on_reply(node, requester, sent_at, reply)
            }
        }
    }

    fn on_reply(&mut self, node: usize, requester: Requester, sent_at: Instant, reply: Reply) {
        match (requester, reply) {
            (Requester::Commit(run), Reply::Read(key, result)) => {
                self.on_commit_event(run, commit::Event::Row { key, result });
            }
            (Requester::Commit(run), Reply::Write(result)) => {
                self.ambiguous += usize::from(result == Err(Category::Ambiguous));
                self.on_commit_event(run, commit::Event::Written(result));
            }
            (Requester::Pointer, Reply::Read(_, Ok(row))) => {
                self.on_adoption_event(node, adopt::Event::Read { sent_at, row });
            }
            (_, Reply::Read(_, Ok(row))) => {
                self.on_adoption_event(node, adopt::Event::Revision { row })
            }
            (_, Reply::Read(_, Err(_))) => self.on_adoption_event(node, adopt::Event::ReadFailed),
            (_, Reply::Write(_)) => {}
        }
    }

    fn is_active(&self, run: usize) -> bool {
        let run = &self.runs[run];
        self.nodes[run.node].incarnation == run.incarnation && run.result.is_none()
    }

    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused_until > self.now
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let now = self.local(node);
        let state = &mut self.nodes[node];
        state.adoption = Adoption::new(name(node), now);
        state.incarnation += 1;
        state.revision = id::Revision(0);
    }

    /// Advances the time by 10 ms.
    pub(crate) fn advance(&mut self) {
        self.now += 10;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::Deliver(node, incarnation, message) if self.is_paused(node) => {
                    let at = self.nodes[node].paused_until;
                    self.push(at, Event::Deliver(node, incarnation, message));
                }
                Event::Deliver(node, Some(incarnation), _)
                    if self.nodes[node].incarnation != incarnation => {}
                Event::Deliver(node, _, message) => self.deliver(node, message),
                Event::Table(call) => self.on_table(&call),
            }
        }
        self.tick();
    }

    fn tick(&mut self) {
        for node in 0..NODES {
            let is_due = self.now.is_multiple_of(50) && !self.is_paused(node);
            if is_due {
                self.on_adoption_event(node, adopt::Event::Tick);
            }
            if is_due && (self.now / 50 + node as u64).is_multiple_of(10) {
                let sent_at = self.local(node);
                for to in (0..NODES).filter(|&to| to != node) {
                    self.send(node, to, Message::Ping(node, sent_at));
                }
            }
        }
        for run in 0..self.runs.len() {
            if self.now.is_multiple_of(50)
                && self.is_active(run)
                && !self.is_paused(self.runs[run].node)
            {
                self.on_commit_event(run, commit::Event::Tick);
            }
        }
    }
}
