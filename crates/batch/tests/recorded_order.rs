//! Guards against a change of the order in which items start where no batch has an organisation:
//! such deployments must be served as before. The orders were recorded before shares existed.

use dogwoodlb_batch::{Action, Item, NewBatch, Planner, ReplicaState, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const TICK_MS: u64 = 10;
const END_MS: u64 = 5_000;
/// The hash of all starts, and their number, by seed.
const RECORDED: [(u64, u64, u32); 8] = [
    (1, 0xa4d3e2efad9f2070, 172),
    (2, 0x2684d9b778a24e7c, 166),
    (3, 0x0cc91f4ea0b28b25, 162),
    (4, 0x557864231045838d, 159),
    (5, 0xce1f78da25af0dbc, 157),
    (6, 0x8cd7874b9acf3022, 160),
    (7, 0x55a38ab20334cb5a, 142),
    (8, 0x43784bd52d29e555, 167),
];

struct Run {
    work: WorkId,
    next_event_ms: u64,
    event: u64,
    events: u64,
}

struct Replay {
    planner: Planner,
    rng: SmallRng,
    runs: Vec<Run>,
    /// The actual number of events of each item.
    lengths: BTreeMap<WorkId, u64>,
    hash: u64,
    starts: u32,
}

impl Replay {
    fn new(seed: u64) -> Self {
        let mut planner = Planner::default();
        for replica in 0..3 {
            let state = ReplicaState {
                slots: 4,
                versions: [("m".to_owned(), 1)].into(),
                ..ReplicaState::default()
            };
            planner.set_replica(&format!("r{replica}"), state);
        }
        Self {
            planner,
            rng: SmallRng::seed_from_u64(seed),
            runs: Vec::new(),
            lengths: BTreeMap::new(),
            hash: 0xcbf2_9ce4_8422_2325,
            starts: 0,
        }
    }

    fn add_batch(&mut self, id: &str) {
        let groups = self.rng.random_range(2..8_u32);
        let items: Vec<Item> = (0..groups * 4)
            .map(|n| Item {
                id: format!("{id}-{n}"),
                group: format!("g{}", n / 4),
                expected_tokens: self.rng.random_range(1..20),
                ..Item::default()
            })
            .collect();
        self.planner.add_batch(&NewBatch {
            id,
            model: "m",
            min_version: 1,
            single_version: false,
            target_groups: groups - 1,
            max_attempts: 3,
            event_tokens: 1,
            items: &items,
            finished: &BTreeSet::new(),
            organisation: None,
            priority: 0,
            deadline: None,
        });
    }

    fn plan(&mut self, now_ms: u64) {
        for _ in 0..2 {
            for action in self.planner.plan(Instant::from_millis(now_ms)) {
                match action {
                    Action::Start { work, .. } => self.start(work, now_ms),
                    Action::Stop { work, .. } => {
                        self.runs.retain(|run| run.work != work);
                        let now = Instant::from_millis(now_ms);
                        self.planner.on_run_end(work, RunEnd::Stopped, now);
                    }
                }
            }
        }
    }

    fn start(&mut self, work: WorkId, now_ms: u64) {
        for byte in work.0.to_le_bytes().into_iter().chain(now_ms.to_le_bytes()) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self.starts += 1;
        let length = self.rng.random_range(2..16);
        let events = *self.lengths.entry(work).or_insert(length);
        let event = self.planner.progress(work).map_or(0, |p| p.last_event);
        self.runs.push(Run {
            work,
            next_event_ms: now_ms + 40,
            event,
            events: events.max(event + 1),
        });
    }

    fn advance(&mut self, now_ms: u64) {
        let now = Instant::from_millis(now_ms);
        for mut run in std::mem::take(&mut self.runs) {
            if run.next_event_ms > now_ms {
                self.runs.push(run);
                continue;
            }
            let is_broken = self.rng.random_range(0..40) == 0;
            if is_broken {
                self.planner.on_run_end(run.work, RunEnd::Interrupted, now);
                continue;
            }
            run.event += 1;
            if !self.planner.on_event(run.work, run.event, "x", 1, now) {
                continue;
            }
            if run.event == run.events {
                self.planner.on_run_end(run.work, RunEnd::Completed, now);
                self.planner.mark_done(run.work);
                continue;
            }
            run.next_event_ms = now_ms + 40;
            self.runs.push(run);
        }
    }
}

fn replay(seed: u64) -> (u64, u32) {
    let mut replay = Replay::new(seed);
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
        if now_ms % 1_000 == 0 {
            for trainer in 0..3 {
                let last = format!("{}-t{trainer}", now_ms.saturating_sub(2_000));
                replay
                    .planner
                    .end_batch(&last, Instant::from_millis(now_ms));
                replay.add_batch(&format!("{now_ms}-t{trainer}"));
            }
        }
        replay.advance(now_ms);
        replay.plan(now_ms);
    }
    (replay.hash, replay.starts)
}

#[test]
fn same_order_without_organisations() {
    let seen: Vec<(u64, u64, u32)> = (1..=8)
        .map(|seed| {
            let (hash, starts) = replay(seed);
            (seed, hash, starts)
        })
        .collect();
    assert_eq!(seen, RECORDED);
}
