//! A batch with a single item, and replicas with one slot.

use dogwoodlb_batch::{Item, NewBatch, Planner, ReplicaState};
use std::collections::BTreeSet;

/// A replica with a weight version of the model `m`.
pub(crate) fn state(version: u64) -> ReplicaState {
    ReplicaState {
        slots: 1,
        versions: [("m".to_owned(), version)].into(),
        ..ReplicaState::default()
    }
}

/// Adds the batch `b` of the model `m` with the item `a`.
pub(crate) fn add_batch(planner: &mut Planner, min_version: u64, single_version: bool) {
    let item = Item {
        id: "a".into(),
        group: "g".into(),
        expected_tokens: 100,
        ..Item::default()
    };
    planner.add_batch(&NewBatch {
        id: "b",
        organisation: None,
        model: "m",
        min_version,
        single_version,
        target_groups: 1,
        max_attempts: 3,
        event_tokens: 10,
        items: &[item],
        finished: &BTreeSet::new(),
    });
}
