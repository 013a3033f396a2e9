//! Guards against steps that are delayed because items start late or on an unsuitable replica.

use dogwoodlb_batch::{Action, Item, NewBatch, Planner, ReplicaState, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use std::collections::BTreeSet;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn item(id: &str, group: &str, tokens: u64) -> Item {
    Item {
        id: id.into(),
        group: group.into(),
        prompt_tokens: 10,
        expected_tokens: tokens,
        ..Item::default()
    }
}

fn add_batch(planner: &mut Planner, id: &str, min_version: u64, items: &[Item]) {
    planner.add_batch(&NewBatch {
        id,
        organisation: None,
        model: "m",
        min_version,
        single_version: false,
        target_groups: 1,
        max_attempts: 3,
        event_tokens: 10,
        items,
        finished: &BTreeSet::new(),
    });
}

fn state(slots: u32, version: u64) -> ReplicaState {
    ReplicaState {
        slots,
        versions: [("m".to_owned(), version)].into(),
        ..ReplicaState::default()
    }
}

fn starts(actions: &[Action]) -> Vec<(u64, &str)> {
    let start = |action: &'_ Action| match action {
        Action::Start { work, replica } => Some((work.0, replica.clone())),
        Action::Stop { .. } => None,
    };
    let starts: Vec<(u64, String)> = actions.iter().filter_map(start).collect();
    starts
        .into_iter()
        .map(|(work, replica)| (work, &*replica.leak()))
        .collect()
}

#[test]
fn longest_item_of_needed_group_first() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(2, 1));
    let items = [
        item("a", "short", 100),
        item("b", "short", 300),
        item("c", "long", 900),
    ];
    add_batch(&mut planner, "b1", 1, &items);
    assert_eq!(starts(&planner.plan(at(0))), [(2, "r"), (1, "r")]);
}

/// Guards against a step that is about to finish waiting behind the longer items of a step that
/// has just started, which delays the trainer.
#[test]
fn finishing_batch_first() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 1));
    let long: Vec<Item> = (0..6).map(|n| item(&format!("n{n}"), "g", 900)).collect();
    add_batch(&mut planner, "new", 1, &long);
    add_batch(&mut planner, "old", 1, &[item("a", "g", 100)]);
    let actions = planner.plan(at(0));
    assert_eq!(starts(&actions), [(7, "r"), (1, "r"), (2, "r"), (3, "r")]);
}

/// Guards against starting the older step first regardless of length: the long items of the
/// newer step then start late and delay that step.
#[test]
fn longest_item_first_across_batches() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 1));
    let items = |name: &str, tokens| -> Vec<Item> {
        let item = |n| item(&format!("{name}{n}"), name, tokens);
        (0..4).map(item).collect()
    };
    add_batch(&mut planner, "a-old", 1, &items("old", 100));
    add_batch(&mut planner, "b-new", 1, &items("new", 900));
    let actions = planner.plan(at(0));
    assert_eq!(starts(&actions), [(5, "r"), (6, "r"), (7, "r"), (8, "r")]);
}

/// Guards against an item that was interrupted by a reload of weights being queued behind all
/// others of its step, which then take the free slots it should have moved to.
#[test]
fn moved_run_resumes_first() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(1, 1));
    let items = [
        item("a", "g", 900),
        item("b", "g", 890),
        item("c", "g", 890),
    ];
    add_batch(&mut planner, "b1", 1, &items);
    assert_eq!(starts(&planner.plan(at(0))), [(1, "r")]);
    for event in 1..=8 {
        let now = at(30 * event);
        assert!(planner.on_event(WorkId(1), event, "x", 1, now));
    }
    planner.set_replica("other", state(1, 1));
    let mut reloading = state(1, 1);
    reloading.reloading.push("m".into());
    planner.set_replica("r", reloading);
    let actions = planner.plan(at(300));
    assert!(
        matches!(
            actions[..],
            [Action::Stop {
                work: WorkId(1),
                ..
            }]
        ),
        "{actions:?}"
    );
    planner.on_run_end(WorkId(1), RunEnd::Stopped, at(300));
    assert_eq!(starts(&planner.plan(at(300))), [(1, "other")]);
}

#[test]
fn outdated_replica_is_not_used() {
    let mut planner = Planner::default();
    planner.set_replica("old", state(4, 1));
    add_batch(&mut planner, "b1", 2, &[item("a", "g", 100)]);
    assert!(planner.plan(at(0)).is_empty());
    planner.set_replica("new", state(4, 2));
    assert_eq!(starts(&planner.plan(at(10))), [(1, "new")]);
}

#[test]
fn resume_after_break() {
    let mut planner = Planner::default();
    planner.set_replica("first", state(4, 1));
    add_batch(&mut planner, "b1", 1, &[item("a", "g", 100)]);
    planner.plan(at(0));
    assert!(planner.on_event(WorkId(1), 1, "x", 1, at(30)));
    planner.set_replica("second", state(4, 1));
    assert!(!planner.on_run_end(WorkId(1), RunEnd::Interrupted, at(40)));
    // The failed replica is in backoff, and the text so far is kept.
    assert_eq!(starts(&planner.plan(at(40))), [(1, "second")]);
    assert_eq!(planner.progress(WorkId(1)).unwrap().last_event, 1);
    assert!(
        !planner.on_event(WorkId(1), 3, "z", 1, at(50)),
        "event 2 is missing"
    );
}

#[test]
fn last_attempt_fails() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 1));
    add_batch(&mut planner, "b1", 1, &[item("a", "g", 100)]);
    for (round, last) in [(0, false), (1, false), (2, true)] {
        let now = at(round * 10_000);
        assert_eq!(planner.plan(now).len(), 1);
        assert_eq!(planner.on_run_end(WorkId(1), RunEnd::Failed, now), last);
    }
}

#[test]
fn carried_text() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 2));
    let items = [item("a", "g", 100)];
    add_batch(&mut planner, "b1", 1, &items);
    planner.plan(at(0));
    planner.on_event(WorkId(1), 1, "x", 2, at(30));
    planner.end_batch("b1", at(50));
    assert!(planner.item_location(WorkId(1)).is_none());
    add_batch(&mut planner, "b2", 2, &items);
    assert_eq!(planner.item_location(WorkId(1)), Some(("b2", 0)));
    // Text that was generated by too old a version is not reused.
    planner.end_batch("b2", at(60));
    add_batch(&mut planner, "b3", 3, &items);
    assert!(planner.item_location(WorkId(1)).is_none());
    assert_eq!(planner.progress(WorkId(2)).unwrap().last_event, 0);
    let stop = |action: &Action| {
        matches!(
            action,
            Action::Stop {
                work: WorkId(1),
                ..
            }
        )
    };
    assert!(
        planner.plan(at(70)).iter().any(stop),
        "the run with outdated weights was not stopped"
    );
}

#[test]
fn run_leaves_reloading_replica() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 1));
    add_batch(&mut planner, "b1", 1, &[item("a", "g", 100)]);
    planner.plan(at(0));
    planner.set_replica("other", state(4, 1));
    let mut reloading = state(4, 1);
    reloading.reloading.push("m".into());
    planner.set_replica("r", reloading);
    let actions = planner.plan(at(200));
    assert!(matches!(
        actions[..],
        [Action::Stop {
            work: WorkId(1),
            ..
        }]
    ));
    planner.on_run_end(WorkId(1), RunEnd::Stopped, at(200));
    assert_eq!(starts(&planner.plan(at(200))), [(1, "other")]);
}

#[test]
fn stalled_run() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(4, 1));
    add_batch(&mut planner, "b1", 1, &[item("a", "g", 100)]);
    planner.plan(at(0));
    let mut plan = |ms: u64| planner.plan(at(ms));
    assert!((100..=1_000).step_by(100).all(|ms| plan(ms).is_empty()));
    let stopped = (1_100..=3_000).step_by(100).find_map(|ms| plan(ms).pop());
    assert!(matches!(stopped, Some(Action::Stop { .. })));
}

/// Guards against a renamed variant that changes the values of the metric label.
#[test]
fn metric_labels() {
    let ends = [
        RunEnd::Completed,
        RunEnd::Interrupted,
        RunEnd::Refused,
        RunEnd::Failed,
        RunEnd::Stopped,
    ];
    let labels = ["whole", "broken", "refused", "failed", "moved"];
    assert_eq!(ends.map(RunEnd::as_str), labels);
}

/// Token counts that callers state made sums overflow, so that the task which runs the batches
/// ended.
#[test]
fn highest_token_counts() {
    let mut planner = Planner::default();
    let mut replica = state(2, 1);
    replica.kv_capacity_tokens = 1_000;
    planner.set_replica("r", replica);
    let huge = |id: &str| Item {
        prompt_tokens: u64::MAX,
        ..item(id, id, u64::MAX)
    };
    planner.add_batch(&NewBatch {
        id: "b",
        organisation: None,
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: 3,
        max_attempts: 3,
        event_tokens: 1,
        items: &[huge("a"), huge("b"), item("c", "c", 10)],
        finished: &BTreeSet::new(),
    });
    // A prompt that exceeds the capacity runs alone.
    let first = planner.plan(at(0));
    assert_eq!(starts(&first), [(1, "r")]);
    assert_eq!(planner.demand("m").events, u64::MAX);
    assert!(planner.on_event(WorkId(1), 1, "text", 1, at(1)));
    planner.on_run_end(WorkId(1), RunEnd::Completed, at(1));
    assert_eq!(starts(&planner.plan(at(2))), [(2, "r")]);
}
