//! The metrics of the queues. Their labels tell whether an organisation is within its share, and not
//! its name, of which there may be any number.

use dogwoodlb_fair::{Refusal, Started};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};
use std::time::Duration;

/// The upper bounds of the buckets for waits in seconds.
const BUCKETS: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// The metrics of the queues of all services.
pub(crate) struct QueueMetrics {
    length: IntGaugeVec,
    wait: HistogramVec,
    refusals: IntCounterVec,
    service: IntCounterVec,
}

impl QueueMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// If a metric name is invalid or registered twice.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let length = Opts::new("requests_waiting", "Requests that wait for a replica.");
        let wait = HistogramOpts::new("request_wait_seconds", "Waits for a replica.");
        let refusals = Opts::new("requests_shed", "Requests refused by the queue.");
        let service = Opts::new("service_ms", "Slot time of the requests.");
        let metrics = Self {
            length: IntGaugeVec::new(length, &["service"])?,
            wait: HistogramVec::new(wait.buckets(BUCKETS.to_vec()), &["share"])?,
            refusals: IntCounterVec::new(refusals, &["reason", "share"])?,
            service: IntCounterVec::new(service, &["share"])?,
        };
        registry.register(Box::new(metrics.length.clone()))?;
        registry.register(Box::new(metrics.wait.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.service.clone()))?;
        Ok(metrics)
    }

    pub(super) fn set_length(&self, service: &str, length: usize) {
        let length = i64::try_from(length).unwrap_or(i64::MAX);
        self.length.with_label_values(&[service]).set(length);
    }

    pub(super) fn observe_start(&self, started: &Started) {
        let share = share(started.is_over_share());
        let wait = self.wait.with_label_values(&[share]);
        wait.observe(started.waited().as_secs_f64());
    }

    pub(super) fn count_refusal(&self, reason: &str, refusal: Option<Refusal>) {
        let share = share(refusal.is_some_and(|refusal| refusal.is_over_share));
        self.refusals.with_label_values(&[reason, share]).inc();
    }

    pub(super) fn count_service(&self, started: &Started, took: Duration) {
        let share = share(started.is_over_share());
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        self.service.with_label_values(&[share]).inc_by(ms);
    }
}

fn share(is_over: bool) -> &'static str {
    match is_over {
        true => "over",
        false => "within",
    }
}
