use crate::{Error, Result};
use serde::Deserialize;

/// The setup of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name, which is copied to the report.
    pub name: String,
    /// The duration of a run in virtual time.
    pub duration_ms: u64,
    /// The latest time at which a step may be submitted; defaults to the end of the run.
    #[serde(default)]
    pub submit_until_ms: Option<u64>,
    /// The seeds, one per run.
    pub seeds: Vec<u64>,
    /// The model replicas.
    pub pool: Pool,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The model replicas and their speed.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// The number of replicas.
    pub replicas: u32,
    /// The number of requests that a replica runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit into a replica's memory; 0 for no limit.
    pub memory_tokens: u64,
    /// The base time per event.
    pub event_ms: f64,
    /// The additional time per event for each running request.
    pub event_ms_per_run: f64,
    /// The factors by which the times of the replicas exceed those above, assigned in turn; all
    /// replicas are equal if empty.
    pub slowdowns: Vec<f64>,
    /// The number of tokens per event.
    pub event_tokens: u64,
    /// The number of prompt tokens processed per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// The delay from the decision to load weights until the replica starts.
    pub order_ms: u64,
    /// The duration of a load at full speed.
    pub load_ms: u64,
    /// The number of replicas that can load at full speed; more concurrent loads share this
    /// bandwidth.
    pub loads_at_speed: u32,
    /// The delay from the end of a load until the node learns of it.
    pub notice_ms: u64,
    /// The delay from the last event of a text until its result is listed, including scoring.
    pub result_ms: u64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            replicas: 9,
            slots: 12,
            memory_tokens: 0,
            event_ms: 30.8,
            event_ms_per_run: 1.05,
            slowdowns: Vec::new(),
            event_tokens: 42,
            prompt_tokens_per_ms: 220.0,
            order_ms: 160,
            load_ms: 900,
            loads_at_speed: 2,
            notice_ms: 200,
            result_ms: 100,
        }
    }
}

impl Pool {
    /// Returns the factor by which a replica is slower than the base times.
    pub(crate) fn slowdown(&self, replica: usize) -> f64 {
        match self.slowdowns.len() {
            0 => 1.0,
            count => self.slowdowns[replica % count],
        }
    }
}

/// A trainer and the items that it submits.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trainer {
    /// The model that it trains.
    pub model: String,
    /// The number of groups per step.
    pub groups: u32,
    /// The number of items per group.
    pub group_size: u32,
    /// The share of the groups that it waits for before it ends a step.
    pub wait_share: f64,
    /// The number of prompt tokens per item.
    pub prompt_tokens: u64,
    /// The distribution of the number of events per text.
    pub events: LengthDistribution,
    /// The error of the length estimates, as the standard deviation of their logarithm.
    pub hint_spread: f64,
    /// The interval between the submissions of two steps.
    pub every_ms: u64,
    /// The time after submission within which a group counts as in time.
    pub due_ms: u64,
    /// The time from the end of a step until its weights are announced.
    pub training_ms: u64,
}

impl Default for Trainer {
    fn default() -> Self {
        Self {
            model: "m".to_owned(),
            groups: 46,
            group_size: 4,
            wait_share: 0.9,
            prompt_tokens: 271,
            events: LengthDistribution::default(),
            hint_spread: 0.5,
            every_ms: 4_000,
            due_ms: 7_500,
            training_ms: 1_000,
        }
    }
}

/// A lognormal distribution of lengths, with a share of much longer outliers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LengthDistribution {
    /// The mean without outliers.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The share of outliers.
    pub tail: f64,
    /// The factor by which outliers are longer.
    pub tail_factor: f64,
    /// The maximum length.
    pub most: f64,
}

impl Default for LengthDistribution {
    fn default() -> Self {
        Self {
            mean: 20.0,
            spread: 0.84,
            tail: 0.08,
            tail_factor: 5.0,
            most: 146.0,
        }
    }
}

/// A fault that is injected for a limited time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// The leader is killed, and its successor starts when the fault ends.
    LeaderLost {
        /// The start time.
        at_ms: u64,
        /// The duration.
        for_ms: u64,
    },
    /// Replicas are unavailable, and return with the weights that they had.
    ReplicasLost {
        /// The start time.
        at_ms: u64,
        /// The duration.
        for_ms: u64,
        /// The number of replicas.
        count: u32,
    },
    /// Replicas are slower.
    ReplicasSlow {
        /// The start time.
        at_ms: u64,
        /// The duration.
        for_ms: u64,
        /// The number of replicas.
        count: u32,
        /// The factor by which they are slower.
        factor: f64,
    },
    /// The store is unavailable, so that no batch is submitted or ended, no result listed and no
    /// load ordered.
    StoreLost {
        /// The start time.
        at_ms: u64,
        /// The duration.
        for_ms: u64,
    },
}

impl Fault {
    /// Returns the start time and the end time.
    pub fn window(&self) -> (u64, u64) {
        match *self {
            Self::LeaderLost { at_ms, for_ms }
            | Self::ReplicasLost { at_ms, for_ms, .. }
            | Self::ReplicasSlow { at_ms, for_ms, .. }
            | Self::StoreLost { at_ms, for_ms } => (at_ms, at_ms.saturating_add(for_ms)),
        }
    }
}

impl Scenario {
    /// Returns the latest time at which a step may be submitted.
    pub(crate) fn last_submission_ms(&self) -> u64 {
        self.submit_until_ms.unwrap_or(self.duration_ms)
    }

    /// Parses a scenario from JSON with comments and trailing commas.
    ///
    /// # Errors
    ///
    /// [`Error::Scenario`] if it is malformed and [`Error::Range`] if a value is out of
    /// range.
    pub fn parse(text: &str) -> Result<Self> {
        let options = jsonc_parser::ParseOptions::default();
        let scenario: Self = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(|error| Error::Scenario(error.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<()> {
        require_at_least_one("seeds", self.seeds.len() as u64)?;
        require_at_least_one("trainers", self.trainers.len() as u64)?;
        require_at_least_one("duration_ms", self.duration_ms)?;
        require_at_least_one("pool.replicas", u64::from(self.pool.replicas))?;
        require_at_least_one("pool.slots", u64::from(self.pool.slots))?;
        require_at_least_one("pool.loads_at_speed", u64::from(self.pool.loads_at_speed))?;
        require_above_zero("pool.event_ms", self.pool.event_ms)?;
        require_above_zero("pool.prompt_tokens_per_ms", self.pool.prompt_tokens_per_ms)?;
        for trainer in &self.trainers {
            require_at_least_one("trainers.groups", u64::from(trainer.groups))?;
            require_at_least_one("trainers.group_size", u64::from(trainer.group_size))?;
            require_at_least_one("trainers.every_ms", trainer.every_ms)?;
            require_above_zero("trainers.wait_share", trainer.wait_share)?;
            require_above_zero("trainers.events.mean", trainer.events.mean)?;
        }
        Ok(())
    }
}

fn require_at_least_one(field: &'static str, value: u64) -> Result<()> {
    check_range(field, value > 0, &value, "at least 1")
}

fn require_above_zero(field: &'static str, value: f64) -> Result<()> {
    let is_in_range = value.is_finite() && value > 0.0;
    check_range(field, is_in_range, &value, "above 0")
}

fn check_range(
    field: &'static str,
    is_in_range: bool,
    value: &dyn ToString,
    wanted: &'static str,
) -> Result<()> {
    if is_in_range {
        return Ok(());
    }
    let value = value.to_string();
    Err(Error::Range {
        field,
        value,
        wanted,
    })
}
