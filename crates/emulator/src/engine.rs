//! A simulated model replica.

use crate::scenario::Pool;
use dogwoodlb_batch::WorkId;

/// A request that runs on a replica.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) work: WorkId,
    /// The index of its model.
    model: usize,
    /// The time left to process the prompt.
    prompt_ms: f64,
    /// The completed fraction of the next event.
    event_progress: f64,
    /// The number of events left to generate.
    events_left: u64,
}

impl Request {
    pub(crate) fn new(
        work: WorkId,
        model: usize,
        tokens: u64,
        events_left: u64,
        pool: &Pool,
    ) -> Self {
        Self {
            work,
            model,
            prompt_ms: tokens as f64 / pool.prompt_tokens_per_ms,
            event_progress: 0.0,
            events_left,
        }
    }

    /// Returns whether all events are generated.
    pub(crate) fn is_complete(&self) -> bool {
        self.events_left == 0
    }
}

/// A load of weights on a replica.
#[derive(Clone, Debug)]
pub(crate) struct WeightLoad {
    pub(crate) version: u64,
    pub(crate) model: usize,
    /// When the replica receives the order and starts to load.
    pub(crate) starts_at_ms: u64,
    /// The time left, in milliseconds at full speed.
    pub(crate) remaining_ms: f64,
    /// When the node learns of the end; `None` while the load is not finished.
    pub(crate) reported_at_ms: Option<u64>,
}

/// The state of a model replica.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) requests: Vec<Request>,
    pub(crate) load: Option<WeightLoad>,
    pub(crate) is_down: bool,
    /// The factor by which its requests take longer than usual.
    pub(crate) slowdown: f64,
}

impl Engine {
    /// Returns the model whose weights it is loading. Requests of that model make no progress.
    pub(crate) fn loading_model(&self, now_ms: u64) -> Option<usize> {
        let load = self.load.as_ref();
        let load = load.filter(|load| load.starts_at_ms <= now_ms && load.remaining_ms > 0.0);
        load.map(|load| load.model)
    }

    /// Advances the requests by a tick and returns those that generated an event.
    pub(crate) fn advance(&mut self, pool: &Pool, now_ms: u64, tick_ms: f64) -> Vec<WorkId> {
        let loading = self.loading_model(now_ms);
        let running = self.requests.len() as f64;
        let event_ms = (pool.event_ms + pool.event_ms_per_run * running) * self.slowdown;
        let mut events = Vec::new();
        for request in &mut self.requests {
            if loading == Some(request.model) {
                continue;
            }
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
