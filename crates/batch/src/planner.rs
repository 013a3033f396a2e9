use crate::prefill::{PrefillIndex, Prompt};
use crate::replica::{Replica, ReplicaState};
use crate::work::{Phase, Work, WorkId};
use crate::{Item, ItemText, Progress, PromptPart};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

mod action;
mod candidates;
mod choose;
mod demand;
mod restart;
mod runs;
mod stall;

pub use action::{Action, RunEnd};
pub use demand::Demand;
pub use restart::Restart;
pub use stall::Stall;

/// How long the text of an unfinished item is kept after its batch has ended, because the trainer
/// may resubmit the group.
const CARRYOVER_TTL: Duration = Duration::from_secs(8);

/// A batch to be scheduled.
#[derive(Clone, Debug)]
pub struct NewBatch<'a> {
    /// The id of the batch.
    pub id: &'a str,
    /// The organisation that submitted the batch, if any.
    pub organisation: Option<&'a str>,
    /// The model that generates the items.
    pub model: &'a str,
    /// The oldest weight version that may generate the items.
    pub min_version: u64,
    /// Whether all events of an item must come from one weight version.
    pub single_version: bool,
    /// The number of complete groups that the trainer needs.
    pub target_groups: u32,
    /// The number of failed runs after which an item is abandoned.
    pub max_attempts: u32,
    /// The number of tokens per event.
    pub event_tokens: u64,
    /// The items.
    pub items: &'a [Item],
    /// The indices of the items that already have an outcome.
    pub finished: &'a BTreeSet<u32>,
}

#[derive(Debug)]
struct Batch {
    /// The items without an outcome at the time the batch was added.
    work_items: Vec<WorkId>,
    group_count: usize,
    /// Whether each group is among the `target_groups` that the batch needs: those carried over,
    /// then those whose longest item has the fewest events left.
    is_needed: Vec<bool>,
    /// Whether each group has an item that an earlier batch left unfinished.
    is_carried_over: Vec<bool>,
    target_groups: usize,
    max_attempts: u32,
}

/// The organisation and the id of an item.
type CarryoverKey = (Option<String>, String);

/// Assigns items to replicas.
#[derive(Debug, Default)]
pub struct Planner {
    work_items: BTreeMap<WorkId, Work>,
    batches: BTreeMap<String, Batch>,
    replicas: BTreeMap<Arc<str>, Replica>,
    prefilled: PrefillIndex,
    /// The unfinished items of ended batches. Organisations choose the ids of their items
    /// independently, so that an id alone would show the text of one to another.
    carried_over: HashMap<CarryoverKey, WorkId>,
    last_id: u64,
    next_move_at: Instant,
    /// The time of the last planning round.
    last_round_at: Option<Instant>,
}

impl Planner {
    /// Adds a batch. An item that an ended batch left unfinished continues its text, if the text
    /// meets the constraints of the new batch.
    pub fn add_batch(&mut self, new: &NewBatch<'_>) {
        let mut group_names: Vec<&str> = Vec::new();
        let mut batch = Batch {
            work_items: Vec::new(),
            group_count: 0,
            is_needed: Vec::new(),
            is_carried_over: Vec::new(),
            target_groups: new.target_groups as usize,
            max_attempts: new.max_attempts,
        };
        for (index, item) in (0..).zip(new.items) {
            let group = group_names.iter().position(|name| *name == item.group);
            let group = group.unwrap_or_else(|| {
                group_names.push(&item.group);
                batch.is_carried_over.push(false);
                group_names.len() - 1
            });
            if new.finished.contains(&index) {
                continue;
            }
            let key = (new.organisation.map(str::to_owned), item.id.clone());
            let carried = self.carried_over.remove(&key);
            batch.is_carried_over[group] |= carried.is_some();
            let work = self.insert_work(carried, new, index, item, group);
            batch.work_items.push(work);
        }
        batch.group_count = group_names.len();
        batch.is_needed = vec![true; batch.group_count];
        self.batches.insert(new.id.to_owned(), batch);
        self.select_groups(new.id);
    }

    fn insert_work(
        &mut self,
        carried: Option<WorkId>,
        new: &NewBatch<'_>,
        index: u32,
        item: &Item,
        group: usize,
    ) -> WorkId {
        let is_usable = |work: &Work| {
            work.model == new.model && work.progress.satisfies(new.min_version, new.single_version)
        };
        let id = match carried {
            Some(id) if self.work_items.get(&id).is_some_and(is_usable) => id,
            unusable => {
                // An item that cannot be reused expires in the next planning round.
                if let Some(work) = unusable.and_then(|id| self.work_items.get_mut(&id)) {
                    work.expires_at = Some(Instant::default());
                }
                self.last_id += 1;
                WorkId(self.last_id)
            }
        };
        let events = item.expected_tokens.div_ceil(new.event_tokens.max(1));
        let old = self.work_items.remove(&id);
        let work = Work {
            batch: Some(new.id.to_owned()),
            organisation: new.organisation.map(str::to_owned),
            index,
            item: item.id.clone(),
            model: new.model.to_owned(),
            group_index: group,
            prompt: Prompt::new(new.model, item.prompt_tokens, &[]),
            expected_events: events.max(1),
            min_version: new.min_version,
            single_version: new.single_version,
            phase: old.as_ref().map_or(Phase::Waiting, |old| old.phase.clone()),
            end_report: old.as_ref().and_then(|old| old.end_report.clone()),
            progress: old.map(|old| old.progress).unwrap_or_default(),
            without_event_since: None,
            failures: 0,
            waiting_since: None,
            expires_at: None,
        };
        self.work_items.insert(id, work);
        id
    }

    /// Sets the parts of the prompt of each item of a batch, in their order in the prompt, which
    /// `parts` returns for the index of an item. Without parts, each prompt counts as one of its
    /// own.
    pub fn set_prompt_parts(&mut self, batch: &str, parts: impl Fn(u32) -> Vec<PromptPart>) {
        let Some(batch) = self.batches.get(batch) else {
            return;
        };
        for id in &batch.work_items {
            if let Some(work) = self.work_items.get_mut(id) {
                work.prompt = Prompt::new(&work.model, work.prompt.tokens, &parts(work.index));
            }
        }
    }

    /// Ends a batch. No further items are started, but current runs continue for a while, because
    /// the next batch may contain their items.
    pub fn end_batch(&mut self, batch: &str, now: Instant) {
        let Some(batch) = self.batches.remove(batch) else {
            return;
        };
        for id in batch.work_items {
            let Some(work) = self.work_items.get_mut(&id) else {
                continue;
            };
            let is_reusable = work.progress.last_event > 0 || work.run().is_some();
            let is_over = matches!(work.phase, Phase::Done | Phase::Abandoned);
            if is_over || !is_reusable {
                self.work_items.remove(&id);
                continue;
            }
            work.batch = None;
            work.expires_at = Some(now + CARRYOVER_TTL);
            self.carried_over.insert(work.carryover_key(), id);
        }
    }

    /// Removes a batch that another node has taken over, and returns its runs, which must be
    /// cancelled.
    pub fn remove_batch(&mut self, batch: &str) -> Vec<WorkId> {
        let work_items = self.batches.remove(batch).map(|batch| batch.work_items);
        let work_items = work_items.unwrap_or_default();
        let mut running = Vec::new();
        for id in work_items {
            let work = self.work_items.remove(&id);
            let Some(run) = work.as_ref().and_then(Work::run) else {
                continue;
            };
            if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
                replica.release(run);
            }
            running.push(id);
        }
        running
    }

    /// Returns whether a batch is open.
    pub fn has_batch(&self, batch: &str) -> bool {
        self.batches.contains_key(batch)
    }

    /// Adds a replica or updates its state.
    pub fn set_replica(&mut self, id: &str, state: ReplicaState) {
        match self.replicas.get_mut(id) {
            Some(replica) => {
                for (model, version) in &replica.state.versions {
                    if state.versions.get(model) != Some(version) {
                        self.prefilled.forget(id, model);
                    }
                }
                replica.set_state(state);
            }
            None => {
                self.replicas.insert(id.into(), Replica::new(state));
            }
        }
    }

    /// Removes the replicas for which `keep` returns `false`. Runs on them are not stopped.
    pub fn retain_replicas(&mut self, keep: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| keep(id));
        self.prefilled.retain_replicas(keep);
    }

    /// Returns the batch and the index of an item, unless its batch has ended.
    pub fn item_location(&self, work: WorkId) -> Option<(&str, u32)> {
        let work = self.work_items.get(&work)?;
        Some((work.batch.as_deref()?, work.index))
    }

    /// Returns the model that generates an item.
    pub fn model(&self, work: WorkId) -> Option<&str> {
        self.work_items.get(&work).map(|work| work.model.as_str())
    }

    /// Returns the text that was generated for an item so far.
    pub fn progress(&self, work: WorkId) -> Option<&Progress> {
        self.work_items.get(&work).map(|work| &work.progress)
    }

    /// Returns the items of a batch whose text is complete but which have no outcome yet.
    pub fn generated(&self, batch: &str) -> Vec<WorkId> {
        let work_items = self
            .batches
            .get(batch)
            .map(|batch| batch.work_items.as_slice());
        let work_items = work_items.unwrap_or_default().iter().copied();
        work_items
            .filter(|id| self.work_items[id].phase == Phase::Generated)
            .collect()
    }

    /// Returns whether the text of an item is complete but has no outcome yet.
    pub fn is_generated(&self, work: WorkId) -> bool {
        let work = self.work_items.get(&work);
        work.is_some_and(|work| work.phase == Phase::Generated)
    }

    /// Returns the items of a batch that wait or run. An item whose text is complete is not among
    /// them, even if it has no outcome yet.
    pub fn unfinished(&self, batch: &str) -> Vec<WorkId> {
        let work_items = self
            .batches
            .get(batch)
            .map(|batch| batch.work_items.as_slice());
        let is_open = |id: &WorkId| {
            let phase = &self.work_items[id].phase;
            matches!(phase, Phase::Waiting | Phase::Running(_))
        };
        work_items
            .unwrap_or_default()
            .iter()
            .copied()
            .filter(is_open)
            .collect()
    }

    /// Returns the number of prompt tokens of an item that runs, and how many of them its replica had
    /// to prefill when the run started. The latter is 0 after the first event.
    pub fn prompt_tokens(&self, work: WorkId) -> Option<(u64, u64)> {
        let run = self.work_items.get(&work)?.run()?;
        Some((run.prompt_tokens, run.unprefilled_tokens))
    }

    /// Returns the number of runs on a replica.
    pub fn run_count(&self, replica: &str) -> u32 {
        let replica = self.replicas.get(replica);
        replica.map_or(0, |replica| replica.run_count)
    }

    /// Replaces the text of a waiting item by one that another node generated or stored, if that
    /// one is longer.
    pub fn restore(&mut self, id: WorkId, text: &ItemText) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let is_valid = text
            .progress
            .satisfies(work.min_version, work.single_version);
        let is_longer = text.progress.last_event > work.progress.last_event;
        if is_valid && is_longer && work.phase == Phase::Waiting {
            work.progress = text.progress.clone();
            work.end_report = None;
            if text.is_complete {
                work.phase = Phase::Generated;
            }
        }
    }

    /// Returns the texts of a batch with at least `min_events` events, except those of abandoned
    /// items.
    pub fn texts(&self, batch: &str, min_events: u64) -> Vec<ItemText> {
        let work_items = self
            .batches
            .get(batch)
            .map(|batch| batch.work_items.as_slice());
        let work_items = work_items
            .unwrap_or_default()
            .iter()
            .map(|id| &self.work_items[id]);
        let open = work_items.filter(|work| {
            work.phase != Phase::Abandoned && work.progress.last_event >= min_events.max(1)
        });
        open.map(|work| ItemText {
            batch: batch.to_owned(),
            index: work.index,
            is_complete: matches!(work.phase, Phase::Generated | Phase::Done),
            progress: work.progress.clone(),
        })
        .collect()
    }

    /// Marks an item as completed and scored.
    pub fn mark_done(&mut self, id: WorkId) {
        if let Some(work) = self.work_items.get_mut(&id) {
            work.phase = Phase::Done;
        }
    }

    /// Marks an item as abandoned.
    pub fn mark_abandoned(&mut self, id: WorkId) {
        if let Some(work) = self.work_items.get_mut(&id) {
            work.phase = Phase::Abandoned;
        }
    }
}
