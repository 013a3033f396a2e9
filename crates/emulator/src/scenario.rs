use crate::{Error, Result};
use serde::Deserialize;

/// What an experiment plays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name, which the report repeats.
    pub name: String,
    /// How long a run lasts.
    pub duration_ms: u64,
    /// When the last step may be submitted; default: the end.
    #[serde(default)]
    pub submit_until_ms: Option<u64>,
    /// The seeds; each is a run.
    pub seeds: Vec<u64>,
    /// The replicas.
    pub pool: Pool,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The replicas of the service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// How many there are.
    pub replicas: u32,
    /// The requests that one runs at a time.
    pub slots: u32,
    /// The tokens that fit into its memory; 0 for no limit.
    pub memory_tokens: u64,
    /// The time of an event without any run.
    pub event_ms: f64,
    /// What each run adds to the time of an event.
    pub event_ms_per_run: f64,
    /// The tokens of an event.
    pub event_tokens: u64,
    /// The prompt tokens read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// From the decision to load until the replica begins.
    pub order_ms: u64,
    /// The time of a load.
    pub load_ms: u64,
    /// The replicas that load at full speed.
    pub loads_at_speed: u32,
    /// From the end of a load until the node knows.
    pub notice_ms: u64,
    /// From the last event of a text until its result is listed, scoring included.
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

/// A trainer.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trainer {
    /// Its model.
    pub model: String,
    /// The groups of a step.
    pub groups: u32,
    /// The items of a group.
    pub group_size: u32,
    /// The part of the groups that it waits for.
    pub wait_share: f64,
    /// The prompt tokens of an item.
    pub prompt_tokens: u64,
    /// The events of a text.
    pub events: LengthDistribution,
    /// The spread of the estimate of the length, as the deviation of its logarithm.
    pub hint_spread: f64,
    /// The time between the submissions of two steps.
    pub every_ms: u64,
    /// How long after its submission a group is worth all.
    pub due_ms: u64,
    /// The time from the end of a step until its weights are named.
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

/// The distribution of a length: lognormal, with a share of much longer ones.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LengthDistribution {
    /// The mean without the long ones.
    pub mean: f64,
    /// The deviation of the logarithm.
    pub spread: f64,
    /// The share of long ones.
    pub tail: f64,
    /// How many times longer these are.
    pub tail_factor: f64,
    /// The most.
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

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// The leader is killed; the next one begins after the time.
    LeaderLost {
        /// When.
        at_ms: u64,
        /// How long.
        for_ms: u64,
    },
    /// Replicas are gone, and come back with the weights that they had.
    ReplicasLost {
        /// When.
        at_ms: u64,
        /// How long.
        for_ms: u64,
        /// How many.
        count: u32,
    },
    /// Replicas are slower.
    ReplicasSlow {
        /// When.
        at_ms: u64,
        /// How long.
        for_ms: u64,
        /// How many.
        count: u32,
        /// How many times.
        factor: f64,
    },
    /// The store answers nobody: no submission, no result, no end, no order.
    StoreLost {
        /// When.
        at_ms: u64,
        /// How long.
        for_ms: u64,
    },
}

impl Fault {
    /// Returns when it begins and when it is over.
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
    /// Returns when the last step may be submitted.
    pub(crate) fn last_submission_ms(&self) -> u64 {
        self.submit_until_ms.unwrap_or(self.duration_ms)
    }

    /// Reads a scenario, JSON with comments.
    ///
    /// # Errors
    ///
    /// [`Error::Scenario`] if it is malformed and [`Error::Range`] if a value makes no sense.
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
