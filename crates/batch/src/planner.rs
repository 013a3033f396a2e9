use crate::replica::{Replica, View};
use crate::work::{Phase, Run, Work, WorkId};
use crate::{Item, Progress, Text};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A run without an event for this long is taken to another replica. A change of weights
/// stops all runs of a replica for about a second.
const STALL: Duration = Duration::from_millis(2_200);
/// How long the text of an unfinished item is kept after the end of its batch, since its group
/// may come again.
const CARRY: Duration = Duration::from_secs(8);
/// The time that a move has to save, so that the repeated reading of the prompt pays.
const MOVE_GAIN: Duration = Duration::from_millis(300);
/// A run is not moved before it has run this long, so that its speed is known.
const MOVE_AFTER: Duration = Duration::from_millis(400);
/// The moves of one round; the speeds are estimated anew before the next one.
const MOVES: usize = 4;
const MOVE_INTERVAL: Duration = Duration::from_millis(100);
/// The time of one event before any was seen, in milliseconds.
const FIRST_EVENT_MS: f64 = 32.0;

/// A batch to run.
#[derive(Clone, Debug)]
pub struct Open<'a> {
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
    pub listed: &'a BTreeSet<u32>,
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
    /// Break off the run and report [`Stop::Moved`].
    Stop {
        /// The work.
        work: WorkId,
        /// Why.
        reason: &'static str,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
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
    replicas: BTreeMap<String, Replica>,
    carried: HashMap<String, WorkId>,
    next: u64,
    next_move: Instant,
}

impl Planner {
    /// Takes over a batch. Texts of items that an earlier batch left unfinished are used.
    pub fn open(&mut self, open: &Open<'_>) {
        let mut names: Vec<&str> = Vec::new();
        let mut batch = Batch {
            works: Vec::new(),
            groups: 0,
            needed: Vec::new(),
            carried: Vec::new(),
            target: open.target_groups as usize,
            max_attempts: open.max_attempts,
        };
        for (index, item) in (0..).zip(open.items) {
            let group = names.iter().position(|name| *name == item.group);
            let group = group.unwrap_or_else(|| {
                names.push(&item.group);
                batch.carried.push(false);
                names.len() - 1
            });
            if open.listed.contains(&index) {
                continue;
            }
            let known = self.carried.remove(&item.id);
            batch.carried[group] |= known.is_some();
            let work = self.adopt(known, open, index, item, group);
            batch.works.push(work);
        }
        batch.groups = names.len();
        batch.needed = vec![true; batch.groups];
        self.batches.insert(open.id.to_owned(), batch);
        self.rank_groups(open.id);
    }

    fn adopt(
        &mut self,
        known: Option<WorkId>,
        open: &Open<'_>,
        index: u32,
        item: &Item,
        group: usize,
    ) -> WorkId {
        let fits = |work: &Work| {
            work.model == open.model && work.progress.fits(open.min_version, open.single_version)
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
        let events = item.expected_tokens.div_ceil(open.event_tokens.max(1));
        let old = self.works.remove(&id);
        let work = Work {
            batch: Some(open.id.to_owned()),
            index,
            item: item.id.clone(),
            model: open.model.to_owned(),
            group,
            prompt_tokens: item.prompt_tokens,
            expected_events: events.max(1),
            min_version: open.min_version,
            single_version: open.single_version,
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
    pub fn close(&mut self, batch: &str, now: Instant) {
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
    pub fn forget(&mut self, batch: &str) -> Vec<WorkId> {
        let works = self.batches.remove(batch).map(|batch| batch.works);
        let works = works.unwrap_or_default();
        let running = works.iter().filter(|id| {
            let work = self.works.remove(id);
            work.is_some_and(|work| work.run().is_some())
        });
        running.copied().collect()
    }

    /// Returns whether a batch is being run.
    pub fn has(&self, batch: &str) -> bool {
        self.batches.contains_key(batch)
    }

    /// Takes in what is known of a replica.
    pub fn set_replica(&mut self, id: &str, view: View) {
        match self.replicas.get_mut(id) {
            Some(replica) => replica.view = view,
            None => {
                self.replicas.insert(id.to_owned(), Replica::new(view));
            }
        }
    }

    /// Keeps only the replicas that a predicate names; runs on others end by themselves.
    pub fn retain_replicas(&mut self, keep: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| keep(id));
    }

    /// Returns the batch and the index of a work, unless its batch has ended.
    pub fn place(&self, work: WorkId) -> Option<(&str, u32)> {
        let work = self.works.get(&work)?;
        Some((work.batch.as_deref()?, work.index))
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

    /// Returns the runs on a replica, of one model or of all.
    pub fn running(&self, replica: &str, model: Option<&str>) -> usize {
        let here = |work: &&Work| {
            work.run().is_some_and(|run| run.replica == replica)
                && model.is_none_or(|model| work.model == model)
        };
        self.works.values().filter(here).count()
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
        let fits = work.progress.fits(work.min_version, work.single_version);
        let Phase::Running(run) = &mut work.phase else {
            return false;
        };
        // The first gap holds the time in the replica's queue and the reading of the prompt.
        if run.events > 0 {
            if let Some(replica) = self.replicas.get_mut(&run.replica) {
                replica.on_event(now.saturating_since(run.heard), now);
            }
        }
        run.events += 1;
        run.heard = now;
        fits
    }

    /// Takes in the end of a run; returns whether the item has failed for good.
    pub fn on_stop(&mut self, id: WorkId, stop: Stop, now: Instant) -> bool {
        let Some(work) = self.works.get_mut(&id) else {
            return false;
        };
        let Phase::Running(run) = work.phase.clone() else {
            return false;
        };
        if let Some(replica) = self.replicas.get_mut(&run.replica) {
            replica.running = replica.running.saturating_sub(1);
            replica.tokens = replica.tokens.saturating_sub(run.tokens);
            match stop {
                Stop::Broken | Stop::Failed => replica.on_failure(now),
                Stop::Refused => replica.on_refusal(now),
                Stop::Moved | Stop::Whole => {}
            }
        }
        work.phase = match stop {
            Stop::Whole => Phase::Generated,
            _ => Phase::Waiting,
        };
        if !work.progress.fits(work.min_version, work.single_version) {
            work.progress = Progress::default();
            work.phase = Phase::Waiting;
        }
        work.failures += u32::from(stop == Stop::Failed);
        let batch = work.batch.as_ref().and_then(|id| self.batches.get(id));
        batch.is_some_and(|batch| work.failures >= batch.max_attempts)
    }

    /// Throws away the text of a work, because it turned out not to be usable.
    pub fn reset(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.progress = Progress::default();
        }
    }

    /// Uses a text that another node had, if it is longer than what is known.
    pub fn restore(&mut self, id: WorkId, text: &Text) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let fits = text.progress.fits(work.min_version, work.single_version);
        let is_longer = text.progress.last_event > work.progress.last_event;
        if fits && is_longer && work.phase == Phase::Waiting {
            work.progress = text.progress.clone();
            if text.is_whole {
                work.phase = Phase::Generated;
            }
        }
    }

    /// Returns the texts of a batch that have at least `least` events.
    pub fn texts(&self, batch: &str, least: u64) -> Vec<Text> {
        let works = self.batches.get(batch).map(|batch| batch.works.as_slice());
        let works = works.unwrap_or_default().iter().map(|id| &self.works[id]);
        let open = works.filter(|work| {
            work.phase != Phase::GivenUp && work.progress.last_event >= least.max(1)
        });
        open.map(|work| Text {
            batch: batch.to_owned(),
            index: work.index,
            is_whole: matches!(work.phase, Phase::Generated | Phase::Done),
            progress: work.progress.clone(),
        })
        .collect()
    }

    /// Notes that a work has its outcome.
    pub fn finish(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.phase = Phase::Done;
        }
    }

    /// Notes that a work is given up.
    pub fn give_up(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.phase = Phase::GivenUp;
        }
    }

    /// Decides what is started and stopped now.
    pub fn plan(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.stop_stalled(now, &mut actions);
        if self.next_move <= now {
            self.next_move = now + MOVE_INTERVAL;
            let batches: Vec<String> = self.batches.keys().cloned().collect();
            for batch in batches {
                self.rank_groups(&batch);
            }
            self.plan_moves(now, &mut actions);
        }
        self.plan_starts(now, &mut actions);
        actions
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_expired = |work: &Work| work.expires.is_some_and(|at| at <= now);
        let expired = self.works.iter().filter(|(_, work)| is_expired(work));
        let expired: Vec<WorkId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(work) = self.works.get_mut(&id) else {
                continue;
            };
            if self.carried.get(&work.item) == Some(&id) {
                self.carried.remove(&work.item);
            }
            match &mut work.phase {
                Phase::Running(run) if !run.stopping => {
                    run.stopping = true;
                    actions.push(Action::Stop {
                        work: id,
                        reason: "expired",
                    });
                }
                Phase::Running(_) => {}
                _ => {
                    self.works.remove(&id);
                }
            }
        }
    }

    fn stop_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (id, work) in &mut self.works {
            let Phase::Running(run) = &mut work.phase else {
                continue;
            };
            if run.stopping || now.saturating_since(run.heard) < STALL {
                continue;
            }
            run.stopping = true;
            if let Some(replica) = self.replicas.get_mut(&run.replica) {
                replica.on_failure(now);
            }
            actions.push(Action::Stop {
                work: *id,
                reason: "stalled",
            });
        }
    }

    /// Chooses the groups of a batch that are likely to be complete first.
    fn rank_groups(&mut self, batch: &str) {
        let Some(batch) = self.batches.get_mut(batch) else {
            return;
        };
        let mut longest = vec![0; batch.groups];
        for id in &batch.works {
            let work = &self.works[id];
            if matches!(work.phase, Phase::Waiting | Phase::Running(_)) {
                longest[work.group] = longest[work.group].max(work.remaining());
            }
        }
        let mut order: Vec<usize> = (0..batch.groups).collect();
        order.sort_by_key(|group| (!batch.carried[*group], longest[*group]));
        batch.needed = vec![false; batch.groups];
        for group in order.into_iter().take(batch.target.max(1)) {
            batch.needed[group] = true;
        }
    }

    fn is_needed(&self, work: &Work) -> bool {
        let batch = work.batch.as_ref().and_then(|id| self.batches.get(id));
        batch.is_some_and(|batch| batch.needed[work.group])
    }

    fn plan_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_waiting = |work: &Work| work.batch.is_some() && work.phase == Phase::Waiting;
        let waiting = self.works.iter().filter(|(_, work)| is_waiting(work));
        let mut waiting: Vec<(bool, u64, WorkId)> = waiting
            .map(|(id, work)| (self.is_needed(work), work.remaining(), *id))
            .collect();
        // The longest ones start first, because the last one to end decides.
        waiting.sort_by(|a, b| (b.0, b.1, a.2).cmp(&(a.0, a.1, b.2)));
        let usual = self.usual_ms();
        for (needed, _, id) in waiting {
            let work = &self.works[&id];
            let Some(replica) = self.choose(work, needed, usual, now) else {
                continue;
            };
            self.start(id, &replica, now);
            actions.push(Action::Start { work: id, replica });
        }
    }

    fn choose(&self, work: &Work, needed: bool, usual: f64, now: Instant) -> Option<String> {
        let tokens = work.prompt_tokens;
        let fits = |replica: &Replica| {
            replica.has_room(&work.model, tokens, now) && accepts(work, replica)
        };
        let usable = self.replicas.iter().filter(|(_, replica)| fits(replica));
        let cost = |replica: &Replica| {
            let ms = replica.event_ms(replica.running + 1, usual, now);
            // The text of a group that will come again has to be new enough for its next batch.
            let is_old = replica.version(&work.model) <= Some(work.min_version);
            if !needed && is_old {
                ms * 10.0
            } else {
                ms
            }
        };
        let best = usable.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        best.map(|(id, _)| id.clone())
    }

    fn start(&mut self, id: WorkId, name: &str, now: Instant) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let tokens = work.prompt_tokens;
        work.phase = Phase::Running(Run {
            replica: name.to_owned(),
            since: now,
            heard: now,
            events: 0,
            tokens,
            stopping: false,
        });
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.running += 1;
            replica.tokens += tokens;
        }
    }

    /// Moves runs away from replicas that are about to change weights, and from slow ones.
    fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let usual = self.usual_ms();
        let mut extra: BTreeMap<String, u32> = BTreeMap::new();
        let mut moves = Vec::new();
        let mut runs: Vec<(u64, WorkId)> = self
            .works
            .iter()
            .filter(|(_, work)| work.run().is_some_and(|run| !run.stopping))
            .map(|(id, work)| (work.remaining(), *id))
            .collect();
        runs.sort_unstable_by(|a, b| b.cmp(a));
        for (remaining, id) in runs {
            let work = &self.works[&id];
            let Some(run) = work.run() else { continue };
            let Some(from) = self.replicas.get(&run.replica) else {
                continue;
            };
            let closed = from.is_closed(&work.model);
            if !closed && (moves.len() >= MOVES || now.saturating_since(run.since) < MOVE_AFTER) {
                continue;
            }
            let here = from.event_ms(from.running, usual, now);
            let target = self
                .replicas
                .iter()
                .filter(|(name, _)| **name != run.replica)
                .filter(|(name, replica)| {
                    let added = extra.get(*name).copied().unwrap_or_default();
                    replica.running + added < replica.view.slots
                        && replica.has_room(&work.model, work.prompt_tokens, now)
                        && accepts(work, replica)
                })
                .map(|(name, replica)| {
                    let added = extra.get(name).copied().unwrap_or_default();
                    let ms = replica.event_ms(replica.running + added + 1, usual, now);
                    (ms, name)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((there, name)) = target else {
                continue;
            };
            let gain = (here - there) * remaining as f64;
            if closed || gain > MOVE_GAIN.as_secs_f64() * 1e3 {
                *extra.entry(name.clone()).or_default() += 1;
                moves.push((id, if closed { "closed" } else { "slow" }));
            }
        }
        for (id, reason) in moves {
            if let Some(Phase::Running(run)) = self.works.get_mut(&id).map(|work| &mut work.phase) {
                run.stopping = true;
            }
            actions.push(Action::Stop { work: id, reason });
        }
    }

    /// Returns the usual time of one event of a request that runs alone.
    fn usual_ms(&self) -> f64 {
        let units = self.replicas.values().filter_map(Replica::unit_ms);
        let mut units: Vec<f64> = units.collect();
        units.sort_by(f64::total_cmp);
        units
            .get(units.len() / 2)
            .copied()
            .unwrap_or(FIRST_EVENT_MS)
    }
}

/// Returns whether the weights of a replica may go on with a work.
fn accepts(work: &Work, replica: &Replica) -> bool {
    let Some(version) = replica.version(&work.model) else {
        return false;
    };
    let begun = work.progress.versions.first();
    let same = !work.single_version || begun.is_none_or(|begun| *begun == version);
    version >= work.min_version && same
}
