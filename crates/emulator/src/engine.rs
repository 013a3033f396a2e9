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
    part: f64,
    /// The events that are left.
    left: u64,
}

impl Request {
    pub(crate) fn new(work: WorkId, tokens: u64, left: u64, pool: &Pool) -> Self {
        Self {
            work,
            prompt_ms: tokens as f64 / pool.prompt_tokens_per_ms,
            part: 0.0,
            left,
        }
    }

    /// Returns whether the text is whole.
    pub(crate) fn is_whole(&self) -> bool {
        self.left == 0
    }
}

/// A change of weights on a replica.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) model: usize,
    /// Until when the order is on its way.
    pub(crate) begins_ms: u64,
    /// The part that is left, in milliseconds at full speed.
    pub(crate) left_ms: f64,
    /// When the node knows of the end.
    pub(crate) known_ms: Option<u64>,
}

/// A model replica.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) requests: Vec<Request>,
    pub(crate) change: Option<Change>,
    pub(crate) is_gone: bool,
    /// How many times slower it is than usual.
    pub(crate) slowness: f64,
}

impl Engine {
    /// Returns whether its weights are changing, which makes its requests wait.
    pub(crate) fn is_loading(&self, now_ms: u64) -> bool {
        let change = self.change.as_ref();
        change.is_some_and(|change| change.begins_ms <= now_ms && change.left_ms > 0.0)
    }

    /// Lets time pass and returns the requests that gave an event.
    pub(crate) fn step(&mut self, pool: &Pool, now_ms: u64, tick_ms: f64) -> Vec<WorkId> {
        if self.is_loading(now_ms) {
            return Vec::new();
        }
        let running = self.requests.len() as f64;
        let event_ms = (pool.event_ms + pool.event_ms_per_run * running) * self.slowness;
        let mut events = Vec::new();
        for request in &mut self.requests {
            if request.prompt_ms > 0.0 {
                request.prompt_ms -= tick_ms / self.slowness;
                continue;
            }
            request.part += tick_ms / event_ms;
            if request.part >= 1.0 && request.left > 0 {
                request.part -= 1.0;
                request.left -= 1;
                events.push(request.work);
            }
        }
        events
    }
}
