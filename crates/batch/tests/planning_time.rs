//! Guards against planning cost that grows with items times replicas, which saturated the
//! leader's CPU with 3,000 replicas.

use dogwoodlb_batch::{Action, Item, NewBatch, Planner, ReplicaState};
use dogwoodlb_types::Instant;
use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeSet;
use std::time::Duration;

const REPLICAS: u32 = 3_000;
const SLOTS: u32 = 2;
const ITEMS: u32 = 9_000;
/// A round that examines each pair of item and replica takes several seconds in a debug build.
const MAX_PLANNING_TIME: Duration = Duration::from_millis(600);

fn item(number: u32) -> Item {
    Item {
        id: format!("i{number}"),
        group: format!("g{}", number / 16),
        prompt_tokens: 10,
        expected_tokens: u64::from(100 + number % 90),
        ..Item::default()
    }
}

fn planner() -> Planner {
    let mut planner = Planner::default();
    for number in 0..REPLICAS {
        let state = ReplicaState {
            slots: SLOTS,
            versions: [("m".to_owned(), 1)].into(),
            ..ReplicaState::default()
        };
        planner.set_replica(&format!("r{number:04}"), state);
    }
    let items: Vec<Item> = (0..ITEMS).map(item).collect();
    planner.add_batch(&NewBatch {
        id: "b",
        organisation: None,
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: 500,
        max_attempts: 3,
        event_tokens: 10,
        items: &items,
        finished: &BTreeSet::new(),
        priority: 0,
        deadline: None,
    });
    planner
}

/// Returns the processor time of this thread. Beside other work of the machine, a round may take
/// twice as long by the wall clock.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let nanoseconds = time.tv_sec * 1_000_000_000 + time.tv_nsec;
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap())
}

fn timed_plan(planner: &mut Planner, ms: u64) -> (Vec<Action>, Duration) {
    let start = processor_time();
    let actions = planner.plan(Instant::from_millis(ms));
    (actions, processor_time() - start)
}

#[test]
fn round_with_idle_replicas() {
    let (actions, elapsed) = timed_plan(&mut planner(), 0);
    assert_eq!(actions.len(), (REPLICAS * SLOTS) as usize);
    assert!(elapsed < MAX_PLANNING_TIME, "{elapsed:?}");
}

/// All slots are in use, 3,000 items wait, and every run is considered for a move.
#[test]
fn round_with_full_replicas() {
    let mut planner = planner();
    planner.plan(Instant::from_millis(0));
    let (actions, elapsed) = timed_plan(&mut planner, 1_000);
    assert_eq!(actions, []);
    assert!(elapsed < MAX_PLANNING_TIME, "{elapsed:?}");
}

/// Half of the replicas are new and idle: every run is considered for a move to them, and all
/// waiting items start on them.
#[test]
fn round_with_new_replicas() {
    let mut planner = planner();
    planner.plan(Instant::from_millis(0));
    for number in 0..REPLICAS {
        let state = ReplicaState {
            slots: SLOTS,
            versions: [("m".to_owned(), 1)].into(),
            ..ReplicaState::default()
        };
        planner.set_replica(&format!("s{number:04}"), state);
    }
    let (actions, elapsed) = timed_plan(&mut planner, 1_000);
    let waiting_items = (ITEMS - REPLICAS * SLOTS) as usize;
    assert_eq!(actions.len(), waiting_items);
    assert!(elapsed < MAX_PLANNING_TIME, "{elapsed:?}");
}
