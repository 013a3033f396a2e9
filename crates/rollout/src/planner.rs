use crate::step_plan::{AttemptRef, StepPlan};
use dogwoodlb_types::{id, Code, Instant, Refusal};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of open steps per trainer.
pub const MAX_OPEN_STEPS: usize = 64;

/// Maximum number of samples per step.
pub const MAX_SAMPLES: usize = 1_024;

/// Upper bound of the random delay before the first retry of a sample; it doubles with each
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Upper bound of the delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Maximum time for engines to load a published version; 18 s is the target in docs/design.md,
/// section 1.4.
const MAX_LOAD_TIME: Duration = Duration::from_secs(18);

/// The settings of a trainer's planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The trainer.
    pub trainer: id::Trainer,
    /// The maximum age of a delivered sample, in weight versions.
    pub staleness_bound: u64,
    /// The weight of the trainer's idle time relative to staleness, from 0 to 1.
    pub idle_weight: f64,
}

/// An action for the I/O driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Generate {
        /// The sample.
        sample: id::Sample,
        /// The attempt number, unique per sample within this planner.
        attempt: u32,
        /// The priority; 0, the highest, is used for the step that the trainer is waiting for.
        priority: u32,
    },
    /// Cancel an attempt, which may already have ended. Its end does not have to be reported.
    Cancel {
        /// The sample.
        sample: id::Sample,
        /// The attempt number.
        attempt: u32,
    },
}

/// Returns the run-ahead depth: how many steps beyond the requested one are generated.
///
/// Generating ahead keeps the trainer from waiting, but each preceding step makes the samples
/// one version staler; see docs/design.md, section 4.14.
///
/// # Examples
///
/// ```
/// assert_eq!(dogwoodlb_rollout::run_ahead_depth(0.8, 2), 2);
/// assert_eq!(dogwoodlb_rollout::run_ahead_depth(0.0, 2), 0);
/// ```
pub fn run_ahead_depth(idle_weight: f64, staleness_bound: u64) -> u64 {
    let depth = idle_weight.clamp(0.0, 1.0) * staleness_bound as f64;
    // The cast maps NaN to 0.
    depth.round() as u64
}

/// The planner of one trainer. It lives as long as the process holds the trainer's lease.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    version: id::Version,
    requested_step: Option<id::Step>,
    /// Whether the trainer is training: it has acknowledged a step and not requested a later one.
    is_training: bool,
    /// When the latest version was published, or `None` if none was since the planner was created.
    published_at: Option<Instant>,
    plans: BTreeMap<id::Step, StepPlan>,
    /// The cancellations to return from the next poll.
    pending_cancels: Vec<Action>,
}

impl Planner {
    /// Creates a planner without steps; `version` is the latest published version.
    pub fn new(settings: Settings, version: id::Version) -> Self {
        Self {
            settings,
            version,
            requested_step: None,
            is_training: false,
            published_at: None,
            plans: BTreeMap::new(),
            pending_cancels: Vec::new(),
        }
    }

    /// Adds a step, given the number of samples in each group. A step that is already planned is
    /// left unchanged.
    ///
    /// # Errors
    ///
    /// Returns a refusal if too many steps are open or the step has too many samples.
    pub fn submit(&mut self, step: id::Step, sizes: &[u32]) -> Result<(), Refusal> {
        if self.plans.contains_key(&step) {
            return Ok(());
        }
        if self.plans.len() >= MAX_OPEN_STEPS {
            let message = format!("too many open steps: the limit is {MAX_OPEN_STEPS}");
            return Err(Refusal::not_run(Code::Overloaded, message));
        }
        let samples: u64 = sizes.iter().map(|size| u64::from(*size)).sum();
        if samples > MAX_SAMPLES as u64 {
            let message = format!("step has {samples} samples, the limit is {MAX_SAMPLES}");
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        self.plans.insert(step, StepPlan::new(sizes));
        Ok(())
    }

    /// Adds a step started by a previous owner, of which only `missing` has to be generated.
    ///
    /// # Errors
    ///
    /// Same as [`Planner::submit`].
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
            if let Some(flat_index) = plan.flat_index(sample.group, sample.index) {
                finished[flat_index] = false;
            }
        }
        for flat_index in (0..plan.len()).filter(|flat_index| finished[*flat_index]) {
            plan.mark_finished(flat_index);
        }
        Ok(())
    }

    /// Returns the actions to execute now, keeping at most `limit` attempts in flight.
    ///
    /// A limit of 0, used while the lease is not held, starts no new attempts.
    pub fn poll(&mut self, now: Instant, limit: usize) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending_cancels);
        let mut free = limit.saturating_sub(self.in_flight());
        for (priority, step) in self.eligible(now) {
            let Some(plan) = self.plans.get_mut(&step) else {
                continue;
            };
            while free > 0 {
                let next = plan.start_next(now).or_else(|| plan.start_speculative(now));
                let Some((flat_index, attempt)) = next else {
                    break;
                };
                free -= 1;
                actions.push(Action::Generate {
                    sample: sample_id(&self.settings.trainer, step, plan, flat_index),
                    attempt,
                    priority,
                });
            }
        }
        actions
    }

    /// Returns the steps within the run-ahead depth with their priority, highest priority first.
    ///
    /// While the trainer is training an acknowledged step, the first open step is already one
    /// ahead. Counting it as the requested step would generate one step too many, whose samples
    /// would be too stale when delivered.
    fn eligible(&self, now: Instant) -> Vec<(u32, id::Step)> {
        let max_ahead = run_ahead_depth(self.settings.idle_weight, self.settings.staleness_bound);
        let is_latest_loaded = self.published_at.is_none_or(|at| now >= at + MAX_LOAD_TIME);
        let ahead = u64::from(self.is_training)..;
        let steps = ahead.zip(self.plans.keys());
        let steps = steps.take_while(|(ahead, _)| *ahead <= max_ahead);
        // Each step ahead adds one version of staleness. A sample that is `staleness_bound` steps
        // ahead is just within the bound if it starts with the latest version. Until engines have
        // loaded that version, it would start with an older one and be too stale when delivered.
        let bound = self.settings.staleness_bound.max(1);
        let eligible = steps.filter(|(ahead, _)| is_latest_loaded || *ahead < bound);
        let mut eligible: Vec<_> = (1..)
            .zip(eligible)
            .map(|(position, (_, step))| match self.requested_step {
                Some(requested_step) if requested_step == *step => (0, *step),
                _ => (position, *step),
            })
            .collect();
        eligible.sort_unstable();
        eligible
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.plans.values().map(StepPlan::running).sum()
    }

    /// Returns the number of unfinished samples of a step.
    pub fn unfinished(&self, step: id::Step) -> Option<usize> {
        self.plans.get(&step).map(StepPlan::unfinished)
    }

    /// Sets the step that the trainer is waiting for; its attempts get the highest priority.
    ///
    /// Call this for each fetch. From an acknowledgement until the next call with a step, the
    /// trainer counts as training; with a run-ahead depth of 0, nothing is generated meanwhile.
    pub fn set_requested_step(&mut self, step: Option<id::Step>) {
        self.requested_step = step;
        self.is_training &= step.is_none();
    }

    /// Updates the staleness bound and the idle weight after a manifest change.
    pub fn update_settings(&mut self, staleness_bound: u64, idle_weight: f64) {
        self.settings.staleness_bound = staleness_bound;
        self.settings.idle_weight = idle_weight;
    }

    /// Records that the first token of an attempt has arrived.
    pub fn on_first_token(&mut self, sample: &id::Sample, attempt: u32) {
        let version = self.version;
        if let Some((plan, flat_index)) = self.find(sample) {
            plan.set_version(flat_index, attempt, version);
        }
    }

    /// Records that the ledger has accepted an attempt of a sample.
    ///
    /// All other attempts of the sample are cancelled, even if the accepted attempt had itself been
    /// cancelled but finished first.
    pub fn on_finished(&mut self, now: Instant, sample: &id::Sample, attempt: u32) {
        let Some((plan, flat_index)) = self.find(sample) else {
            return;
        };
        let superseded = plan.finish_sample(now, flat_index, attempt);
        self.cancel(sample.step, &superseded);
    }

    /// Records an attempt that failed or was not accepted by the ledger.
    ///
    /// The sample is retried after an exponential backoff with jitter, unless another attempt is in
    /// flight.
    pub fn on_failed(
        &mut self,
        now: Instant,
        sample: &id::Sample,
        attempt: u32,
        rng: &mut dyn Rng,
    ) {
        let Some((plan, flat_index)) = self.find(sample) else {
            return;
        };
        if let Some(failures) = plan.fail_attempt(flat_index, attempt) {
            plan.schedule(flat_index, now + backoff(failures, rng));
        }
    }

    /// Schedules a finished sample for regeneration because it exceeded the staleness bound.
    pub fn on_stale(&mut self, now: Instant, sample: &id::Sample) {
        if let Some((plan, flat_index)) = self.find(sample) {
            plan.reschedule(flat_index, now);
        }
    }

    /// Records a newly published version.
    ///
    /// Attempts whose first token arrived under a version beyond the staleness bound are cancelled
    /// and restarted, because the ledger would refuse them.
    pub fn on_version(&mut self, now: Instant, version: id::Version) {
        if version > self.version {
            self.version = version;
            self.published_at = Some(now);
        }
        let oldest = id::Version(self.version.0.saturating_sub(self.settings.staleness_bound));
        let steps: Vec<id::Step> = self.plans.keys().copied().collect();
        for step in steps {
            if let Some(plan) = self.plans.get_mut(&step) {
                let stale = plan.remove_stale_attempts(now, oldest);
                self.cancel(step, &stale);
            }
        }
    }

    /// Removes all steps up to and including an acknowledged one.
    pub fn on_acknowledged(&mut self, step: id::Step) {
        self.is_training = true;
        let steps: Vec<id::Step> = self
            .plans
            .range(..=step)
            .map(|(planned, _)| *planned)
            .collect();
        for step in steps {
            let cancelled = self.plans.get_mut(&step).map(StepPlan::remove_all_attempts);
            self.cancel(step, &cancelled.unwrap_or_default());
            self.plans.remove(&step);
        }
    }

    fn find(&mut self, sample: &id::Sample) -> Option<(&mut StepPlan, usize)> {
        if sample.trainer != self.settings.trainer {
            return None;
        }
        let plan = self.plans.get_mut(&sample.step)?;
        let flat_index = plan.flat_index(sample.group, sample.index)?;
        Some((plan, flat_index))
    }

    fn cancel(&mut self, step: id::Step, attempts: &[AttemptRef]) {
        let Some(plan) = self.plans.get(&step) else {
            return;
        };
        let trainer = &self.settings.trainer;
        let cancels = attempts.iter().map(|(flat_index, attempt)| Action::Cancel {
            sample: sample_id(trainer, step, plan, *flat_index),
            attempt: *attempt,
        });
        self.pending_cancels.extend(cancels);
    }
}

fn sample_id(
    trainer: &id::Trainer,
    step: id::Step,
    plan: &StepPlan,
    flat_index: usize,
) -> id::Sample {
    let (group, index) = plan.group_and_index(flat_index);
    id::Sample::new(trainer.clone(), step, group, index)
}

/// Returns a random delay between half the exponential backoff and all of it.
fn backoff(failures: u32, rng: &mut dyn Rng) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(16));
    let longest = doubled.min(MAX_BACKOFF).as_millis() as u64;
    Duration::from_millis(longest / 2 + rng.next_u64() % (longest / 2 + 1))
}
