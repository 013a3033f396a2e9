//! A trainer and the planner of its owner.

use super::deployment::{Deployment, GROUP_SIZE};
use super::pick::Policy;
use dogwoodlb_rollout::{Planner, Settings};
use dogwoodlb_types::prelude::*;
use std::collections::HashMap;

/// What the trainer does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for the step since then.
    Waits(u64),
    Trains,
}

/// One trainer.
#[derive(Debug)]
pub(crate) struct Trainer {
    pub(crate) planner: Planner,
    pub(crate) version: u64,
    /// The step that is waited for or trained.
    pub(crate) step: u64,
    phase: Phase,
    submitted: u64,
    ahead: Option<u64>,
    bound: u64,
    groups: u32,
    /// The oldest version of each accepted sample.
    accepted: HashMap<id::Sample, u64>,
    began: u64,
    pub(crate) steps: Vec<StepRecord>,
}

/// A delivered step.
#[derive(Clone, Debug)]
pub(crate) struct StepRecord {
    pub(crate) at: u64,
    /// The time since the delivery before.
    pub(crate) took: u64,
    pub(crate) idle: u64,
    pub(crate) staleness: Vec<u64>,
}

impl Trainer {
    pub(crate) fn new(
        deployment: &Deployment,
        policy: &Policy,
        index: usize,
    ) -> Result<Self, dogwoodlb_types::Error> {
        let name: id::Trainer = format!("trainer-{index}").parse()?;
        let settings = Settings {
            trainer: name,
            staleness_bound: deployment.bound,
            // The baselines bound the run-ahead by the steps that they submit.
            idle_weight: policy.ahead.map_or(deployment.idle_weight, |_| 1.0),
        };
        let mut trainer = Self {
            planner: Planner::new(settings, id::Version(1)),
            version: 1,
            step: 1,
            phase: Phase::Waits(0),
            submitted: 0,
            ahead: policy.ahead,
            bound: deployment.bound,
            groups: deployment.groups,
            accepted: HashMap::new(),
            began: 0,
            steps: Vec::new(),
        };
        trainer.planner.set_requested_step(Some(id::Step(1)));
        trainer.submit();
        Ok(trainer)
    }

    /// Submits the steps up to the run-ahead of a baseline, or all that the bound allows.
    pub(crate) fn submit(&mut self) {
        let ahead = self.ahead.unwrap_or(self.bound + 1);
        let sizes = vec![GROUP_SIZE; self.groups as usize];
        while self.submitted < self.step + ahead {
            self.submitted += 1;
            // Far fewer steps are open than a planner holds.
            let _ = self.planner.submit(id::Step(self.submitted), &sizes);
        }
    }

    /// Records a sample; returns whether it counts, because it is the first and young enough.
    pub(crate) fn accept(&mut self, sample: &id::Sample, oldest: u64) -> bool {
        let is_new = !self.accepted.contains_key(sample) && sample.step.0 >= self.step;
        let is_young = oldest + self.bound >= self.version;
        if is_new && is_young {
            self.accepted.insert(sample.clone(), oldest);
        }
        is_new && is_young
    }

    /// Delivers the step if it is whole, and tells whether training begins.
    ///
    /// Samples that became too old are generated again, as the ledger demands.
    pub(crate) fn deliver(&mut self, now: Instant) -> bool {
        let Phase::Waits(since) = self.phase else {
            return false;
        };
        let step = id::Step(self.step);
        if self.planner.unfinished(step) != Some(0) {
            return false;
        }
        let ages = self.accepted.iter().filter(|(own, _)| own.step == step);
        let ages: Vec<_> = ages
            .map(|(own, oldest)| (own.clone(), self.version - oldest))
            .collect();
        let old: Vec<_> = ages.iter().filter(|(_, age)| *age > self.bound).collect();
        for (sample, _) in &old {
            self.accepted.remove(sample);
            self.planner.on_stale(now, sample);
        }
        if !old.is_empty() {
            return false;
        }
        let at = now.as_millis();
        self.steps.push(StepRecord {
            at,
            took: at - self.began,
            idle: at - since,
            staleness: ages.iter().map(|(_, age)| *age).collect(),
        });
        self.began = at;
        self.accepted.retain(|own, _| own.step > step);
        self.planner.on_acknowledged(step);
        self.planner.set_requested_step(None);
        self.phase = Phase::Trains;
        true
    }

    /// Publishes the next version and asks for the next step.
    pub(crate) fn publish(&mut self, now: Instant) {
        self.version += 1;
        self.step += 1;
        // A baseline generates at once as far ahead as it may, without regard to swaps.
        let published = self.ahead.map_or(now, |_| Instant::default());
        self.planner
            .on_version(published, id::Version(self.version));
        self.planner.set_requested_step(Some(id::Step(self.step)));
        self.phase = Phase::Waits(now.as_millis());
        self.submit();
    }
}
