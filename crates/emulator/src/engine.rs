//! One model replica.

use crate::scenario::Pool;
use dogwoodlb_batch::WorkId;

/// A request on a replica.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) work: WorkId,
    /// The time until the prompt is read.
    prompt_ms: f64,
    /// The part of the next event that is done.
    event_progress: f64,
    /// The events that are left.
    events_left: u64,
}

impl Request {
    pub(crate) fn new(work: WorkId, tokens: u64, events_left: u64, pool: &Pool) -> Self {
        Self {
            work,
            prompt_ms: tokens as f64 / pool.prompt_tokens_per_ms,
            event_progress: 0.0,
            events_left,
        }
    }

    /// Returns whether the text is whole.
    pub(crate) fn is_complete(&self) -> bool {
        self.events_left == 0
    }
}

/// A load of weights on a replica.
#[derive(Clone, Debug)]
pub(crate) struct WeightLoad {
    pub(crate) version: u64,
    pub(crate) model: usize,
    /// Until when the order is on its way.
    pub(crate) starts_at_ms: u64,
    /// The part that is left, in milliseconds at full speed.
    pub(crate) remaining_ms: f64,
    /// When the node knows of the end.
    pub(crate) reported_at_ms: Option<u64>,
}

/// A model replica.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) requests: Vec<Request>,
    pub(crate) load: Option<WeightLoad>,
    pub(crate) is_down: bool,
    /// How many times slower it is than usual.
    pub(crate) slowdown: f64,
}

impl Engine {
    /// Returns whether its weights are changing, which makes its requests wait.
    pub(crate) fn is_loading(&self, now_ms: u64) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|load| load.starts_at_ms <= now_ms && load.remaining_ms > 0.0)
    }

    /// Lets time pass and returns the requests that gave an event.
    pub(crate) fn advance(&mut self, pool: &Pool, now_ms: u64, tick_ms: f64) -> Vec<WorkId> {
        if self.is_loading(now_ms) {
            return Vec::new();
        }
        let running = self.requests.len() as f64;
        let event_ms = (pool.event_ms + pool.event_ms_per_run * running) * self.slowdown;
        let mut events = Vec::new();
        for request in &mut self.requests {
            if request.prompt_ms > 0.0 {
                request.prompt_ms -= tick_ms / self.slowdown;
                continue;
            }
            request.event_progress += tick_ms / event_ms;
            if request.event_progress >= 1.0 && request.events_left > 0 {
                request.event_progress -= 1.0;
                request.events_left -= 1;
                events.push(request.work);
            }
        }
        events
    }
}
