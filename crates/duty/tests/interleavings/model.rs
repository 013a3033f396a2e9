//! Nodes, store and provider of one duty, in discrete time.

use dogwoodlb_duty::{
    ClaimWrite, Holder, Moment, Progress, Record, Schedule, Task, Token, Windows,
};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::StoreTime;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(300);
const LEASE: Duration = Duration::from_millis(600);
/// How long a call without a response may be on its way. The sender waits as long.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(600);
const WINDOWS: u64 = 2;
const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(1),
    decide_after: Duration::ZERO,
    keep: Duration::from_secs(1_000),
};

/// What may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Budget {
    pub(crate) ticks: u32,
    pub(crate) claims: u32,
    pub(crate) crashes: u32,
    /// Commits, calls and replies that may be lost, and replies that may be given up.
    pub(crate) losses: u32,
}

#[derive(Clone, Debug, Hash)]
struct Commit {
    sender: usize,
    write: ClaimWrite,
    /// The report that is decided with the claim.
    report: Option<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq)]
struct Call {
    sender: usize,
    fence: u64,
    window: u64,
    counts: u64,
    sent: Duration,
}

#[derive(Clone, Debug, Hash)]
enum Phase {
    Idle,
    /// The nonce of the claim, and the window whose report is to be sent.
    Committing(u64, Option<u64>),
    Ready(Token, u64),
    Calling(Call),
}

#[derive(Clone, Debug, Hash)]
struct Node {
    holder: Holder,
    windows: Option<Windows>,
    phase: Phase,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct State {
    now: Duration,
    budget: Budget,
    nodes: Vec<Node>,
    row: Option<(u64, Record)>,
    reports: Vec<Option<u64>>,
    version: u64,
    commits: Vec<Commit>,
    calls: Vec<Call>,
    /// The tokens sent by each node, and the time of its last call.
    fences: Vec<(u64, usize)>,
    last_sent: Vec<Option<Duration>>,
    /// The highest token that the provider got.
    highest_fence: u64,
    accepted: Vec<Option<u64>>,
    nonce: u64,
}

fn new_node(number: usize, boot: u64) -> Node {
    Node {
        holder: Holder::new(&format!("n{number}"), boot, LEASE),
        windows: None,
        phase: Phase::Idle,
    }
}

fn encode(progress: Progress) -> Vec<u8> {
    vec![progress.undecided as u8, progress.unacknowledged as u8]
}

fn decode(bytes: &[u8]) -> Progress {
    Progress {
        undecided: bytes[0].into(),
        unacknowledged: bytes[1].into(),
        unremoved: 0,
    }
}

impl State {
    pub(crate) fn new(nodes: usize, budget: Budget) -> Self {
        Self {
            now: Duration::ZERO,
            budget,
            nodes: (0..nodes).map(|number| new_node(number, 1)).collect(),
            row: None,
            reports: vec![None; WINDOWS as usize],
            version: 0,
            commits: Vec::new(),
            calls: Vec::new(),
            fences: Vec::new(),
            last_sent: vec![None; nodes],
            highest_fence: 0,
            accepted: vec![None; WINDOWS as usize],
            nonce: 0,
        }
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.accepted.iter().all(Option::is_some)
    }

    /// Returns all states that can follow.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |step: &dyn Fn(&mut Self) -> bool| {
            let mut state = self.clone();
            if step(&mut state) {
                next.push(state);
            }
        };
        if self.budget.ticks > 0 {
            add(&Self::tick);
        }
        for node in 0..self.nodes.len() {
            if self.budget.crashes > 0 {
                add(&|state| state.crash(node));
            }
            add(&|state| state.step(node));
            add(&|state| state.read_feed(node));
            add(&|state| state.give_up(node));
        }
        for index in 0..self.commits.len() {
            add(&|state| state.apply(index, true));
            if self.budget.losses > 0 {
                add(&|state| state.spend_loss() && state.apply(index, false));
                add(&|state| state.spend_loss() && state.lose_commit(index));
            }
        }
        for index in 0..self.calls.len() {
            add(&|state| state.receive(index, true));
            if self.budget.losses > 0 {
                add(&|state| state.spend_loss() && state.receive(index, false));
            }
        }
        next
    }

    fn spend_loss(&mut self) -> bool {
        self.budget.losses = self.budget.losses.wrapping_sub(1);
        self.budget.losses != u32::MAX
    }

    fn lose_commit(&mut self, index: usize) -> bool {
        self.commits.remove(index);
        true
    }

    fn local(&self) -> Instant {
        Instant::from_millis(0) + self.now
    }

    fn tick(&mut self) -> bool {
        let now = self.now + TICK;
        self.calls.retain(|call| call.sent + CALL_TIME >= now);
        self.now = now;
        self.budget.ticks = self.budget.ticks.wrapping_sub(1);
        self.budget.ticks != u32::MAX
    }

    /// A crash of an idle node differs from no step of it only in what it forgets, which it reads
    /// again before its next claim.
    fn crash(&mut self, node: usize) -> bool {
        if matches!(self.nodes[node].phase, Phase::Idle) {
            return false;
        }
        self.nodes[node] = new_node(node, 1 + u64::from(self.budget.crashes) + 10);
        self.budget.crashes = self.budget.crashes.wrapping_sub(1);
        self.budget.crashes != u32::MAX
    }

    fn read_feed(&mut self, node: usize) -> bool {
        let Some((version, record)) = self.row.clone() else {
            return false;
        };
        if !matches!(self.nodes[node].phase, Phase::Idle) {
            return false;
        }
        let holder = &mut self.nodes[node].holder;
        let before = holder.clone();
        holder.on_row(version, record);
        *holder != before
    }

    /// The node waits no longer for the reply to its commit, which may still be applied.
    fn give_up(&mut self, node: usize) -> bool {
        let Phase::Committing(nonce, _) = self.nodes[node].phase else {
            return false;
        };
        let is_late = self.commits.iter().any(|c| c.write.record.nonce == nonce);
        if is_late && !self.spend_loss() {
            return false;
        }
        self.nodes[node].holder.on_unknown();
        self.settle(node)
    }

    /// The node reads the row after a commit without a reply.
    fn settle(&mut self, node: usize) -> bool {
        let row = self.row.clone();
        let Node { holder, phase, .. } = &mut self.nodes[node];
        let token = holder.on_read(row);
        *phase = match (token, &phase) {
            (Some(token), Phase::Committing(_, Some(window))) => Phase::Ready(token, *window),
            _ => Phase::Idle,
        };
        true
    }

    /// The next step of the node's own program.
    fn step(&mut self, node: usize) -> bool {
        let now = self.local();
        match self.nodes[node].phase.clone() {
            Phase::Idle => return self.claim(node),
            Phase::Committing(..) => return false,
            Phase::Ready(token, window) if token.permits(now) => self.send(node, token, window),
            Phase::Ready(..) => self.nodes[node].phase = Phase::Idle,
            Phase::Calling(call) if call.sent + CALL_TIME < self.now => {
                self.nodes[node].phase = Phase::Idle;
            }
            Phase::Calling(_) => return false,
        }
        true
    }

    fn claim(&mut self, number: usize) -> bool {
        let store_ms = 1_000_000 + self.now.as_millis() as u64;
        let moment = Moment {
            local: self.local(),
            store: StoreTime {
                earliest_ms: store_ms,
                steady_for: Duration::from_secs(1_000),
                max_jump: Duration::ZERO,
            },
            store_latest_ms: store_ms,
        };
        let node = &mut self.nodes[number];
        let Some(stored) = node.holder.progress().map(decode) else {
            let progress = encode(SCHEDULE.first_progress(0));
            return self.write_claim(number, &moment, progress, None, None);
        };
        let windows = node
            .windows
            .get_or_insert_with(|| Windows::new(SCHEDULE, stored));
        windows.on_progress(stored);
        let (progress, report, window) = match windows.next(1_000_000) {
            Task::Decide(window) if window >= WINDOWS => return false,
            Task::Decide(window) => {
                let progress = windows.progress_after_decision(window);
                // Each decision sees other counts.
                (progress, Some((window, self.nonce)), window)
            }
            Task::Send(window) => (windows.progress(), None, window),
            task => panic!("nothing to do: {task:?}"),
        };
        self.write_claim(number, &moment, encode(progress), report, Some(window))
    }

    fn write_claim(
        &mut self,
        number: usize,
        moment: &Moment,
        progress: Vec<u8>,
        report: Option<(u64, u64)>,
        window: Option<u64>,
    ) -> bool {
        let node = &mut self.nodes[number];
        let Ok(write) = node.holder.claim(progress, self.nonce, moment) else {
            return false;
        };
        node.phase = Phase::Committing(self.nonce, window);
        self.nonce += 1;
        let sender = number;
        self.commits.push(Commit {
            sender,
            write,
            report,
        });
        self.budget.claims = self.budget.claims.wrapping_sub(1);
        self.budget.claims != u32::MAX
    }

    /// The store applies a commit. Its sender may have given up since.
    fn apply(&mut self, index: usize, is_replied: bool) -> bool {
        let commit = self.commits.remove(index);
        let version = self.row.as_ref().map_or(0, |row| row.0);
        let holds = version == commit.write.expected_version;
        if holds {
            self.version += 1;
            self.row = Some((self.version, commit.write.record.clone()));
            if let Some((window, counts)) = commit.report {
                let report = &mut self.reports[window as usize];
                assert_eq!(*report, None, "a report is decided twice");
                *report = Some(counts);
            }
        }
        let (row, version) = (self.row.clone(), self.version);
        let node = &mut self.nodes[commit.sender];
        let window = match node.phase {
            Phase::Committing(nonce, window) if nonce == commit.write.record.nonce => window,
            _ => return true,
        };
        if !is_replied {
            return true;
        }
        node.phase = Phase::Idle;
        if holds {
            let token = node.holder.on_written(version).expect("a pending write");
            node.phase = window.map_or(Phase::Idle, |window| Phase::Ready(token, window));
        } else {
            node.holder.on_not_written();
            node.holder.on_read(row);
        }
        true
    }

    fn send(&mut self, sender: usize, token: Token, window: u64) {
        let counts = self.reports[window as usize].expect("a decided report");
        let call = Call {
            sender,
            fence: token.fence,
            window,
            counts,
            sent: self.now,
        };
        let mut others = self.fences.iter().filter(|(_, node)| *node != sender);
        assert!(
            others.all(|(fence, _)| *fence != call.fence),
            "two nodes sent one token"
        );
        let others = self
            .last_sent
            .iter()
            .enumerate()
            .filter(|(node, _)| *node != sender);
        for last in others.filter_map(|(_, last)| *last) {
            let gap = self.now - last;
            assert!(gap >= LEASE, "two nodes sent within {gap:?}");
        }
        self.fences.push((call.fence, sender));
        self.last_sent[sender] = Some(self.now);
        self.calls.push(call);
        self.nodes[sender].phase = Phase::Calling(call);
    }

    fn receive(&mut self, index: usize, is_answered: bool) -> bool {
        let call = self.calls.remove(index);
        assert!(self.highest_fence <= call.fence, "the token fell: {call:?}");
        self.highest_fence = call.fence;
        let accepted = self.accepted[call.window as usize].get_or_insert(call.counts);
        assert_eq!(*accepted, call.counts, "two reports of a window");
        let node = &mut self.nodes[call.sender];
        let is_waiting = matches!(node.phase, Phase::Calling(waiting) if waiting == call);
        if is_answered && is_waiting {
            let windows = node.windows.as_mut().expect("a sender has windows");
            windows.on_acknowledged(call.window);
            node.phase = Phase::Idle;
        }
        true
    }
}
