use super::{Config, Report};
use dogwoodlb_types::{check_spans, oldest_version, Span};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashSet;

/// The delivery of one step.
#[derive(Deserialize)]
pub(super) struct Delivery {
    pub(super) delivery: u64,
    step: u64,
    samples: Vec<Sample>,
}

#[derive(Deserialize)]
struct Sample {
    id: Value,
    group: u32,
    index: u32,
    tokens: u32,
    spans: Vec<Span>,
    staleness: u64,
}

/// Validates all deliveries to one trainer.
pub(super) struct DeliveryChecker {
    groups: u32,
    group_size: u32,
    staleness_bound: u64,
    first_version: u64,
    /// The latest published version.
    pub(super) latest_version: u64,
    /// The number of acknowledged steps.
    pub(super) steps: u64,
    sample_ids: HashSet<String>,
    delivery_ids: HashSet<u64>,
    staleness_sum: u64,
    report: Report,
}

impl DeliveryChecker {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            groups: config.groups,
            group_size: config.group_size,
            staleness_bound: config.staleness_bound,
            first_version: config.first_version,
            latest_version: config.first_version,
            steps: 0,
            sample_ids: HashSet::new(),
            delivery_ids: HashSet::new(),
            staleness_sum: 0,
            report: Report::default(),
        }
    }

    pub(super) fn check(&mut self, step: u64, delivery: &Delivery) {
        let mut positions = HashSet::new();
        let is_new = self.delivery_ids.insert(delivery.delivery) && delivery.step == step;
        for sample in &delivery.samples {
            let position = (sample.group, sample.index);
            let is_requested = sample.group < self.groups && sample.index < self.group_size;
            // A repeated sample doesn't fill its position, so the requested sample counts as lost.
            let is_first =
                self.sample_ids.insert(sample.id.to_string()) && positions.insert(position);
            if !(is_requested && is_first && is_new) {
                self.report.duplicated += 1;
            }
            self.check_sample(sample);
        }
        self.report.delivered += delivery.samples.len() as u64;
        let requested = (0..self.groups).flat_map(|g| (0..self.group_size).map(move |i| (g, i)));
        let missing = requested
            .filter(|position| !positions.contains(position))
            .count();
        self.report.lost += missing as u64;
    }

    fn check_sample(&mut self, sample: &Sample) {
        let published = self.first_version..=self.latest_version;
        let is_published = sample
            .spans
            .iter()
            .all(|s| published.contains(&s.version.0));
        if !is_published || check_spans(&sample.spans, sample.tokens).is_err() {
            self.report.mislabelled += 1;
        }
        let versions = sample.spans.iter().map(|span| span.version.0);
        self.report.versions.extend(versions);
        let oldest = oldest_version(&sample.spans).map_or(0, |version| version.0);
        // The node may compute the staleness before the latest version is published, so its
        // value can be lower than the recomputed one, but never higher.
        let staleness = self
            .latest_version
            .saturating_sub(oldest)
            .max(sample.staleness);
        self.report.too_stale += u64::from(staleness > self.staleness_bound);
        self.report.staleness_max = self.report.staleness_max.max(staleness);
        self.staleness_sum += staleness;
    }

    pub(super) fn report(self) -> Report {
        let delivered = self.report.delivered.max(1) as f64;
        Report {
            steps: self.steps,
            staleness_mean: self.staleness_sum as f64 / delivered,
            ..self.report
        }
    }
}
