//! The results of simulation runs.

use crate::scenario::Scenario;
use crate::Result;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The result of a step, as seen by its trainer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The index of the trainer in the scenario.
    pub trainer: usize,
    /// The number of the step, from 0.
    pub number: u64,
    /// When it was submitted.
    pub submitted_ms: u64,
    /// When the trainer had the target number of groups, if it did.
    pub ended_ms: Option<u64>,
    /// The number of groups that the trainer waits for.
    pub target: usize,
    /// The number of groups complete by their due time, at most `target`.
    pub in_time: usize,
    /// The number of groups complete later, as far as they count towards `target`.
    pub late: usize,
}

/// The metrics of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Metrics {
    /// The share of target groups that were complete in time, of those that a submission every
    /// [`every_ms`](crate::Trainer::every_ms) would have had.
    pub in_time: f64,
    /// The same share, with a late group counted as 3/8.
    pub worth: f64,
    /// The median of the step durations, from submission to end, in milliseconds.
    pub step_ms: f64,
    /// The 90th percentile of the step durations, in milliseconds.
    pub step_p90_ms: f64,
    /// The number of steps that ended.
    pub steps: u64,
    /// The number of weight loads.
    pub loads: u64,
    /// The number of requests to replicas.
    pub runs: u64,
    /// The number of requests that were stopped before their end.
    pub runs_cut: u64,
}

/// The largest difference of worth that writing and reading a report as JSON may cause.
const WORTH_TOLERANCE: f64 = 1e-9;
/// The worth of a late group, relative to one in time.
const LATE_GROUP_WORTH: f64 = 0.375;

impl Metrics {
    pub(crate) fn with_steps(mut self, steps: &[Step], scenario: &Scenario) -> Self {
        let ended = steps
            .iter()
            .filter_map(|step| Some(step.ended_ms? - step.submitted_ms));
        let mut times: Vec<u64> = ended.collect();
        times.sort_unstable();
        self.steps = times.len() as u64;
        self.step_ms = percentile(&times, 0.5);
        self.step_p90_ms = percentile(&times, 0.9);
        let expected_groups: f64 = scenario
            .trainers
            .iter()
            .map(|trainer| {
                // Steps submitted within `due_ms` of the end are not counted: they can't be in time.
                let last = scenario.duration_ms.saturating_sub(trainer.due_ms);
                let last = last.min(scenario.last_submission_ms());
                let steps = last / trainer.every_ms + 1;
                let target = (f64::from(trainer.groups) * trainer.wait_share).ceil();
                steps as f64 * target
            })
            .sum();
        let counted = |step: &&Step| {
            let trainer = &scenario.trainers[step.trainer];
            step.submitted_ms + trainer.due_ms <= scenario.duration_ms
        };
        let in_time: usize = steps.iter().filter(counted).map(|step| step.in_time).sum();
        let late: usize = steps.iter().filter(counted).map(|step| step.late).sum();
        self.in_time = in_time as f64 / expected_groups;
        self.worth = (in_time as f64 + LATE_GROUP_WORTH * late as f64) / expected_groups;
        self
    }
}

fn percentile(sorted: &[u64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * fraction).round() as usize;
    sorted.get(index).map_or(0.0, |value| *value as f64)
}

/// The result of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// The seed of the run.
    pub seed: u64,
    /// The metrics of the run.
    pub figures: Metrics,
    /// The steps of all trainers.
    pub steps: Vec<Step>,
}

/// The results of all runs of a scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub scenario: String,
    /// The runs, one per seed.
    pub runs: Vec<Run>,
}

impl Report {
    /// Reads a report that [`to_json`](Self::to_json) wrote.
    ///
    /// # Errors
    ///
    /// [`Error::Report`](crate::Error::Report) if it is malformed.
    pub fn from_json(text: &str) -> Result<Self> {
        Ok(serde_json::from_str(text)?)
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Report`](crate::Error::Report) if serialization fails.
    pub fn to_json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Compares the worth of the runs with that of the runs of the same seeds in `before`.
    pub fn compare(&self, before: &Self) -> Comparison {
        let pairs = self.runs.iter().filter_map(|run| {
            let mut earlier = before.runs.iter();
            let earlier = earlier.find(|earlier| earlier.seed == run.seed)?;
            Some((earlier.figures.worth, run.figures.worth))
        });
        let pairs: Vec<(f64, f64)> = pairs.collect();
        let count = pairs.len().max(1) as f64;
        let gains: Vec<f64> = pairs.iter().map(|(before, now)| now - before).collect();
        Comparison {
            pairs: pairs.len(),
            better: gains.iter().filter(|gain| **gain > WORTH_TOLERANCE).count(),
            worse: gains
                .iter()
                .filter(|gain| **gain < -WORTH_TOLERANCE)
                .count(),
            gain: gains.iter().sum::<f64>() / count,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>7} {:>7} {:>8} {:>8} {:>6} {:>6} {:>7} {:>6}",
            "seed", "worth", "in time", "step ms", "p90 ms", "steps", "loads", "runs", "cut"
        )?;
        let mut line = |name: String, figures: &Metrics| {
            writeln!(
                formatter,
                "{name:<8} {:>7.3} {:>7.3} {:>8.0} {:>8.0} {:>6} {:>6} {:>7} {:>6}",
                figures.worth,
                figures.in_time,
                figures.step_ms,
                figures.step_p90_ms,
                figures.steps,
                figures.loads,
                figures.runs,
                figures.runs_cut
            )
        };
        for run in &self.runs {
            line(run.seed.to_string(), &run.figures)?;
        }
        line("mean".to_owned(), &self.mean())
    }
}

impl Report {
    /// Returns the mean of each metric over the runs.
    pub fn mean(&self) -> Metrics {
        let count = self.runs.len().max(1) as f64;
        let mean = |value: fn(&Metrics) -> f64| -> f64 {
            let values = self.runs.iter().map(|run| value(&run.figures));
            values.sum::<f64>() / count
        };
        let rounded_mean = |value: fn(&Metrics) -> f64| mean(value).round() as u64;
        Metrics {
            in_time: mean(|figures| figures.in_time),
            worth: mean(|figures| figures.worth),
            step_ms: mean(|figures| figures.step_ms),
            step_p90_ms: mean(|figures| figures.step_p90_ms),
            steps: rounded_mean(|figures| figures.steps as f64),
            loads: rounded_mean(|figures| figures.loads as f64),
            runs: rounded_mean(|figures| figures.runs as f64),
            runs_cut: rounded_mean(|figures| figures.runs_cut as f64),
        }
    }
}

/// The comparison of two reports, seed by seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// The number of seeds that both reports contain.
    pub pairs: usize,
    /// The number of seeds with a higher worth than before.
    pub better: usize,
    /// The number of seeds with a lower worth than before.
    pub worse: usize,
    /// The mean change of the worth.
    pub gain: f64,
}

impl fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} pairs: worth {:+.3}, {} better, {} worse",
            self.pairs, self.gain, self.better, self.worse
        )
    }
}
