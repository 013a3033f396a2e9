//! Plays the release of a plain service under load in virtual time: all replicas leave, one after the
//! other, and others take their place.
//!
//! Guards against requests that are refused although a replica is ready, cut because their replica
//! exits, or sent to a replica that has announced its departure longer than the drain time ago. Each
//! release is also played by nodes that know departures from the directory only.

use dogwoodlb_directory::{Directory, Entry, Stage};
use dogwoodlb_route::{Outcome, Replica, Request, Router, Settings, Ticket};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const SERVICE: &str = "s";
const NODES: usize = 3;
/// The number of replicas of a release.
const REPLICAS: u64 = 4;
const SLOTS: u32 = 10;
const TICK_MS: u64 = 5;
const END_MS: u64 = 30_000;
/// The interval between the requests to a node.
const REQUEST_INTERVAL_MS: u64 = 20;
const RESPONSE_MS: u64 = 100;
/// The time that a new connection takes, and the share of requests that need one.
const CONNECT_MS: u64 = 30;
const CONNECT_SHARE: f64 = 0.2;
/// The time that a request waits for a free replica.
const MAX_WAIT_MS: u64 = 40;
/// The time after a notice in which requests may still be sent to the replica.
const DRAIN_MS: u64 = 2_500;
/// The time from the announcement of a replica to its exit.
const EXIT_AFTER_MS: u64 = 3_000;
/// The first announcement, and the time between two.
const FIRST_DEPARTURE_MS: u64 = 4_000;
const DEPARTURE_INTERVAL_MS: u64 = 4_000;

/// How nodes learn that a replica is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// From the entries in the directory only.
    Directory,
    /// From responses, too. They check it once more before they send a request.
    Responses,
}

/// What happens to the store during the release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Store {
    /// Entries reach the nodes up to two seconds late.
    Late,
    /// The new replicas are listed before the store goes away for the rest of the release.
    Away,
    /// The store goes away before any new replica is listed.
    AwayAtOnce,
}

/// The life of a replica, in milliseconds. Times that never come are [`u64::MAX`].
#[derive(Clone, Copy, Debug)]
struct Life {
    listed: u64,
    announces: u64,
    /// When nodes learn from the directory that it is leaving.
    draining: u64,
    exits: u64,
}

/// The requests of a release, by their end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Count {
    served: u32,
    refused: u32,
    /// Those that were refused although the node knew a replica that was ready.
    needlessly_refused: u32,
    cut: u32,
    /// Those sent to a replica later than the drain time after its announcement was received.
    late: u32,
    /// Attempts at a replica that had exited.
    unreachable: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Waits for a replica.
    Waiting,
    /// Waits for a connection until a time.
    Connecting { replica: usize, until: u64 },
    /// Runs until a time.
    Running { replica: usize, until: u64 },
}

#[derive(Clone, Debug)]
struct Call {
    node: usize,
    arrived: u64,
    tried: Vec<id::Upstream>,
    ticket: Option<Ticket>,
    step: Step,
}

struct Node {
    directory: Directory,
    router: Router,
    revision: u64,
    /// When the node received the first notice of each replica.
    notices: BTreeMap<usize, u64>,
}

impl Node {
    fn new(number: usize) -> Self {
        Self {
            directory: Directory::default(),
            router: Router::new(settings(&format!("node-{number}"))),
            revision: 0,
            notices: BTreeMap::new(),
        }
    }

    fn update_router(&mut self) {
        if self.directory.revision() == self.revision {
            return;
        }
        self.revision = self.directory.revision();
        let ready = self.directory.ready_replicas(SERVICE);
        let replicas: Vec<Replica> = ready
            .map(|(id, entry)| Replica {
                upstream: id.parse().unwrap(),
                region: "lj".parse().unwrap(),
                centre: "lj-a".parse().unwrap(),
                slots: entry.slots,
                leaving: false,
            })
            .collect();
        self.router.update(&replicas).unwrap();
    }

    fn put(&mut self, replica: usize, stage: Stage, now: u64) {
        let entry = Entry {
            service: SERVICE.into(),
            address: "10.0.0.1:80".parse().unwrap(),
            centre: "lj-a".into(),
            slots: SLOTS,
            stage,
            models: Vec::new(),
            born_ms: 1,
            is_spot: false,
        };
        self.directory.put(&name(replica), now, entry, at(now));
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn settings(vm: &str) -> Settings {
    Settings {
        vm: vm.parse().unwrap(),
        region: "lj".parse().unwrap(),
        centre: "lj-a".parse().unwrap(),
    }
}

fn name(replica: usize) -> String {
    format!("r-{replica}")
}

fn index(upstream: &id::Upstream) -> usize {
    upstream.as_str()["r-".len()..].parse().unwrap()
}

/// Returns the lives of the old replicas, followed by the new ones.
fn plan(store: Store, rng: &mut StdRng) -> Vec<Life> {
    let old = (0..REPLICAS).map(|number| {
        let announces = FIRST_DEPARTURE_MS + number * DEPARTURE_INTERVAL_MS;
        Life {
            listed: 0,
            announces,
            draining: match store {
                Store::Late => announces + rng.random_range(500..2_000),
                Store::Away | Store::AwayAtOnce => u64::MAX,
            },
            exits: announces + EXIT_AFTER_MS,
        }
    });
    let mut lives: Vec<Life> = old.collect();
    lives.extend((0..REPLICAS).map(|number| Life {
        listed: match store {
            Store::Late => {
                FIRST_DEPARTURE_MS + number * DEPARTURE_INTERVAL_MS + rng.random_range(500..2_000)
            }
            Store::Away => 1_000 + number * 500,
            Store::AwayAtOnce => u64::MAX,
        },
        announces: u64::MAX,
        draining: u64::MAX,
        exits: u64::MAX,
    }));
    lives
}

struct Release {
    source: Source,
    rng: StdRng,
    lives: Vec<Life>,
    nodes: Vec<Node>,
    calls: Vec<Call>,
    count: Count,
}

impl Release {
    fn new(source: Source, store: Store, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            source,
            lives: plan(store, &mut rng),
            rng,
            nodes: (0..NODES).map(Node::new).collect(),
            calls: Vec::new(),
            count: Count::default(),
        }
    }

    fn run(mut self) -> Count {
        for now in (0..END_MS).step_by(TICK_MS as usize) {
            self.update_directories(now);
            if now.is_multiple_of(REQUEST_INTERVAL_MS) {
                let arrivals = (0..NODES).map(|node| Call {
                    node,
                    arrived: now,
                    tried: Vec::new(),
                    ticket: None,
                    step: Step::Waiting,
                });
                self.calls.extend(arrivals);
            }
            for call in std::mem::take(&mut self.calls) {
                if let Some(call) = self.advance(call, now) {
                    self.calls.push(call);
                }
            }
        }
        self.count
    }

    /// Lets the nodes see the entries that are due.
    fn update_directories(&mut self, now: u64) {
        let is_due = |time: u64| (now..now + TICK_MS).contains(&time);
        for (replica, life) in self.lives.iter().enumerate() {
            for node in &mut self.nodes {
                if is_due(life.listed) {
                    node.put(replica, Stage::Ready, now);
                }
                if is_due(life.draining) {
                    node.put(replica, Stage::Draining, now);
                }
                node.directory.expire(at(now));
            }
        }
    }

    /// Advances a call. Returns it unless it has ended.
    fn advance(&mut self, mut call: Call, now: u64) -> Option<Call> {
        match call.step {
            Step::Waiting => return self.select(call, now),
            Step::Connecting { replica, until } if now >= until => {
                return self.send(call, replica, now);
            }
            Step::Running { replica, until } => {
                let exits = self.lives[replica].exits;
                if now >= exits {
                    self.finish(&mut call, Outcome::Failure, now);
                    self.count.cut += 1;
                    return None;
                }
                if now >= until {
                    self.receive(&mut call, replica, now);
                    return None;
                }
            }
            Step::Connecting { .. } => {}
        }
        Some(call)
    }

    fn select(&mut self, mut call: Call, now: u64) -> Option<Call> {
        let node = &mut self.nodes[call.node];
        node.update_router();
        let request = Request::new(Class::Customer).exclude(&call.tried);
        let Ok(pick) = node.router.pick(&request, at(now), &mut self.rng) else {
            if now < call.arrived + MAX_WAIT_MS {
                return Some(call);
            }
            self.count.refused += 1;
            let has_ready = node.directory.ready_replicas(SERVICE).next().is_some();
            self.count.needlessly_refused += u32::from(has_ready);
            return None;
        };
        node.router.on_start(pick.ticket).unwrap();
        let connect_ms = match self.rng.random_bool(CONNECT_SHARE) {
            true => CONNECT_MS,
            false => 0,
        };
        call.ticket = Some(pick.ticket);
        let replica = index(&pick.upstream);
        call.step = Step::Connecting {
            replica,
            until: now + connect_ms,
        };
        match connect_ms {
            0 => self.send(call, replica, now),
            _ => Some(call),
        }
    }

    /// Sends a request over its connection, unless its replica is known to be leaving.
    fn send(&mut self, mut call: Call, replica: usize, now: u64) -> Option<Call> {
        let node = &self.nodes[call.node];
        if self.source == Source::Responses && !node.directory.accepts_work(&name(replica), 1) {
            self.finish(&mut call, Outcome::Cancelled, now);
            return self.select(call, now);
        }
        if now >= self.lives[replica].exits {
            self.count.unreachable += 1;
            self.finish(&mut call, Outcome::Failure, now);
            call.tried.push(name(replica).parse().unwrap());
            return self.select(call, now);
        }
        let notice = node.notices.get(&replica);
        let is_late = notice.is_some_and(|notice| call.arrived > notice + DRAIN_MS);
        self.count.late += u32::from(is_late);
        call.step = Step::Running {
            replica,
            until: now + RESPONSE_MS,
        };
        Some(call)
    }

    fn receive(&mut self, call: &mut Call, replica: usize, now: u64) {
        self.count.served += 1;
        self.finish(call, Outcome::Success, now);
        if now < self.lives[replica].announces {
            return;
        }
        let node = &mut self.nodes[call.node];
        node.notices.entry(replica).or_insert(now);
        if self.source == Source::Responses {
            node.directory.mark_leaving(&name(replica), 1, at(now));
        }
    }

    fn finish(&mut self, call: &mut Call, outcome: Outcome, now: u64) {
        let ticket = call.ticket.take().unwrap();
        call.step = Step::Waiting;
        let router = &mut self.nodes[call.node].router;
        router.on_end(ticket, outcome, at(now)).unwrap();
    }
}

#[rstest]
#[case::late_directory(Store::Late)]
#[case::store_away(Store::Away)]
#[case::no_successors(Store::AwayAtOnce)]
// A node may refuse requests only while it knows no replica that is ready.
fn no_lost_request(#[case] store: Store, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let before = Release::new(Source::Directory, store, seed).run();
    let after = Release::new(Source::Responses, store, seed).run();
    println!("{store:?} {seed}: before {before:?}, after {after:?}");
    let Count {
        late,
        cut,
        unreachable,
        needlessly_refused,
        ..
    } = after;
    let lost = [late, cut, unreachable, needlessly_refused];
    assert_eq!(lost, [0; 4], "{after:?}");
    if store != Store::Late {
        assert!(before.late > 0 && before.cut > 0, "{before:?}");
    }
    if store != Store::AwayAtOnce {
        assert_eq!(after.refused, 0, "{after:?}");
    }
}
