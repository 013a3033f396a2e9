use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much one more running request slows all others down, as a part of the time of one.
const SHARE_COST: f64 = 0.035;
/// The weight of a new event's time in the moving average.
const EVENT_WEIGHT: f64 = 0.15;
/// The time in which half of the distance between a silent replica's speed and the usual one
/// is forgotten, so that a replica that was slow is tried again.
const FORGET: Duration = Duration::from_secs(4);
/// The first pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// The pause after a refusal, which says that others fill the replica.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// What the shell knows of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaState {
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The tokens that fit into its memory; 0 if unknown.
    pub memory_tokens: u64,
    /// The version of each model's weights.
    pub versions: BTreeMap<String, u64>,
    /// The models whose weights are being changed or are about to be.
    pub reloading: Vec<String>,
}

/// A replica as the planner sees it.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) view: ReplicaState,
    pub(crate) running: u32,
    pub(crate) tokens: u64,
    /// The time of one event of a request that runs alone, in milliseconds.
    unit_ms: Option<f64>,
    heard: Instant,
    failures: u32,
    paused: Instant,
}

impl Replica {
    pub(crate) fn new(view: ReplicaState) -> Self {
        Self {
            view,
            running: 0,
            tokens: 0,
            unit_ms: None,
            heard: Instant::default(),
            failures: 0,
            paused: Instant::default(),
        }
    }

    /// Returns whether the replica takes new requests of a model, if it has room.
    pub(crate) fn is_open(&self, model: &str, now: Instant) -> bool {
        self.paused <= now && !self.is_closed(model)
    }

    /// Returns whether a prompt fits into the memory beside what runs and `added` runs with
    /// `added_tokens`.
    pub(crate) fn has_memory(&self, tokens: u64, added: u32, added_tokens: u64) -> bool {
        let memory = self.view.memory_tokens;
        let is_empty = self.running + added == 0;
        memory == 0 || is_empty || self.tokens + added_tokens + tokens <= memory
    }

    /// Takes in the end of a run whose prompt has this many tokens.
    pub(crate) fn release(&mut self, tokens: u64) {
        self.running = self.running.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    pub(crate) fn is_closed(&self, model: &str) -> bool {
        self.view.reloading.iter().any(|name| name == model)
    }

    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.view.versions.get(model).copied()
    }

    /// Returns the expected time of one event if `running` requests run.
    pub(crate) fn event_ms(&self, running: u32, usual_ms: f64, now: Instant) -> f64 {
        let unit = self.unit_ms.map_or(usual_ms, |unit| {
            let silent = now.saturating_since(self.heard).as_secs_f64();
            let kept = 0.5_f64.powf(silent / FORGET.as_secs_f64());
            usual_ms + (unit - usual_ms) * kept
        });
        unit * (1.0 + SHARE_COST * f64::from(running))
    }

    pub(crate) fn unit_ms(&self) -> Option<f64> {
        self.unit_ms
    }

    /// Takes in the time between two events of one run.
    pub(crate) fn on_event(&mut self, gap: Duration, now: Instant) {
        let unit = gap.as_secs_f64() * 1e3 / (1.0 + SHARE_COST * f64::from(self.running));
        let old = self.unit_ms.unwrap_or(unit);
        self.unit_ms = Some(old + (unit - old) * EVENT_WEIGHT);
        self.heard = now;
        self.failures = 0;
    }

    pub(crate) fn on_failure(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        self.paused = now + pause.min(LONGEST_PAUSE);
    }

    pub(crate) fn on_refusal(&mut self, now: Instant) {
        self.paused = self.paused.max(now + REFUSAL_PAUSE);
    }
}
