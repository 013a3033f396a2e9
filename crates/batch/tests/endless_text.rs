//! Guards against a replica that generates events without end filling the memory, and against its
//! text being continued by others.

#[path = "support/single_item.rs"]
mod single_item;

use dogwoodlb_batch::{Action, Planner, Progress, RunEnd, WorkId, MAX_TEXT_BYTES};
use dogwoodlb_types::Instant;
use single_item::{add_batch, state};
use std::time::Duration;

const EVENT_BYTES: usize = 1_000;

/// A planner with one item and one replica, where the item runs.
fn running() -> (Planner, WorkId) {
    let mut planner = Planner::default();
    planner.set_replica("faulty", state(1));
    add_batch(&mut planner, 1, false);
    let actions = planner.plan(Instant::default());
    let work = actions.iter().find_map(|action| match action {
        Action::Start { work, .. } => Some(*work),
        _ => None,
    });
    (planner, work.expect("the item starts"))
}

/// Sends events until one is rejected, and returns its number.
fn flood(planner: &mut Planner, work: WorkId) -> u64 {
    let data = "x".repeat(EVENT_BYTES);
    let mut events = 1..=MAX_TEXT_BYTES as u64;
    let rejected =
        events.find(|event| !planner.on_event(work, *event, &data, 1, Instant::default()));
    rejected.expect("the text has no limit")
}

#[test]
fn discarded_text() {
    let (mut planner, work) = running();
    let now = Instant::default();
    let received = flood(&mut planner, work) as usize * (EVENT_BYTES + 1);
    assert!(received > MAX_TEXT_BYTES);
    assert!(received <= MAX_TEXT_BYTES + 2 * EVENT_BYTES);

    assert!(!planner.on_run_end(work, RunEnd::Interrupted, now));
    let progress = planner.progress(work).expect("the item is still open");
    assert_eq!(progress.last_event, 0, "the text would be continued");
    assert!(progress.text.is_empty());
}

/// A text of another node is subject to the same limit.
#[test]
fn inherited_text() {
    let mut progress = Progress::default();
    assert!(progress.push(1, &"x".repeat(MAX_TEXT_BYTES), 1));
    assert!(progress.satisfies(1, false));
    assert!(progress.push(2, "", 1));
    assert!(!progress.satisfies(1, false));
}

/// The replica looks fast, but another one gets the item.
#[test]
fn faulty_replica() {
    let (mut planner, work) = running();
    flood(&mut planner, work);
    planner.on_run_end(work, RunEnd::Interrupted, Instant::default());
    let later = Instant::default() + Duration::from_secs(10);
    assert_eq!(planner.plan(later), []);
    planner.set_replica("sound", state(1));
    let start = Action::Start {
        work,
        replica: "sound".to_owned(),
    };
    assert_eq!(planner.plan(later), [start]);
}
