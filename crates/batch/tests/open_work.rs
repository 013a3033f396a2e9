//! Guards against replicas that are ordered for work that nobody waits for.

use dogwoodlb_batch::{Item, NewBatch, Planner};
use dogwoodlb_types::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Adds a batch of four items with ten events each.
fn add_batch(planner: &mut Planner, id: &str, finished: &BTreeSet<u32>) {
    let item = |number: u32| Item {
        id: format!("{id}-{number}"),
        expected_tokens: 100,
        ..Item::default()
    };
    let items: Vec<Item> = (0..4).map(item).collect();
    planner.add_batch(&NewBatch {
        id,
        organisation: None,
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: 1,
        max_attempts: 3,
        event_tokens: 10,
        items: &items,
        priority: 0,
        deadline: None,
        finished,
    });
}

#[test]
fn unfinished_items_only() {
    let mut planner = Planner::default();
    assert_eq!(planner.open_work(6), Duration::ZERO);
    add_batch(&mut planner, "a", &BTreeSet::new());
    let whole = planner.open_work(6);
    assert!(planner.open_work(12) > whole, "more runs are slower");
    add_batch(&mut planner, "b", &[0, 3].into());
    let is_about = |work: Duration, expected| work.abs_diff(expected) < Duration::from_millis(2);
    assert!(is_about(planner.open_work(6), whole * 3 / 2));
    planner.end_batch("a", Instant::from_millis(0));
    assert!(is_about(planner.open_work(6), whole / 2));
}
