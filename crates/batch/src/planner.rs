use crate::replica::{Replica, ReplicaState};
use crate::work::{Phase, Work, WorkId};
use crate::{Item, ItemText, Progress};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

mod candidates;
mod choose;

/// How long the text of an unfinished item is kept after the end of its batch, since its group
/// may come again.
const CARRY: Duration = Duration::from_secs(8);

/// A batch to run.
#[derive(Clone, Debug)]
pub struct NewBatch<'a> {
    /// The id of the batch.
    pub id: &'a str,
    /// The model that generates.
    pub model: &'a str,
    /// The oldest weight version that may generate.
    pub min_version: u64,
    /// Whether all events of an item must come from one version.
    pub single_version: bool,
    /// The complete groups that the trainer waits for.
    pub target_groups: u32,
    /// The failed runs after which an item is given up.
    pub max_attempts: u32,
    /// The tokens of one event.
    pub event_tokens: u64,
    /// The items.
    pub items: &'a [Item],
    /// The indices of items that have a result already.
    pub finished: &'a BTreeSet<u32>,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the item to a replica; it resumes after the events that are known.
    Start {
        /// The work.
        work: WorkId,
        /// The replica.
        replica: String,
    },
    /// Break off the run and report [`RunEnd::Moved`].
    Stop {
        /// The work.
        work: WorkId,
        /// Why.
        reason: &'static str,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The text is whole.
    Whole,
    /// The stream broke; the item can be resumed.
    Broken,
    /// The replica did not run the item.
    Refused,
    /// The replica answered that the run failed.
    Failed,
    /// The planner asked for the end.
    Moved,
}

#[derive(Debug)]
struct Batch {
    works: Vec<WorkId>,
    groups: usize,
    needed: Vec<bool>,
    /// Groups that came from an earlier batch; the trainer waits for them in any case.
    carried: Vec<bool>,
    target: usize,
    max_attempts: u32,
}

/// Decides which item runs where.
#[derive(Debug, Default)]
pub struct Planner {
    works: BTreeMap<WorkId, Work>,
    batches: BTreeMap<String, Batch>,
    replicas: BTreeMap<Arc<str>, Replica>,
    carried: HashMap<String, WorkId>,
    next: u64,
    next_move: Instant,
}

impl Planner {
    /// Takes over a batch. Texts of items that an earlier batch left unfinished are used.
    pub fn add_batch(&mut self, new: &NewBatch<'_>) {
        let mut names: Vec<&str> = Vec::new();
        let mut batch = Batch {
            works: Vec::new(),
            groups: 0,
            needed: Vec::new(),
            carried: Vec::new(),
            target: new.target_groups as usize,
            max_attempts: new.max_attempts,
        };
        for (index, item) in (0..).zip(new.items) {
            let group = names.iter().position(|name| *name == item.group);
            let group = group.unwrap_or_else(|| {
                names.push(&item.group);
                batch.carried.push(false);
                names.len() - 1
            });
            if new.finished.contains(&index) {
                continue;
            }
            let known = self.carried.remove(&item.id);
            batch.carried[group] |= known.is_some();
            let work = self.adopt(known, new, index, item, group);
            batch.works.push(work);
        }
        batch.groups = names.len();
        batch.needed = vec![true; batch.groups];
        self.batches.insert(new.id.to_owned(), batch);
        self.rank_groups(new.id);
    }

    fn adopt(
        &mut self,
        known: Option<WorkId>,
        new: &NewBatch<'_>,
        index: u32,
        item: &Item,
        group: usize,
    ) -> WorkId {
        let fits = |work: &Work| {
            work.model == new.model && work.progress.satisfies(new.min_version, new.single_version)
        };
        let id = match known {
            Some(id) if self.works.get(&id).is_some_and(fits) => id,
            unusable => {
                if let Some(work) = unusable.and_then(|id| self.works.get_mut(&id)) {
                    work.expires = Some(Instant::default());
                }
                self.next += 1;
                WorkId(self.next)
            }
        };
        let events = item.expected_tokens.div_ceil(new.event_tokens.max(1));
        let old = self.works.remove(&id);
        let work = Work {
            batch: Some(new.id.to_owned()),
            index,
            item: item.id.clone(),
            model: new.model.to_owned(),
            group,
            prompt_tokens: item.prompt_tokens,
            expected_events: events.max(1),
            min_version: new.min_version,
            single_version: new.single_version,
            phase: old.as_ref().map_or(Phase::Waiting, |old| old.phase.clone()),
            progress: old.map(|old| old.progress).unwrap_or_default(),
            failures: 0,
            expires: None,
        };
        self.works.insert(id, work);
        id
    }

    /// Ends a batch: nothing of it is started any more, but runs go on for a while, because
    /// their items may come again in the next batch.
    pub fn end_batch(&mut self, batch: &str, now: Instant) {
        let Some(batch) = self.batches.remove(batch) else {
            return;
        };
        for id in batch.works {
            let Some(work) = self.works.get_mut(&id) else {
                continue;
            };
            let useful = work.progress.last_event > 0 || work.run().is_some();
            let is_over = matches!(work.phase, Phase::Done | Phase::GivenUp);
            if is_over || !useful {
                self.works.remove(&id);
                continue;
            }
            work.batch = None;
            work.expires = Some(now + CARRY);
            self.carried.insert(work.item.clone(), id);
        }
    }

    /// Forgets a batch that another node has taken over; its runs are to be stopped.
    pub fn remove_batch(&mut self, batch: &str) -> Vec<WorkId> {
        let works = self.batches.remove(batch).map(|batch| batch.works);
        let works = works.unwrap_or_default();
        let mut running = Vec::new();
        for id in works {
            let work = self.works.remove(&id);
            let Some(run) = work.as_ref().and_then(Work::run) else {
                continue;
            };
            if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
                replica.release(run.tokens);
            }
            running.push(id);
        }
        running
    }

    /// Returns whether a batch is being run.
    pub fn has_batch(&self, batch: &str) -> bool {
        self.batches.contains_key(batch)
    }

    /// Takes in what is known of a replica.
    pub fn set_replica(&mut self, id: &str, view: ReplicaState) {
        match self.replicas.get_mut(id) {
            Some(replica) => replica.view = view,
            None => {
                self.replicas.insert(id.into(), Replica::new(view));
            }
        }
    }

    /// Keeps only the replicas that a predicate names; runs on others end by themselves.
    pub fn retain_replicas(&mut self, keep: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| keep(id));
    }

    /// Returns the batch and the index of a work, unless its batch has ended.
    pub fn item_location(&self, work: WorkId) -> Option<(&str, u32)> {
        let work = self.works.get(&work)?;
        Some((work.batch.as_deref()?, work.index))
    }

    /// Returns the model of a work.
    pub fn model(&self, work: WorkId) -> Option<&str> {
        self.works.get(&work).map(|work| work.model.as_str())
    }

    /// Returns what was generated so far.
    pub fn progress(&self, work: WorkId) -> Option<&Progress> {
        self.works.get(&work).map(|work| &work.progress)
    }

    /// Returns the works of a batch whose text is whole and not yet listed.
    pub fn generated(&self, batch: &str) -> Vec<WorkId> {
        let works = self.batches.get(batch).map(|batch| batch.works.as_slice());
        let works = works.unwrap_or_default().iter().copied();
        works
            .filter(|id| self.works[id].phase == Phase::Generated)
            .collect()
    }

    /// Returns the works of a batch that have no whole text yet.
    pub fn unfinished(&self, batch: &str) -> Vec<WorkId> {
        let works = self.batches.get(batch).map(|batch| batch.works.as_slice());
        let is_open = |id: &WorkId| {
            let phase = &self.works[id].phase;
            matches!(phase, Phase::Waiting | Phase::Running(_))
        };
        works
            .unwrap_or_default()
            .iter()
            .copied()
            .filter(is_open)
            .collect()
    }

    /// Returns whether items of a model wait for a replica.
    pub fn has_waiting(&self, model: &str) -> bool {
        let mut works = self.works.values();
        works
            .any(|work| work.batch.is_some() && work.model == model && work.phase == Phase::Waiting)
    }

    /// Returns the highest of the oldest versions that the open batches of a model accept.
    pub fn min_version(&self, model: &str) -> Option<u64> {
        let works = self.works.values();
        let works = works.filter(|work| work.batch.is_some() && work.model == model);
        works.map(|work| work.min_version).max()
    }

    /// Returns the items of a model that have no whole text yet.
    pub fn demand(&self, model: &str) -> usize {
        let is_open = |work: &&Work| {
            let is_open = matches!(work.phase, Phase::Waiting | Phase::Running(_));
            is_open && work.batch.is_some() && work.model == model
        };
        self.works.values().filter(is_open).count()
    }

    /// Returns the runs on a replica.
    pub fn running(&self, replica: &str) -> u32 {
        let replica = self.replicas.get(replica);
        replica.map_or(0, |replica| replica.running)
    }

    /// Takes in an event of a run; `false` means that it is not the next one, and that the run
    /// has to be broken off.
    pub fn on_event(
        &mut self,
        id: WorkId,
        event: u64,
        data: &str,
        version: u64,
        now: Instant,
    ) -> bool {
        let Some(work) = self.works.get_mut(&id) else {
            return false;
        };
        if version < work.min_version || !work.progress.push(event, data, version) {
            return false;
        }
        let fits = work
            .progress
            .satisfies(work.min_version, work.single_version);
        let Phase::Running(run) = &mut work.phase else {
            return false;
        };
        // The first gap holds the time in the replica's queue and the reading of the prompt.
        if run.events > 0 {
            if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
                replica.on_event(now.saturating_since(run.heard), now);
            }
        }
        run.events += 1;
        run.heard = now;
        fits
    }

    /// Takes in the end of a run; returns whether the item has failed for good.
    pub fn on_run_end(&mut self, id: WorkId, stop: RunEnd, now: Instant) -> bool {
        let Some(work) = self.works.get_mut(&id) else {
            return false;
        };
        let Phase::Running(run) = work.phase.clone() else {
            return false;
        };
        if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
            replica.release(run.tokens);
            match stop {
                RunEnd::Broken | RunEnd::Failed => replica.on_failure(now),
                RunEnd::Refused => replica.on_refusal(now),
                RunEnd::Moved | RunEnd::Whole => {}
            }
        }
        work.phase = match stop {
            RunEnd::Whole => Phase::Generated,
            _ => Phase::Waiting,
        };
        if !work
            .progress
            .satisfies(work.min_version, work.single_version)
        {
            work.progress = Progress::default();
            work.phase = Phase::Waiting;
        }
        work.failures += u32::from(stop == RunEnd::Failed);
        let batch = work.batch.as_ref().and_then(|id| self.batches.get(id));
        batch.is_some_and(|batch| work.failures >= batch.max_attempts)
    }

    /// Uses a text that another node had, if it is longer than what is known.
    pub fn restore(&mut self, id: WorkId, text: &ItemText) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let fits = text
            .progress
            .satisfies(work.min_version, work.single_version);
        let is_longer = text.progress.last_event > work.progress.last_event;
        if fits && is_longer && work.phase == Phase::Waiting {
            work.progress = text.progress.clone();
            if text.is_complete {
                work.phase = Phase::Generated;
            }
        }
    }

    /// Returns the texts of a batch that have at least `least` events.
    pub fn texts(&self, batch: &str, least: u64) -> Vec<ItemText> {
        let works = self.batches.get(batch).map(|batch| batch.works.as_slice());
        let works = works.unwrap_or_default().iter().map(|id| &self.works[id]);
        let open = works.filter(|work| {
            work.phase != Phase::GivenUp && work.progress.last_event >= least.max(1)
        });
        open.map(|work| ItemText {
            batch: batch.to_owned(),
            index: work.index,
            is_complete: matches!(work.phase, Phase::Generated | Phase::Done),
            progress: work.progress.clone(),
        })
        .collect()
    }

    /// Notes that a work has its outcome.
    pub fn mark_done(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.phase = Phase::Done;
        }
    }

    /// Notes that a work is given up.
    pub fn mark_abandoned(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.phase = Phase::GivenUp;
        }
    }
}
