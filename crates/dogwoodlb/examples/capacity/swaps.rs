//! How long a weight version takes to reach all replicas, in virtual time.

use crate::{Report, Result};
use dogwoodlb_external::engine::Weights;
use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
/// How long a call of an engine takes; assumed.
const CALL: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(600);

/// One run: replicas, the settings that vary and what the shell can carry.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    replicas: usize,
    share_permille: u32,
    starts_per_s: u32,
    load: Duration,
    /// The calls that the shell starts in one turn; a further one is refused.
    calls: usize,
}

const DEFAULT: Case = Case {
    name: "default_9",
    replicas: 9,
    share_permille: 250,
    starts_per_s: 10,
    load: Duration::from_secs(2),
    calls: usize::MAX,
};

/// 32 threads of the node's pool and as many places in its queue.
const POOL: usize = 64;

const CASES: [Case; 10] = [
    DEFAULT,
    Case {
        name: "default_136",
        replicas: 136,
        ..DEFAULT
    },
    Case {
        name: "default_1900",
        replicas: 1_900,
        ..DEFAULT
    },
    Case {
        name: "quarter_500_per_s_1900",
        replicas: 1_900,
        starts_per_s: 500,
        ..DEFAULT
    },
    Case {
        name: "half_500_per_s_1900",
        replicas: 1_900,
        share_permille: 500,
        starts_per_s: 500,
        ..DEFAULT
    },
    Case {
        name: "quarter_500_per_s_load_3s_1900",
        replicas: 1_900,
        starts_per_s: 500,
        load: Duration::from_secs(3),
        ..DEFAULT
    },
    Case {
        name: "half_500_per_s_load_5s_1900",
        replicas: 1_900,
        share_permille: 500,
        starts_per_s: 500,
        load: Duration::from_secs(5),
        ..DEFAULT
    },
    Case {
        name: "quarter_500_per_s_475_of_region",
        replicas: 475,
        starts_per_s: 125,
        ..DEFAULT
    },
    Case {
        name: "pool_136",
        replicas: 136,
        starts_per_s: 500,
        calls: POOL,
        ..DEFAULT
    },
    Case {
        name: "pool_1900",
        replicas: 1_900,
        starts_per_s: 500,
        calls: POOL,
        ..DEFAULT
    },
];

/// A replica as the fake engine has it.
#[derive(Clone, Copy)]
struct Engine {
    version: u64,
    done: Option<Instant>,
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    for case in CASES {
        let (seconds, settled) = simulate(case)?;
        report.add(format!("swap.{}.seconds", case.name), seconds);
        report.add(format!("swap.{}.settled", case.name), settled as f64);
    }
    Ok(())
}

fn target(version: u64) -> Target {
    Target {
        version: id::Version(version),
        object: format!("weights/scorer/{version}"),
    }
}

/// A reply that is under way.
enum Reply {
    Weights(id::Upstream, Instant, Engine),
    Ordered(id::Upstream, id::Operation, Outcome),
}

struct Run {
    case: Case,
    swap: Swap,
    engines: BTreeMap<id::Upstream, Engine>,
    replies: Vec<(Instant, Reply)>,
    rng: SmallRng,
}

impl Run {
    fn new(case: Case) -> Result<Self> {
        let settings = Settings {
            max_swapping_permille: case.share_permille,
            starts_per_s: case.starts_per_s,
            burst: case.starts_per_s,
            max_duration: Duration::from_secs(15),
            ..Settings::default()
        };
        let mut swap = Swap::new("scorer".parse()?, settings);
        let mut engines = BTreeMap::new();
        let mut replicas = Vec::new();
        for index in 0..case.replicas {
            let upstream: id::Upstream = format!("engine-{index:04}").parse()?;
            replicas.push(Replica {
                upstream: upstream.clone(),
                checks_fencing: true,
            });
            let engine = Engine {
                version: 1,
                done: None,
            };
            engines.insert(upstream, engine);
        }
        swap.set_replicas(&replicas)?;
        swap.set_target(target(1))?;
        Ok(Self {
            case,
            swap,
            engines,
            replies: Vec::new(),
            rng: SmallRng::seed_from_u64(1),
        })
    }

    fn turn(&mut self, now: Instant) -> Result<()> {
        let (due, later) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.replies = later;
        for (_, reply) in Vec::from_iter(due) {
            self.on_reply(reply, now)?;
        }
        for engine in self.engines.values_mut() {
            if engine.done.is_some_and(|at| at <= now) {
                *engine = Engine {
                    version: 2,
                    done: None,
                };
            }
        }
        let until = now + Duration::from_secs(5);
        let fence = id::Fence(1);
        self.swap.set_lease(Some(LeaseGrant { fence, until }), now);
        let wall = Timestamp::from_millis(0);
        let actions = self.swap.poll(now, wall, &|_, _| true, &mut self.rng);
        for (index, action) in actions.into_iter().enumerate() {
            self.carry_out(action, index < self.case.calls, now);
        }
        Ok(())
    }

    fn on_reply(&mut self, reply: Reply, now: Instant) -> Result<()> {
        match reply {
            Reply::Weights(upstream, began, engine) => {
                let weights = Weights {
                    model: "scorer".parse()?,
                    version: Some(id::Version(engine.version)),
                    loading: engine.done.map(|_| id::Version(2)),
                };
                self.swap.on_weights(&upstream, began, Some(&weights), now);
            }
            Reply::Ordered(upstream, operation, outcome) => {
                self.swap
                    .on_order_result(&upstream, operation, outcome, now);
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, action: Action, accepted: bool, now: Instant) {
        match action {
            Action::Read { upstream } if accepted => {
                if let Some(engine) = self.engines.get(&upstream).copied() {
                    let reply = Reply::Weights(upstream, now, engine);
                    self.replies.push((now + CALL, reply));
                }
            }
            Action::Order {
                upstream, order, ..
            } => {
                if let (true, Some(engine)) = (accepted, self.engines.get_mut(&upstream)) {
                    engine.done = Some(now + self.case.load);
                }
                let outcome = match accepted {
                    true => Outcome::Accepted,
                    false => Outcome::NotSent,
                };
                let reply = Reply::Ordered(upstream, order.order, outcome);
                self.replies.push((now + CALL, reply));
            }
            Action::Read { .. } | Action::Excluded { .. } | Action::Newer { .. } => {}
        }
    }
}

/// Returns the seconds from the new target until all replicas are known to serve it, at most
/// the limit, and how many do then.
fn simulate(case: Case) -> Result<(f64, usize)> {
    let mut run = Run::new(case)?;
    let mut now = Instant::from_millis(0);
    let start = Instant::from_millis(10_000);
    loop {
        now = now + TICK;
        if now == start {
            run.swap.set_target(target(2))?;
        }
        run.turn(now)?;
        let elapsed = now.saturating_since(start);
        let settled = run.swap.progress().settled;
        if (now > start && settled == case.replicas) || elapsed >= LIMIT {
            return Ok((elapsed.as_secs_f64(), settled));
        }
    }
}
