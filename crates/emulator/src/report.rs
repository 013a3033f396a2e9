//! What a run showed.

use crate::scenario::Scenario;
use crate::Result;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A step as its trainer saw it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The trainer.
    pub trainer: usize,
    /// The number of the step.
    pub number: u64,
    /// When it was submitted.
    pub submitted_ms: u64,
    /// When it had enough groups.
    pub ended_ms: Option<u64>,
    /// The groups that the trainer waits for.
    pub target: usize,
    /// Those that were complete in time.
    pub in_time: usize,
    /// Those that were complete later.
    pub late: usize,
}

/// The figures of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Metrics {
    /// The part of the groups waited for that was complete in time, of all that were due at a
    /// submission every so often.
    pub in_time: f64,
    /// The same with a late group counted as three eighths.
    pub worth: f64,
    /// The middle of the times from submission to end, in milliseconds.
    pub step_ms: f64,
    /// The time that nine of ten steps stay below.
    pub step_p90_ms: f64,
    /// The steps that ended.
    pub steps: u64,
    /// The loads of weights.
    pub loads: u64,
    /// The requests to replicas.
    pub runs: u64,
    /// The requests that were broken off.
    pub runs_cut: u64,
}

/// A difference of worth that the text form of a report may make.
const WORTH_TOLERANCE: f64 = 1e-9;
/// What a late group is worth.
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
        let due: f64 = scenario
            .trainers
            .iter()
            .map(|trainer| {
                // A step that is due to be submitted in the last moments can't be in time.
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
        self.in_time = in_time as f64 / due;
        self.worth = (in_time as f64 + LATE_GROUP_WORTH * late as f64) / due;
        self
    }
}

fn percentile(sorted: &[u64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * part).round() as usize;
    sorted.get(index).map_or(0.0, |value| *value as f64)
}

/// One run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: Metrics,
    /// The steps.
    pub steps: Vec<Step>,
}

/// All runs of a scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub scenario: String,
    /// The runs, by seed.
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
    /// [`Error::Report`](crate::Error::Report) if a figure has no JSON form.
    pub fn to_json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Compares the runs of the seeds that both reports have.
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
    /// Returns the mean of the runs.
    pub fn mean(&self) -> Metrics {
        let count = self.runs.len().max(1) as f64;
        let mean = |value: fn(&Metrics) -> f64| -> f64 {
            let values = self.runs.iter().map(|run| value(&run.figures));
            values.sum::<f64>() / count
        };
        let whole = |value: fn(&Metrics) -> f64| mean(value).round() as u64;
        Metrics {
            in_time: mean(|figures| figures.in_time),
            worth: mean(|figures| figures.worth),
            step_ms: mean(|figures| figures.step_ms),
            step_p90_ms: mean(|figures| figures.step_p90_ms),
            steps: whole(|figures| figures.steps as f64),
            loads: whole(|figures| figures.loads as f64),
            runs: whole(|figures| figures.runs as f64),
            runs_cut: whole(|figures| figures.runs_cut as f64),
        }
    }
}

/// Two reports on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// The seeds that both have.
    pub pairs: usize,
    /// Those with more worth than before.
    pub better: usize,
    /// Those with less.
    pub worse: usize,
    /// The mean change of worth.
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
