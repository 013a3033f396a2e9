//! Guards against violations of the individual adoption rules: acting on evidence that is too old,
//! not from a majority, or not about the revision in force.

use dogwoodlb_external::table::Row;
use dogwoodlb_manifest::adopt::{Action, Adoption, Answer, Authority, Event, Proposal, Report};
use dogwoodlb_manifest::record::{Record, CURRENT};
use dogwoodlb_types::{id, Instant};
use rand::rngs::StdRng;
use rand::SeedableRng;

const FULL: &str = include_str!("data/full.json");

/// One of the three nodes in the manifest, with its clock.
struct Node {
    adoption: Adoption,
    rng: StdRng,
    now: u64,
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn record(revision: u64, text: &str) -> Record {
    Record {
        revision: id::Revision(revision),
        operation: id::Operation(u128::from(revision)),
        operator: "ana".parse().unwrap(),
        text: text.to_owned(),
    }
}

fn row(revision: u64, version: u64) -> Row {
    let txn = record(revision, FULL).commit(0);
    raw_row(CURRENT, version, txn.puts[1].value.clone())
}

fn raw_row(key: &str, version: u64, value: String) -> Row {
    let key = key.to_owned();
    Row {
        key,
        version,
        value,
    }
}

fn proposal(operation: u128, base: u64, row_version: u64, text: &str) -> Proposal {
    Proposal {
        operation: id::Operation(operation),
        operator: "eva".parse().unwrap(),
        base: id::Revision(base),
        row_version,
        text: text.to_owned(),
    }
}

fn report(revision: u64, pending: &[u128]) -> Report {
    Report {
        revision: id::Revision(revision),
        operation: Some(id::Operation(u128::from(revision))),
        pending: pending.iter().copied().map(id::Operation).collect(),
        settled: true,
    }
}

impl Node {
    /// Returns a node that has read revision 4 at row version 10.
    fn new() -> Self {
        let adoption = Adoption::new("entry-1".parse().unwrap(), at(0));
        let rng = StdRng::seed_from_u64(1);
        let now = 0;
        let mut node = Self { adoption, rng, now };
        assert_eq!(node.propose(&proposal(9, 4, 10, FULL)), Answer::Unready);
        assert_eq!(node.read(0, 4, 10), [Action::ReadRevision(id::Revision(4))]);
        let value = serde_json::to_string(&record(4, FULL)).unwrap();
        let row = Some(raw_row("manifest/4", 10, value));
        let actions = node.on_event(Event::Revision { row });
        assert_eq!(actions, [Action::Adopted(id::Revision(4))]);
        node
    }

    /// Like [`new`](Self::new), after another node has rewritten the row, which settles promises
    /// from before the restart.
    fn settled() -> Self {
        let mut node = Self::new();
        node.read(0, 4, 11);
        node
    }

    fn on_event(&mut self, event: Event) -> Vec<Action> {
        self.adoption.on_event(event, at(self.now), &mut self.rng)
    }

    fn read(&mut self, sent_at: u64, revision: u64, version: u64) -> Vec<Action> {
        self.on_read(at(sent_at), Some(row(revision, version)))
    }

    fn on_read(&mut self, sent_at: Instant, row: Option<Row>) -> Vec<Action> {
        self.on_event(Event::Read { sent_at, row })
    }

    fn on_peer_report(&mut self, vm: &str, sent_at: u64, report: Report) -> Vec<Action> {
        let (vm, sent_at) = (vm.parse().unwrap(), at(sent_at));
        self.on_event(Event::PeerReport {
            vm,
            sent_at,
            report,
        })
    }

    fn propose(&mut self, proposal: &Proposal) -> Answer {
        let now = at(self.now);
        self.adoption.on_proposal(proposal, now, &mut self.rng)
    }

    fn authority(&self, now: u64) -> &'static str {
        match self.adoption.authority(at(now)) {
            Authority::Sole(_) => "sole",
            Authority::Joint(_) => "joint",
            Authority::Unknown => "unknown",
        }
    }

    /// Asserts that the node has sole authority until this time and not later.
    fn assert_sole_until(&self, last: u64) {
        let authorities = (self.authority(last), self.authority(last + 1));
        assert_eq!(authorities, ("sole", "unknown"));
    }
}

/// The age of a read counts from its request, not from its response.
#[test]
fn evidence_expires_after_request() {
    let mut node = Node::settled();
    node.now = 1_500;
    node.read(700, 4, 11);
    node.assert_sole_until(3_700);
}

/// A late read or a read of older state neither replaces nor extends the current evidence.
#[test]
fn older_reads_are_ignored() {
    let mut node = Node::settled();
    node.now = 2_000;
    assert_eq!(node.read(1_900, 4, 10), []);
    assert_eq!(node.read(1_900, 3, 12), []);
    assert_eq!(node.on_read(at(1_900), None), []);
    assert_eq!(node.adoption.counters().older_reads, 3);
    node.assert_sole_until(3_000);
    let malformed = raw_row(CURRENT, 13, "{}".to_owned());
    assert_eq!(node.on_read(at(1_900), Some(malformed)), []);
    assert_eq!(node.adoption.counters().invalid_rows, 1);
    assert_eq!(node.adoption.revision(), id::Revision(4));
}

#[test]
fn majority_of_reports_is_required() {
    let mut unsettled = report(4, &[]);
    unsettled.settled = false;
    for insufficient in [report(3, &[]), report(4, &[8]), unsettled] {
        let mut node = Node::settled();
        node.on_peer_report("entry-2", 2_000, insufficient);
        node.on_peer_report("entry-9", 2_000, report(4, &[]));
        assert_eq!(node.authority(4_000), "unknown");
    }
    let mut node = Node::settled();
    node.now = 3_500;
    node.on_peer_report("entry-3", 2_000, report(4, &[]));
    // An answer to an earlier ping arrives late and must not count.
    node.on_peer_report("entry-3", 1_000, report(3, &[]));
    node.assert_sole_until(5_000);
    node.on_peer_report("entry-2", 2_500, report(5, &[]));
    // A later revision is known.
    assert_eq!(node.authority(4_000), "unknown");
}

/// A restarted node does not know its earlier promises, so it confirms no revision until the row
/// has changed.
#[test]
fn restarted_node_confirms_nothing() {
    let mut node = Node::new();
    assert!(!node.adoption.report().settled);
    node.on_peer_report("entry-2", 2_000, report(4, &[]));
    assert_eq!(node.authority(4_000), "unknown");
    node.on_peer_report("entry-3", 2_000, report(4, &[]));
    assert_eq!(node.authority(4_000), "sole");
    node.read(100, 4, 10);
    assert!(!node.adoption.report().settled);
    let closed = loop {
        node.now += 50;
        let actions = node.on_event(Event::Tick);
        if let Some(Action::Close(txn)) = actions.last() {
            break txn.clone();
        }
        node.read(node.now, 4, 10);
    };
    assert!((4_000..6_050).contains(&node.now), "{}", node.now);
    assert_eq!(closed.checks[0].version, 10);
    assert_eq!(closed.puts[0].value, row(4, 10).value);
    node.read(node.now, 4, 11);
    assert!(node.adoption.report().settled);
}

#[test]
fn proposal_answers() {
    let mut node = Node::settled();
    let revision = id::Revision(4);
    for (base, row_version) in [(4, 10), (3, 11)] {
        let answer = node.propose(&proposal(20, base, row_version, FULL));
        assert_eq!(answer, Answer::Stale { revision });
    }
    assert_eq!(node.propose(&proposal(20, 4, 11, "{}")), Answer::Invalid);
    for operation in [20, 21, 22, 23, 20] {
        let answer = node.propose(&proposal(operation, 4, 11, FULL));
        assert_eq!(answer, Answer::Promised);
    }
    assert_eq!(node.propose(&proposal(24, 4, 11, FULL)), Answer::Busy);
    assert_eq!(node.adoption.report().pending.len(), 4);
    // A later row version implies that the outcome of the four is decided.
    assert_eq!(node.propose(&proposal(25, 4, 12, FULL)), Answer::Promised);
    assert_eq!(node.adoption.report().pending, [id::Operation(25)]);
    node.read(0, 4, 13);
    assert_eq!(node.adoption.report().pending, []);
    assert_eq!(node.adoption.counters().refused_proposals, 5);
}

/// While a proposal is pending, a majority of both the old and the new list of VMs must agree.
#[test]
fn both_majorities_are_required() {
    let mut node = Node::settled();
    let moved = FULL.replace("entry-", "other-");
    let moved = moved.replace("[\"stock\"]", "[]");
    assert_eq!(node.propose(&proposal(5, 4, 11, &moved)), Answer::Promised);
    assert_eq!(node.authority(3_000), "sole");
    node.on_peer_report("entry-2", 2_000, report(4, &[5]));
    assert_eq!(node.authority(4_000), "unknown");
    node.on_peer_report("other-1", 2_000, report(4, &[]));
    node.on_peer_report("other-2", 2_000, report(4, &[6]));
    assert_eq!(node.authority(4_000), "unknown");
    node.on_peer_report("other-2", 2_000, report(4, &[5]));
    let Authority::Joint(joint) = node.adoption.authority(at(4_000)) else {
        panic!("no joint manifest");
    };
    assert!(joint.callers[0].services.is_empty() && joint.entry_vms.is_empty());
}

/// A node learns the outcome from the report of another node, without a read of its own.
#[test]
fn outcome_from_peer_report() {
    let mut node = Node::settled();
    node.propose(&proposal(5, 4, 11, FULL));
    let actions = node.on_peer_report("entry-2", 2_000, report(5, &[]));
    assert_eq!(actions, [Action::Adopted(id::Revision(5))]);
    assert_eq!(node.adoption.report().pending, []);
    node.assert_sole_until(5_000);
    // A read that was sent earlier still returns the old row.
    node.read(0, 4, 11);
    assert_eq!(node.adoption.revision(), id::Revision(5));
}

/// The node polls every 500 ms with one read at a time, and closes no proposal without a recent
/// read.
#[test]
fn poll_schedule() {
    let mut node = Node::settled();
    node.propose(&proposal(5, 4, 11, FULL));
    let mut reads = Vec::new();
    while node.now < 8_000 {
        let actions = node.on_event(Event::Tick);
        assert!(!matches!(actions.last(), Some(Action::Close(_))));
        if actions.contains(&Action::Read) {
            reads.push(node.now);
            // The first read gets no response; the others fail.
            if reads.len() > 1 {
                node.on_event(Event::ReadFailed);
            }
        }
        node.now += 50;
    }
    assert_eq!(reads[..4], [0, 1_000, 1_500, 2_000]);
    assert_eq!(reads.len(), 15);
}
