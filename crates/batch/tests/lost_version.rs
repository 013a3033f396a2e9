//! Guards against items of a route with a single weight version for each text that wait until their
//! time is up, because no replica continues their text.

#[path = "support/single_item.rs"]
mod single_item;

use dogwoodlb_batch::{Action, Planner, Progress, ReplicaState, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use rstest::rstest;
use single_item::{add_batch, state};

const WORK: WorkId = WorkId(1);
const ROUND_MS: u64 = 40;
/// The review's step ran out of time 8.5 s after the loss of the last replica with the version.
const STEP_MS: u64 = 8_500;

fn reloading(version: u64) -> ReplicaState {
    ReplicaState {
        reloading: vec!["m".into()],
        ..state(version)
    }
}

/// A planner whose only item has 28 events of version 3. Replica `gone`, which generated them, broke
/// off and left.
fn interrupted() -> Planner {
    let mut planner = Planner::default();
    planner.set_replica("gone", state(3));
    add_batch(&mut planner, 2, true);
    let start = Action::Start {
        work: WORK,
        replica: "gone".into(),
    };
    assert_eq!(planner.plan(Instant::default()), [start]);
    for event in 1..=28 {
        assert!(planner.on_event(WORK, event, "x", 3, Instant::default()));
    }
    planner.retain_replicas(|_| false);
    assert!(!planner.on_run_end(WORK, RunEnd::Interrupted, Instant::default()));
    planner
}

/// Plays the rounds of a leader until the item starts, and returns when it did, with the events that
/// it kept. A run on `broken` is interrupted at once, without an event.
fn time_to_start(planner: &mut Planner) -> Option<(u64, u64)> {
    for round in 0..STEP_MS / ROUND_MS {
        let now = Instant::from_millis(round * ROUND_MS);
        for action in planner.plan(now) {
            match action {
                Action::Start { replica, .. } if replica == "broken" => {
                    planner.on_run_end(WORK, RunEnd::Interrupted, now);
                }
                Action::Start { .. } => {
                    let events = planner.progress(WORK).unwrap().last_event;
                    return Some((round * ROUND_MS, events));
                }
                Action::Stop { .. } => panic!("a run was stopped"),
            }
        }
        planner.restart_unreachable(now);
    }
    None
}

/// The item starts in the next round if no replica has version 3 or can get it, and keeps its text
/// if one has it. Otherwise it waits for 2.5 s, no longer.
#[rstest]
#[case::newer_only(&[("r", state(4))], Some((40, 0)))]
#[case::same_version(&[("r", state(3)), ("s", state(4))], Some((0, 28)))]
#[case::older_is_past_it(&[("old", state(1)), ("r", state(4))], Some((40, 0)))]
#[case::loading(&[("old", reloading(1)), ("r", state(4))], Some((2_560, 0)))]
#[case::older_only(&[("old", state(2))], Some((2_560, 0)))]
#[case::same_is_loading(&[("same", reloading(3)), ("r", state(4))], Some((2_560, 0)))]
#[case::same_is_broken(&[("broken", state(3)), ("r", state(4))], Some((2_560, 0)))]
#[case::too_old(&[("old", state(1))], None)]
fn interrupted_item_starts(
    #[case] replicas: &[(&str, ReplicaState)],
    #[case] expected: Option<(u64, u64)>,
) {
    let mut planner = interrupted();
    for (name, replica) in replicas {
        planner.set_replica(name, replica.clone());
    }
    assert_eq!(time_to_start(&mut planner), expected);
}

/// A text must not be discarded while no replica can generate the item again, for instance because
/// a node that has just started knows no replica yet.
#[test]
fn text_without_replicas() {
    let mut planner = interrupted();
    for ms in [0, STEP_MS] {
        assert!(planner
            .restart_unreachable(Instant::from_millis(ms))
            .is_empty());
    }
    planner.set_replica("r", state(3));
    assert_eq!(time_to_start(&mut planner), Some((0, 28)));
}

/// The text of an item that started again has the new version alone.
#[test]
fn restarted_text() {
    let mut planner = interrupted();
    planner.set_replica("r", state(4));
    assert!(time_to_start(&mut planner).is_some());
    assert!(planner.on_event(WORK, 1, "y", 4, Instant::default()));
    let mut expected = Progress::default();
    assert!(expected.push(1, "y", 4));
    assert_eq!(planner.progress(WORK), Some(&expected));
}
