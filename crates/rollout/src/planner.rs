use crate::plan::{Plan, Run};
use dogwoodlb_types::{id, Code, Instant, Refusal};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest number of steps that are planned at a time.
pub const MAX_OPEN_STEPS: usize = 64;

/// The largest number of samples in a step.
pub const MAX_SAMPLES: usize = 1_024;

/// The longest wait before the first retry of a sample; it doubles with each failure.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest wait before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// How long engines may need to load a published version; docs/design.md, section 1.4, sets
/// 18 s as the target.
const SETTLE: Duration = Duration::from_secs(18);

/// The settings of a trainer's planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The trainer.
    pub trainer: id::Trainer,
    /// How many versions old a delivered sample may be.
    pub staleness_bound: u64,
    /// How much the trainer's idle time weighs against staleness, from 0 to 1.
    pub idle_weight: f64,
}

/// What the shell must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Generate {
        /// The sample.
        sample: id::Sample,
        /// The number of the attempt, unique for the sample within this planner.
        attempt: u32,
        /// The priority, 0 being the highest: the step that the trainer waits for.
        priority: u32,
    },
    /// Cancel an attempt that may have ended already; its end needn't be reported.
    Cancel {
        /// The sample.
        sample: id::Sample,
        /// The number of the attempt.
        attempt: u32,
    },
}

/// Returns how many steps ahead of the requested one are generated.
///
/// A step ahead of the requested one keeps the trainer from waiting, but becomes a version
/// older with each step before it; see docs/design.md, section 4.14.
///
/// # Examples
///
/// ```
/// assert_eq!(dogwoodlb_rollout::run_ahead_depth(0.8, 2), 2);
/// assert_eq!(dogwoodlb_rollout::run_ahead_depth(0.0, 2), 0);
/// ```
pub fn run_ahead_depth(idle_weight: f64, staleness_bound: u64) -> u64 {
    let depth = idle_weight.clamp(0.0, 1.0) * staleness_bound as f64;
    // A weight that is not a number gives 0.
    depth.round() as u64
}

/// The planner of one trainer, for as long as one process holds the trainer's lease.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    version: id::Version,
    waited: Option<id::Step>,
    /// Whether a step was acknowledged and no later one is waited for.
    trains: bool,
    published: Option<Instant>,
    plans: BTreeMap<id::Step, Plan>,
    cancels: Vec<Action>,
}

impl Planner {
    /// Creates a planner without steps; `version` is the one published last.
    pub fn new(settings: Settings, version: id::Version) -> Self {
        Self {
            settings,
            version,
            waited: None,
            trains: false,
            published: None,
            plans: BTreeMap::new(),
            cancels: Vec::new(),
        }
    }

    /// Plans a step, given the number of samples of each group; a planned step stays as it is.
    ///
    /// # Errors
    ///
    /// Refused if too many steps are planned or the step has too many samples.
    pub fn submit(&mut self, step: id::Step, sizes: &[u32]) -> Result<(), Refusal> {
        if self.plans.contains_key(&step) {
            return Ok(());
        }
        if self.plans.len() >= MAX_OPEN_STEPS {
            let message = format!("{MAX_OPEN_STEPS} steps are planned");
            return Err(Refusal::not_run(Code::Overloaded, message));
        }
        let samples: u64 = sizes.iter().map(|size| u64::from(*size)).sum();
        if samples > MAX_SAMPLES as u64 {
            let message = format!("a step has at most {MAX_SAMPLES} samples, not {samples}");
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        self.plans.insert(step, Plan::new(sizes));
        Ok(())
    }

    /// Plans the rest of a step that an earlier owner began.
    ///
    /// # Errors
    ///
    /// Refused as by [`Planner::submit`].
    pub fn resume(
        &mut self,
        step: id::Step,
        sizes: &[u32],
        missing: &[id::Sample],
    ) -> Result<(), Refusal> {
        if self.plans.contains_key(&step) {
            return Ok(());
        }
        self.submit(step, sizes)?;
        let Some(plan) = self.plans.get_mut(&step) else {
            return Ok(());
        };
        let mut finished = vec![true; plan.len()];
        for sample in missing {
            if let Some(place) = plan.place(sample.group, sample.index) {
                finished[place] = false;
            }
        }
        for place in (0..plan.len()).filter(|place| finished[*place]) {
            plan.close(place);
        }
        Ok(())
    }

    /// Returns what to do now, with at most `limit` attempts of this trainer in flight.
    ///
    /// With a limit of 0, as while the lease isn't held, nothing new starts.
    pub fn poll(&mut self, now: Instant, limit: usize) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.cancels);
        let mut room = limit.saturating_sub(self.in_flight());
        for (priority, step) in self.eligible(now) {
            let Some(plan) = self.plans.get_mut(&step) else {
                continue;
            };
            while room > 0 {
                let run = plan.start(now).or_else(|| plan.start_spare(now));
                let Some((place, attempt)) = run else {
                    break;
                };
                room -= 1;
                actions.push(Action::Generate {
                    sample: sample(&self.settings.trainer, step, plan, place),
                    attempt,
                    priority,
                });
            }
        }
        actions
    }

    /// Returns the steps within the run-ahead depth, highest priority first.
    ///
    /// While the trainer trains an acknowledged step, the first open one is already one ahead;
    /// counted as the requested one, a step more was generated and was too old when delivered.
    fn eligible(&self, now: Instant) -> Vec<(u32, id::Step)> {
        let depth = run_ahead_depth(self.settings.idle_weight, self.settings.staleness_bound);
        let settled = self.published.is_none_or(|at| now >= at + SETTLE);
        let ahead = u64::from(self.trains)..;
        let steps = ahead.zip(self.plans.keys());
        let steps = steps.take_while(|(ahead, _)| *ahead <= depth);
        // As far ahead as the bound, a sample that an engine starts with the version before the
        // published one is too old when delivered.
        let bound = self.settings.staleness_bound.max(1);
        let young = steps.filter(|(ahead, _)| settled || *ahead < bound);
        let mut eligible: Vec<_> = (1..)
            .zip(young)
            .map(|(position, (_, step))| match self.waited {
                Some(waited) if waited == *step => (0, *step),
                _ => (position, *step),
            })
            .collect();
        eligible.sort_unstable();
        eligible
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.plans.values().map(Plan::running).sum()
    }

    /// Returns the number of samples of a step that aren't finished.
    pub fn unfinished(&self, step: id::Step) -> Option<usize> {
        self.plans.get(&step).map(Plan::unfinished)
    }

    /// Records which step the trainer waits for; its attempts get the highest priority.
    ///
    /// Call it for each fetch: after an acknowledgement no step counts as requested until then,
    /// and with a run-ahead depth of 0 nothing is generated.
    pub fn set_requested_step(&mut self, step: Option<id::Step>) {
        self.waited = step;
        self.trains &= step.is_none();
    }

    /// Changes staleness bound and idle weight, as after a change of the manifest.
    pub fn update_settings(&mut self, staleness_bound: u64, idle_weight: f64) {
        self.settings.staleness_bound = staleness_bound;
        self.settings.idle_weight = idle_weight;
    }

    /// Records the first token of an attempt.
    pub fn on_started(&mut self, sample: &id::Sample, attempt: u32) {
        let version = self.version;
        if let Some((plan, place)) = self.find(sample) {
            plan.set_version(place, attempt, version);
        }
    }

    /// Records that the ledger has an accepted attempt of a sample.
    ///
    /// All other attempts of the sample are cancelled, also if this one had been cancelled
    /// and finished first.
    pub fn on_finished(&mut self, now: Instant, sample: &id::Sample, attempt: u32) {
        let Some((plan, place)) = self.find(sample) else {
            return;
        };
        let lost = plan.finish(now, place, attempt);
        self.cancel(sample.step, &lost);
    }

    /// Records an attempt that failed or that the ledger didn't accept.
    ///
    /// The sample is generated again after a random wait that doubles with each failure,
    /// unless another attempt of it is in flight.
    pub fn on_failed(
        &mut self,
        now: Instant,
        sample: &id::Sample,
        attempt: u32,
        rng: &mut dyn Rng,
    ) {
        let Some((plan, place)) = self.find(sample) else {
            return;
        };
        if let Some(failures) = plan.fail(place, attempt) {
            plan.wait(place, now + backoff(failures, rng));
        }
    }

    /// Plans a finished sample again, because its attempt became too old.
    pub fn on_stale(&mut self, now: Instant, sample: &id::Sample) {
        if let Some((plan, place)) = self.find(sample) {
            plan.reopen(place, now);
        }
    }

    /// Records a published version.
    ///
    /// Attempts whose first token came under a version beyond the staleness bound are cancelled
    /// and started again: the ledger would refuse them.
    pub fn on_version(&mut self, now: Instant, version: id::Version) {
        if version > self.version {
            self.version = version;
            self.published = Some(now);
        }
        let oldest = id::Version(self.version.0.saturating_sub(self.settings.staleness_bound));
        let steps: Vec<id::Step> = self.plans.keys().copied().collect();
        for step in steps {
            if let Some(plan) = self.plans.get_mut(&step) {
                let expired = plan.expire(now, oldest);
                self.cancel(step, &expired);
            }
        }
    }

    /// Ends the plans of all steps up to an acknowledged one.
    pub fn on_acknowledged(&mut self, step: id::Step) {
        self.trains = true;
        let steps: Vec<id::Step> = self.plans.range(..=step).map(|(own, _)| *own).collect();
        for step in steps {
            let lost = self.plans.get_mut(&step).map(Plan::cancel_all);
            self.cancel(step, &lost.unwrap_or_default());
            self.plans.remove(&step);
        }
    }

    fn find(&mut self, sample: &id::Sample) -> Option<(&mut Plan, usize)> {
        if sample.trainer != self.settings.trainer {
            return None;
        }
        let plan = self.plans.get_mut(&sample.step)?;
        let place = plan.place(sample.group, sample.index)?;
        Some((plan, place))
    }

    fn cancel(&mut self, step: id::Step, runs: &[Run]) {
        let Some(plan) = self.plans.get(&step) else {
            return;
        };
        let trainer = &self.settings.trainer;
        let cancels = runs.iter().map(|(place, attempt)| Action::Cancel {
            sample: sample(trainer, step, plan, *place),
            attempt: *attempt,
        });
        self.cancels.extend(cancels);
    }
}

fn sample(trainer: &id::Trainer, step: id::Step, plan: &Plan, place: usize) -> id::Sample {
    let (group, index) = plan.sample(place);
    id::Sample::new(trainer.clone(), step, group, index)
}

/// Returns a random wait from the upper half of the range that the failures allow.
fn backoff(failures: u32, rng: &mut dyn Rng) -> Duration {
    let doubled = BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(16));
    let longest = doubled.min(MAX_BACKOFF).as_millis() as u64;
    Duration::from_millis(longest / 2 + rng.next_u64() % (longest / 2 + 1))
}
