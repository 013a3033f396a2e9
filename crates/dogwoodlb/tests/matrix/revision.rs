//! The manifest commit: read pointer, read base, propose, promise, write and adopt, with five
//! nodes.

#[path = "revision/operator.rs"]
mod operator;
#[path = "revision/peer.rs"]
mod peer;

use crate::fault::*;
use crate::store::Store;
use dogwoodlb_manifest::adopt::{Authority, Proposal, Report};
use dogwoodlb_manifest::record::{self, Pointer, Record, CURRENT};
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::prelude::*;
use operator::Operator;
use peer::Node;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

const NODES: usize = 5;
/// The nodes from this one on, a majority, are in the region without the store.
const FAR: usize = 2;
const TICK_MS: u64 = 50;
/// By then the proposals that might have been open at the start are closed, so that nodes
/// without the store confirm each other.
const COMMIT_AT_MS: u64 = 10_000;
/// The bound of P9.
const IN_FORCE_MS: u64 = 4_000;

pub(crate) const PATH: Path = Path {
    name: "commit",
    steps: &[
        "read pointer",
        "read base",
        "propose",
        "promise",
        "write",
        "adopt",
    ],
    writes: &["promise", "write", "adopt"],
    run,
    excuse: |_, _| None,
};

enum Message {
    Ping(usize, Instant),
    Ack(usize, Instant, Report),
    /// The number of the commit, its node and what it proposes.
    Propose(usize, usize, Proposal),
    Answer(usize, usize, u64, dogwoodlb_manifest::adopt::Answer),
    /// A late reply to a read of the row `manifest/current`.
    Pointer(Instant, Option<dogwoodlb_external::table::Row>),
}

struct World {
    now: u64,
    rng: SmallRng,
    store: Store,
    nodes: Vec<Node>,
    operators: Vec<Operator>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    sequence: u64,
    region_cut_until: u64,
    /// When each revision was seen in the table, and its content.
    history: Vec<(u64, Record, Manifest)>,
    /// The version of the row `manifest/current` that was seen last.
    seen: u64,
}

fn name(node: usize) -> id::Vm {
    format!("e{node}").parse().unwrap()
}

/// Returns a manifest of all nodes; each mark has a caller of its own.
fn text(mark: &str) -> String {
    let vms = (0..NODES).map(|vm| {
        format!(
            r#"{{"vm": "e{vm}", "region": "r", "centre": "c", "address": "10.0.0.{vm}:1",
            "peer": "10.0.0.{vm}:2"}}"#
        )
    });
    let vms = vms.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"entry_vms": [{vms}], "callers": [{{"caller": "all", "class": "customer"}},
        {{"caller": "{mark}", "class": "customer"}}]}}"#
    )
}

fn run(faults: &mut Faults, seed: u64) {
    let mut world = World {
        now: 0,
        rng: SmallRng::seed_from_u64(seed),
        store: Store::default(),
        nodes: (0..NODES).map(Node::new).collect(),
        operators: Vec::new(),
        messages: BTreeMap::new(),
        sequence: 0,
        region_cut_until: 0,
        history: Vec::new(),
        seen: 0,
    };
    let first = Record {
        revision: id::Revision(1),
        operation: id::Operation(1),
        operator: "setup".parse().unwrap(),
        text: text("setup"),
    };
    world.store.table.commit(&first.commit(0));
    world.operators.push(Operator::new("ann", 0, COMMIT_AT_MS));
    let mut calm_ms = 0;
    while calm_ms < 20_000 {
        let limit = 3 * OUTAGE_MS;
        assert!(world.now < limit, "stuck at {:?}", world.revisions());
        world.tick(faults);
        calm_ms = if world.is_settled() {
            calm_ms + TICK_MS
        } else {
            0
        };
    }
    world.check_results();
}

impl World {
    fn revisions(&self) -> Vec<u64> {
        let nodes = self.nodes.iter();
        nodes.map(|own| own.adoption.revision().0).collect()
    }

    /// Tells whether each operator is done and all nodes act on the newest revision alone.
    fn is_settled(&self) -> bool {
        let newest = self.history.len() as u64;
        let is_current = |own: &Node| {
            let authority = own.adoption.authority(own.local(self.now));
            own.is_up(self.now)
                && own.adoption.revision().0 == newest
                && matches!(authority, Authority::Sole(_))
        };
        self.operators.iter().all(Operator::is_done) && self.nodes.iter().all(is_current)
    }

    fn tick(&mut self, faults: &mut Faults) {
        let left = self.store.down_until.saturating_sub(self.now);
        self.now += if left > 60_000 { 500 } else { TICK_MS };
        self.store.advance(self.now);
        self.record();
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            self.deliver(to, message, faults);
        }
        for node in 0..NODES {
            self.run_node(node, faults);
        }
        for operator in 0..self.operators.len() {
            self.run_operator(operator, faults);
        }
        self.record();
        self.check_authority();
    }

    fn post(&mut self, at: u64, to: usize, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), (to, message));
    }

    /// Sends a message between two nodes, which the network may cut.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        // A proposal whose answers are lost names no sender.
        if to >= NODES {
            return;
        }
        let cut = |own: usize| self.now < self.nodes[own].peers_cut_until;
        let is_apart = (from < FAR) != (to < FAR) && self.now < self.region_cut_until;
        if from == to || !(cut(from) || cut(to) || is_apart) {
            self.post(self.now, to, message);
        }
    }

    /// Notes a new revision in the table: exactly one follows each.
    fn record(&mut self) {
        let Some(row) = self.store.table.scan(CURRENT).pop() else {
            return;
        };
        if std::mem::replace(&mut self.seen, row.version) == row.version {
            return;
        }
        let pointer = Pointer::from_row(&row).unwrap();
        let known = self.history.len() as u64;
        assert!(pointer.revision.0 >= known, "the pointer went back");
        if pointer.revision.0 > known {
            assert_eq!(pointer.revision.0, known + 1, "a revision was skipped");
            let key = record::key(pointer.revision);
            let rows = self.store.table.scan(&key);
            let record = Record::from_row(&rows[0]).unwrap();
            assert_eq!(record.operation, pointer.operation);
            let manifest = record.text.parse().unwrap();
            self.history.push((self.now, record, manifest));
        }
        for (index, (_, record, _)) in self.history.iter().enumerate() {
            let rows = self
                .store
                .table
                .scan(&record::key(id::Revision(index as u64 + 1)));
            let found = Record::from_row(&rows[0]).unwrap();
            assert_eq!(&found, record, "a revision was overwritten");
        }
    }

    /// The revision that was in force `IN_FORCE_MS` ago, or a later one, must be acted on.
    fn check_authority(&self) {
        let since = self.now.saturating_sub(IN_FORCE_MS);
        let required = self.history.iter().filter(|own| own.0 <= since).count();
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.is_up(self.now) {
                continue;
            }
            let revision = node.adoption.revision().0;
            let is_new = match node.adoption.authority(node.local(self.now)) {
                Authority::Sole(manifest) => {
                    self.check_text(revision, manifest);
                    revision as usize >= required
                }
                // A joint manifest allows only what the revision in force allows too.
                Authority::Joint(manifest) => {
                    let current = &self.history[required.max(1) - 1].2;
                    let mut callers = manifest.callers.iter();
                    callers.all(|own| current.callers.contains(own))
                }
                Authority::Unknown => true,
            };
            assert!(
                is_new,
                "node {index} acts on revision {revision}, not {required}"
            );
        }
    }

    fn check_text(&self, revision: u64, manifest: &Manifest) {
        let (_, _, wanted) = &self.history[revision as usize - 1];
        assert_eq!(wanted, manifest, "another text of revision {revision}");
    }
}
