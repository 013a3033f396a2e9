//! Guards against a text that one organisation generated ending up in the batch of another one,
//! which gave its item the same id.

use dogwoodlb_batch::{Item, NewBatch, Planner, ReplicaState, WorkId};
use dogwoodlb_types::Instant;
use std::collections::BTreeSet;

fn add_batch(planner: &mut Planner, id: &str, organisation: Option<&str>) {
    let item = Item {
        id: "a".into(),
        group: "g".into(),
        expected_tokens: 100,
        ..Item::default()
    };
    planner.add_batch(&NewBatch {
        id,
        organisation,
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: 1,
        max_attempts: 3,
        event_tokens: 10,
        items: &[item],
        finished: &BTreeSet::new(),
    });
}

#[test]
fn same_item_id() {
    let mut planner = Planner::default();
    let replica = ReplicaState {
        slots: 1,
        versions: [("m".to_owned(), 1)].into(),
        ..ReplicaState::default()
    };
    planner.set_replica("r", replica);
    add_batch(&mut planner, "b1", Some("acme"));
    planner.plan(Instant::from_millis(0));
    planner.on_event(WorkId(1), 1, "secret", 1, Instant::from_millis(30));
    planner.end_batch("b1", Instant::from_millis(50));
    for (batch, organisation) in [("b2", Some("initech")), ("b3", None)] {
        add_batch(&mut planner, batch, organisation);
        assert_eq!(planner.texts(batch, 1), [], "{batch}");
    }
    add_batch(&mut planner, "b4", Some("acme"));
    assert_eq!(planner.item_location(WorkId(1)), Some(("b4", 0)));
}
