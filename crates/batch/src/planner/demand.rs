//! The demand of the open batches for replicas of a model.

use super::Planner;
use crate::replica;
use crate::work::{Phase, Work};
use std::time::Duration;

/// The items of a model whose text is not complete.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The number of items.
    pub items: usize,
    /// The number of events that they are expected to need.
    pub events: u64,
}

impl Planner {
    /// Returns whether any item of a model waits for a replica.
    pub fn has_waiting(&self, model: &str) -> bool {
        let mut work_items = self.work_items.values();
        work_items
            .any(|work| work.batch.is_some() && work.model == model && work.phase == Phase::Waiting)
    }

    /// Returns the highest `min_version` among the open batches of a model.
    pub fn min_version(&self, model: &str) -> Option<u64> {
        let work_items = self.work_items.values();
        let work_items = work_items.filter(|work| work.batch.is_some() && work.model == model);
        work_items.map(|work| work.min_version).max()
    }

    /// Returns the demand for a model.
    pub fn demand(&self, model: &str) -> Demand {
        let mut demand = Demand::default();
        for work in self.open_items().filter(|work| work.model == model) {
            demand.items += 1;
            demand.events = demand.events.saturating_add(work.remaining_events());
        }
        demand
    }

    /// Returns the time that all open items are expected to need in one slot of a replica that runs
    /// `slots` items concurrently. The time to prefill prompts is not included.
    pub fn open_work(&self, slots: u32) -> Duration {
        let events = self.open_items().map(Work::remaining_events);
        let events = events.fold(0, u64::saturating_add);
        let event_ms = self.typical_event_ms() * replica::slowdown(slots);
        Duration::from_millis((events as f64 * event_ms) as u64)
    }

    /// Returns the items of open batches whose text is not complete.
    fn open_items(&self) -> impl Iterator<Item = &Work> {
        let work_items = self.work_items.values();
        work_items.filter(|work| {
            let is_open = matches!(work.phase, Phase::Waiting | Phase::Running(_));
            is_open && work.batch.is_some()
        })
    }
}
