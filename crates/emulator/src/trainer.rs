//! A simulated trainer and its steps.

use crate::report;
use crate::scenario::Trainer;
use dogwoodlb_batch::Item;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, StandardNormal};
use std::collections::BTreeMap;

/// A group of items that share a prompt.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) items: Vec<Item>,
    /// The actual number of events of each item, which the planner only knows as an estimate.
    pub(crate) events: Vec<u64>,
}

/// A submitted step.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) id: String,
    pub(crate) number: u64,
    pub(crate) submitted_ms: u64,
    pub(crate) groups: Vec<Group>,
    /// The number of items without a result, by group.
    pub(crate) missing_items: Vec<usize>,
    /// The indices of the items whose results are listed.
    pub(crate) listed: std::collections::BTreeSet<u32>,
    pub(crate) target: usize,
    pub(crate) ended_ms: Option<u64>,
    pub(crate) completed_at_ms: BTreeMap<usize, u64>,
}

impl Step {
    /// Returns the items in the order of their indices.
    pub(crate) fn items(&self) -> Vec<Item> {
        let groups = self.groups.iter();
        groups.flat_map(|group| group.items.clone()).collect()
    }

    /// Returns the actual number of events of an item.
    pub(crate) fn events(&self, index: u32) -> u64 {
        let all = self.groups.iter().flat_map(|group| &group.events);
        all.copied().nth(index as usize).unwrap_or(1)
    }

    /// Lists the result of an item. Returns `false` if it was listed before or the step has ended.
    pub(crate) fn list_result(&mut self, index: u32, now_ms: u64) -> bool {
        if self.ended_ms.is_some() || !self.listed.insert(index) {
            return false;
        }
        let mut left = index as usize;
        for (number, group) in self.groups.iter().enumerate() {
            if left < group.items.len() {
                self.missing_items[number] -= 1;
                if self.missing_items[number] == 0 {
                    self.completed_at_ms.insert(number, now_ms);
                }
                break;
            }
            left -= group.items.len();
        }
        true
    }

    pub(crate) fn has_enough_groups(&self) -> bool {
        self.completed_at_ms.len() >= self.target
    }
}

/// The state of a trainer during a run.
pub(crate) struct TrainerState<'a> {
    pub(crate) index: usize,
    pub(crate) config: &'a Trainer,
    seed: u64,
    next_step: u64,
    /// The incomplete groups of ended steps, which the next step submits again.
    carried_over: Vec<Group>,
    pub(crate) steps: Vec<Step>,
}

impl<'a> TrainerState<'a> {
    pub(crate) fn new(index: usize, config: &'a Trainer, seed: u64) -> Self {
        Self {
            index,
            config,
            seed,
            next_step: 0,
            carried_over: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Returns the newest version of its weights.
    pub(crate) fn newest_version(&self, now_ms: u64) -> u64 {
        let training = self.config.training_ms;
        let is_trained = |step: &&Step| step.ended_ms.is_some_and(|at| at + training <= now_ms);
        let trained = self.steps.iter().filter(is_trained).map(|step| step.number);
        trained.max().map_or(1, |number| number + 2)
    }

    /// Submits the next step if it is due and the weights that it needs are announced.
    pub(crate) fn submit_if_due(&mut self, now_ms: u64) -> Option<&Step> {
        let number = self.next_step;
        if now_ms < number * self.config.every_ms || self.newest_version(now_ms) < number {
            return None;
        }
        self.next_step += 1;
        let mut groups = std::mem::take(&mut self.carried_over);
        groups.truncate(self.config.groups as usize);
        while groups.len() < self.config.groups as usize {
            groups.push(self.generate_group(number, groups.len()));
        }
        let target = (groups.len() as f64 * self.config.wait_share).ceil() as usize;
        self.steps.push(Step {
            id: format!("{}/{number:04}", self.index),
            number,
            submitted_ms: now_ms,
            missing_items: groups.iter().map(|group| group.items.len()).collect(),
            groups,
            listed: std::collections::BTreeSet::new(),
            target,
            ended_ms: None,
            completed_at_ms: BTreeMap::new(),
        });
        self.steps.last()
    }

    /// Ends a step; its incomplete groups are submitted again with the next step.
    pub(crate) fn end_step(&mut self, position: usize, now_ms: u64) {
        let step = &mut self.steps[position];
        step.ended_ms = Some(now_ms);
        let incomplete = step.groups.iter().zip(&step.missing_items);
        let incomplete = incomplete.filter(|(_, missing_items)| **missing_items > 0);
        self.carried_over
            .extend(incomplete.map(|(group, _)| group.clone()));
    }

    fn generate_group(&self, step: u64, number: usize) -> Group {
        let name = format!("{}/{step}/{number}", self.index);
        let size = self.config.group_size;
        let mut items = Vec::new();
        let mut events = Vec::new();
        for item in 0..size {
            let (length, hint) = self.draw_lengths(step, number as u64, u64::from(item));
            events.push(length);
            items.push(Item {
                id: format!("{name}/{item}"),
                group: name.clone(),
                prompt_tokens: self.config.prompt_tokens,
                expected_tokens: hint,
                ..Item::default()
            });
        }
        Group { items, events }
    }

    /// Draws the number of events of an item and its estimate, independently of earlier draws.
    fn draw_lengths(&self, step: u64, group: u64, item: u64) -> (u64, u64) {
        let item_key = (self.index as u64) << 48 | step << 24 | group << 8 | item;
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9) ^ item_key);
        let length = self.config.events;
        let mut normal = || -> f64 { StandardNormal.sample(&mut rng) };
        let (shape, error) = (normal(), normal());
        let mean = length.mean * (-length.spread * length.spread / 2.0).exp();
        let mut events = mean * (length.spread * shape).exp();
        if rng.random_bool(length.tail.clamp(0.0, 1.0)) {
            events *= length.tail_factor;
        }
        let events = events.round().clamp(1.0, length.most.max(1.0));
        let hint = (events * (self.config.hint_spread * error).exp()).round();
        (events as u64, hint.max(1.0) as u64)
    }

    /// Returns the results of the steps.
    pub(crate) fn report(&self) -> Vec<report::Step> {
        let steps = self.steps.iter();
        let step = |step: &Step| {
            let due = step.submitted_ms + self.config.due_ms;
            let in_time = step
                .completed_at_ms
                .values()
                .filter(|at| **at <= due)
                .count();
            report::Step {
                trainer: self.index,
                number: step.number,
                submitted_ms: step.submitted_ms,
                ended_ms: step.ended_ms,
                target: step.target,
                in_time: in_time.min(step.target),
                late: step.completed_at_ms.len().min(step.target) - in_time.min(step.target),
            }
        };
        steps.map(step).collect()
    }
}
