//! Guards against giving work to a replica that has said itself that it is leaving, whatever happens
//! to its entry, to the store and to the node in the meantime.

use dogwoodlb_directory::{Directory, Entry, Stage, DEPARTURE_TTL};
use dogwoodlb_types::Instant;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseResult};
use std::collections::BTreeMap;
use std::time::Duration;

const SERVICE: &str = "s";
const REPLICAS: usize = 3;

/// A start of the process of a replica.
type Incarnation = (usize, i64);

/// An event at a node, at a replica or in between. Numbers select one of several requests or
/// replicas.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request selects a ready replica, and waits for a connection.
    Select(usize),
    /// A waiting request has its connection.
    Connect(usize),
    /// The response to a request that was sent says that its replica is leaving.
    Answer(usize),
    /// Another node says that the replica is leaving.
    Report(usize),
    /// The replica writes its entry.
    Put(usize, Stage),
    /// The entry of the replica is removed.
    Remove(usize),
    /// The entry of the replica becomes unreadable.
    Invalidate(usize),
    /// The node reads all entries again.
    Reload,
    /// The replica starts again under its id.
    Restart(usize),
    /// A call to the store fails.
    Failure,
    /// A call to the store succeeds.
    Contact,
    /// Time passes.
    Pass(u64),
    /// The process of the node stands still.
    Freeze(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let replica = 0..REPLICAS;
    let stage = prop_oneof![3 => Just(Stage::Ready), 1 => Just(Stage::Draining)];
    prop_oneof![
        6 => any::<usize>().prop_map(Event::Select),
        6 => any::<usize>().prop_map(Event::Connect),
        3 => any::<usize>().prop_map(Event::Answer),
        1 => replica.clone().prop_map(Event::Report),
        6 => (replica.clone(), stage).prop_map(|(replica, stage)| Event::Put(replica, stage)),
        2 => replica.clone().prop_map(Event::Remove),
        1 => replica.clone().prop_map(Event::Invalidate),
        1 => Just(Event::Reload),
        1 => replica.prop_map(Event::Restart),
        1 => Just(Event::Failure),
        2 => Just(Event::Contact),
        4 => (0..2_000_u64).prop_map(Event::Pass),
        1 => (0..90_000_u64).prop_map(Event::Freeze),
    ]
}

/// A node and its replicas.
struct Simulation {
    directory: Directory,
    now: Instant,
    row_version: u64,
    /// The start of the running process of each replica.
    born_ms: [i64; REPLICAS],
    /// The entries in the store.
    entries: BTreeMap<usize, Entry>,
    waiting: Vec<Incarnation>,
    sent: Vec<Incarnation>,
    /// The incarnations that the node knows to be leaving, with the last time at which it had the
    /// entry of each, or else the time of the notice.
    leaving: BTreeMap<Incarnation, Instant>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            directory: Directory::default(),
            now: Instant::from_millis(0),
            row_version: 0,
            born_ms: [1; REPLICAS],
            entries: BTreeMap::new(),
            waiting: Vec::new(),
            sent: Vec::new(),
            leaving: BTreeMap::new(),
        };
        for replica in 0..REPLICAS {
            simulation.put(replica, Stage::Ready);
        }
        simulation
    }

    fn apply(&mut self, event: Event) -> TestCaseResult {
        match event {
            Event::Select(number) => self.select(number)?,
            Event::Connect(number) => self.connect(number)?,
            Event::Answer(number) => {
                if let Some(incarnation) = pick(&self.sent, number) {
                    self.mark_leaving(incarnation);
                }
            }
            Event::Report(replica) => self.mark_leaving((replica, self.born_ms[replica])),
            Event::Put(replica, stage) => self.put(replica, stage),
            Event::Remove(replica) => {
                self.row_version += 1;
                self.entries.remove(&replica);
                self.directory
                    .remove(&name(replica), self.row_version, self.now);
            }
            Event::Invalidate(replica) => {
                self.row_version += 1;
                self.entries.remove(&replica);
                self.directory.invalidate(&name(replica), self.row_version);
            }
            Event::Reload => {
                let entries = self.entries.iter();
                let entries = entries
                    .map(|(replica, entry)| (name(*replica), self.row_version, entry.clone()));
                self.directory
                    .replace(entries.collect(), self.row_version, self.now);
            }
            Event::Restart(replica) => self.born_ms[replica] += 1,
            Event::Failure => self.directory.on_failure(self.now),
            Event::Contact => self.directory.on_contact(self.now),
            Event::Pass(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.directory.expire(self.now);
            }
            Event::Freeze(ms) => self.now = self.now + Duration::from_millis(ms),
        }
        self.update_departures();
        Ok(())
    }

    fn put(&mut self, replica: usize, stage: Stage) {
        self.row_version += 1;
        let entry = Entry {
            service: SERVICE.into(),
            address: "10.0.0.1:80".parse().unwrap(),
            centre: "a".into(),
            slots: 4,
            stage,
            models: Vec::new(),
            born_ms: self.born_ms[replica],
            is_spot: false,
        };
        self.entries.insert(replica, entry.clone());
        self.directory
            .put(&name(replica), self.row_version, entry, self.now);
    }

    fn select(&mut self, number: usize) -> TestCaseResult {
        let ready = self.directory.ready_replicas(SERVICE);
        let ready: Vec<Incarnation> = ready
            .map(|(id, entry)| (id.parse().unwrap(), entry.born_ms))
            .collect();
        let Some(selected) = pick(&ready, number) else {
            return Ok(());
        };
        prop_assert!(
            !self.leaving.contains_key(&selected),
            "{selected:?} was selected"
        );
        self.waiting.push(selected);
        Ok(())
    }

    /// Sends a waiting request if its replica still accepts work.
    fn connect(&mut self, number: usize) -> TestCaseResult {
        let Some(target) = pick(&self.waiting, number) else {
            return Ok(());
        };
        let position = number % self.waiting.len();
        self.waiting.remove(position);
        let (replica, born_ms) = target;
        if !self.directory.accepts_work(&name(replica), born_ms) {
            return Ok(());
        }
        prop_assert!(
            !self.leaving.contains_key(&target),
            "a request was sent to {target:?}"
        );
        self.sent.push(target);
        Ok(())
    }

    fn mark_leaving(&mut self, incarnation: Incarnation) {
        let (replica, born_ms) = incarnation;
        self.directory
            .mark_leaving(&name(replica), born_ms, self.now);
        self.leaving.entry(incarnation).or_insert(self.now);
    }

    /// Forgets the incarnations that have had no entry for as long as the directory must remember
    /// them.
    fn update_departures(&mut self) {
        let (directory, now) = (&self.directory, self.now);
        self.leaving.retain(|(replica, born_ms), last_seen| {
            let entry = directory.get(&name(*replica));
            if entry.is_some_and(|entry| entry.born_ms == *born_ms) {
                *last_seen = now;
            }
            now.saturating_since(*last_seen) < DEPARTURE_TTL
        });
    }
}

fn name(replica: usize) -> String {
    replica.to_string()
}

fn pick(incarnations: &[Incarnation], number: usize) -> Option<Incarnation> {
    let position = number.checked_rem(incarnations.len())?;
    Some(incarnations[position])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// No request is sent to an incarnation once the node knows that it is leaving, also if it was
    /// selected before.
    #[test]
    fn no_late_request(events in prop::collection::vec(event(), 1..120)) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event)?;
        }
    }

    /// An incarnation that has not announced its departure gets work as soon as its entry is known.
    #[test]
    fn successor_is_used(events in prop::collection::vec(event(), 1..120), replica in 0..REPLICAS) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event)?;
        }
        simulation.apply(Event::Restart(replica))?;
        simulation.put(replica, Stage::Ready);
        let born_ms = simulation.born_ms[replica];
        prop_assert!(simulation.directory.accepts_work(&name(replica), born_ms));
    }
}
