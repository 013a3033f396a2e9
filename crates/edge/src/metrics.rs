//! Prometheus counters, gauges and histograms.

use crate::clock;
use crate::waiting::QueueMetrics;
use dogwoodlb_types::Instant;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The upper bounds of the latency buckets in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// The maximum number of prompt tokens that are counted for one run. Callers state the number, and a
/// sum that overflows starts at zero again.
const MAX_COUNTED_TOKENS: u64 = 10_000_000;

/// The metrics of a node. They are listed in docs/metrics.md.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Histogram,
    refusals: IntCounterVec,
    items: IntCounterVec,
    pub(crate) runs: IntCounterVec,
    prompt_tokens: IntCounterVec,
    pub(crate) orders: IntCounterVec,
    pub(crate) batches: IntCounterVec,
    callers_rejected: IntCounterVec,
    call_copies: IntCounterVec,
    item_requests: IntCounterVec,
    replicas_leaving: IntCounterVec,
    pub(crate) usage_reports: IntCounterVec,
    pub(crate) duty_calls: IntCounterVec,
    pub(crate) replica_orders: IntCounterVec,
    pub(crate) usage_late_counts: IntCounter,
    pub(crate) connections: IntGauge,
    pub(crate) store_calls: IntGauge,
    pub(crate) store_failures: IntGauge,
    pub(crate) queues: QueueMetrics,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// If a metric name is invalid or registered twice.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let histogram = HistogramOpts::new("request_seconds", "Served requests by latency.");
        let requests = Histogram::with_opts(histogram.buckets(BUCKETS.to_vec()))?;
        registry.register(Box::new(requests.clone()))?;
        let counters = |name: &str, help: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &["outcome"])?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let item_requests = IntCounterVec::new(
            Opts::new("item_requests", "Requests to replicas on behalf of items."),
            &["kind", "batch"],
        )?;
        registry.register(Box::new(item_requests.clone()))?;
        let replicas_leaving = IntCounterVec::new(
            Opts::new("replicas_leaving", "Replicas that became known as leaving."),
            &["source"],
        )?;
        registry.register(Box::new(replicas_leaving.clone()))?;
        let duty_calls = IntCounterVec::new(
            Opts::new("duty_calls", "Calls to the provider by their outcome."),
            &["duty", "outcome"],
        )?;
        registry.register(Box::new(duty_calls.clone()))?;
        let usage_late_counts = IntCounter::new(
            "usage_late_counts",
            "Requests that were counted too late for the report of their window.",
        )?;
        registry.register(Box::new(usage_late_counts.clone()))?;
        let callers_rejected = IntCounterVec::new(
            Opts::new("callers_rejected", "Requests without a usable key."),
            &["reason"],
        )?;
        registry.register(Box::new(callers_rejected.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        Ok(Self {
            refusals: counters("requests_refused", "Requests that ended without an answer.")?,
            items: counters("items", "Items of batches that were listed.")?,
            runs: counters("runs", "Runs of items on replicas by their end.")?,
            prompt_tokens: counters("prompt_tokens", "Prompt tokens of runs that started.")?,
            orders: counters("orders", "Orders to replicas by their outcome.")?,
            batches: counters("batches", "Batches by what became of their submission.")?,
            call_copies: counters("call_copies", "Copies of hedged calls to replicas.")?,
            connections: gauge(
                "replica_connections_opened",
                "Connections opened to replicas.",
            )?,
            store_calls: gauge("store_calls", "Calls to the metadata store.")?,
            store_failures: gauge("store_failures", "Failed calls to the metadata store.")?,
            replica_orders: counters("replica_orders", "Orders of replicas from the provider.")?,
            usage_reports: counters("usage_reports", "Usage reports by what became of them.")?,
            callers_rejected,
            item_requests,
            queues: QueueMetrics::new(&registry)?,
            replicas_leaving,
            duty_calls,
            usage_late_counts,
            requests,
            registry,
        })
    }

    /// Records the latency of a request whose response was buffered and has no 5xx status. Streamed
    /// responses are not recorded.
    pub(crate) fn observe_request(&self, began: Instant) {
        let took = clock::now().saturating_since(began);
        self.requests.observe(took.as_secs_f64());
    }

    /// Counts a request that ended without a response from a replica.
    pub(crate) fn count_refusal(&self, outcome: &str) {
        self.refusals.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that was not run because it has no usable key.
    pub(crate) fn count_rejection(&self, reason: &str) {
        self.callers_rejected.with_label_values(&[reason]).inc();
    }

    /// Counts the prompt tokens of a run that starts.
    pub(crate) fn count_prompt_tokens(&self, to_prefill: u64, reused: u64) {
        for (outcome, tokens) in [("prefill", to_prefill), ("reused", reused)] {
            let counter = self.prompt_tokens.with_label_values(&[outcome]);
            counter.inc_by(tokens.min(MAX_COUNTED_TOKENS));
        }
    }

    /// Counts items whose outcomes were written.
    pub(crate) fn count_items(&self, outcome: &str, count: u64) {
        self.items.with_label_values(&[outcome]).inc_by(count);
    }

    /// Counts a copy of a hedged call: a hedge that was sent, won or denied, or a copy that failed.
    pub(crate) fn count_copy(&self, outcome: &str) {
        self.call_copies.with_label_values(&[outcome]).inc();
    }

    /// Counts a request on behalf of an item by its kind and the state of the item's batch.
    pub(crate) fn count_item_request(&self, kind: &str, batch: &str) {
        self.item_requests.with_label_values(&[kind, batch]).inc();
    }

    /// Counts a replica that became known as leaving, by the source of the knowledge.
    pub(crate) fn count_departure(&self, source: &str) {
        self.replicas_leaving.with_label_values(&[source]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::error!(%error, "metrics_not_encoded");
        }
        text
    }
}
