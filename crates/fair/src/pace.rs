//! How fast a service takes requests, and how long they run.

use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The window in which starts are counted. It is short, because the rate has to follow a loss of
/// replicas before the requests that were accepted with the former rate are late.
const WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of starts that are counted; with more, the window is shorter.
const MAX_STARTS: usize = 256;
/// The weight of the newest measurement in the moving average of the running time of a route.
const SMOOTHING: f64 = 0.1;
/// The assumed slot time of a route before any measurement.
const DEFAULT_COST_MS: f64 = 20.0;

/// The rate of starts and the running times of the routes of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    starts: VecDeque<Instant>,
    took_ms: BTreeMap<Arc<str>, f64>,
}

impl Pace {
    pub(crate) fn on_start(&mut self, now: Instant) {
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Takes back the last start: the replica did not run the request.
    pub(crate) fn on_refusal(&mut self) {
        self.starts.pop_back();
    }

    pub(crate) fn on_end(&mut self, route: &Arc<str>, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        let average = self.took_ms.entry(route.clone()).or_insert(took_ms);
        *average += (took_ms - *average) * SMOOTHING;
    }

    /// Returns the expected running time of a request of a route; zero if it is not known.
    pub(crate) fn running_time(&self, route: &str) -> Duration {
        let took_ms = self.took_ms.get(route).copied().unwrap_or_default();
        Duration::from_secs_f64(took_ms / 1e3)
    }

    /// Returns the slot time of a route in milliseconds.
    pub(crate) fn cost_ms(&self, route: &str) -> f64 {
        let took_ms = self.took_ms.get(route).copied();
        took_ms.unwrap_or(DEFAULT_COST_MS).max(1.0)
    }

    /// Returns the expected time between two starts, or `None` if nothing is known of it.
    ///
    /// Once requests have waited for a second, that is the time between the starts in this second.
    /// Before that, the starts also show how few requests there were, so that the rate of a service
    /// that has just become full is at least that of its `running` requests.
    pub(crate) fn interval(
        &self,
        running: u32,
        busy_since: Option<Instant>,
        now: Instant,
    ) -> Option<Duration> {
        let observed = self.observed_interval(now);
        if busy_since.is_some_and(|since| now.saturating_since(since) >= WINDOW) {
            return Some(observed.unwrap_or(WINDOW));
        }
        let mean = Duration::from_secs_f64(self.mean_cost_ms() / 1e3);
        let by_running = (running > 0).then(|| mean / running);
        match (observed, by_running) {
            (Some(observed), Some(by_running)) => Some(observed.min(by_running)),
            (observed, by_running) => observed.or(by_running),
        }
    }

    /// Returns the mean slot time of the routes in milliseconds.
    pub(crate) fn mean_cost_ms(&self) -> f64 {
        let total: f64 = self.took_ms.values().sum();
        match self.took_ms.len() {
            0 => DEFAULT_COST_MS,
            count => (total / count as f64).max(1.0),
        }
    }

    fn observed_interval(&self, now: Instant) -> Option<Duration> {
        let begin = now - WINDOW;
        let starts = self.starts.iter().filter(|at| **at >= begin).count();
        let starts = u32::try_from(starts).unwrap_or(u32::MAX);
        let is_truncated = starts as usize == MAX_STARTS;
        let window = match self.starts.front() {
            Some(first) if is_truncated => now.saturating_since(*first),
            _ => WINDOW,
        };
        (starts > 0).then(|| window / starts)
    }
}
