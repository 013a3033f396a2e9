//! A trainer and its steps.

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
    /// The true number of events of each item.
    pub(crate) events: Vec<u64>,
}

/// A step that was submitted.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) id: String,
    pub(crate) number: u64,
    pub(crate) submitted_ms: u64,
    pub(crate) groups: Vec<Group>,
    /// The items that are missing, by group.
    pub(crate) missing: Vec<usize>,
    /// The indices of the items that are listed.
    pub(crate) listed: std::collections::BTreeSet<u32>,
    pub(crate) target: usize,
    pub(crate) ended_ms: Option<u64>,
    pub(crate) complete_ms: BTreeMap<usize, u64>,
}

impl Step {
    /// Returns the items in the order of their indices.
    pub(crate) fn items(&self) -> Vec<Item> {
        let groups = self.groups.iter();
        groups.flat_map(|group| group.items.clone()).collect()
    }

    /// Returns the true number of events of an item.
    pub(crate) fn events(&self, index: u32) -> u64 {
        let all = self.groups.iter().flat_map(|group| &group.events);
        all.copied().nth(index as usize).unwrap_or(1)
    }

    /// Lists the result of an item; returns whether it is news.
    pub(crate) fn list(&mut self, index: u32, now_ms: u64) -> bool {
        if self.ended_ms.is_some() || !self.listed.insert(index) {
            return false;
        }
        let mut left = index as usize;
        for (number, group) in self.groups.iter().enumerate() {
            if left < group.items.len() {
                self.missing[number] -= 1;
                if self.missing[number] == 0 {
                    self.complete_ms.insert(number, now_ms);
                }
                break;
            }
            left -= group.items.len();
        }
        true
    }

    pub(crate) fn is_enough(&self) -> bool {
        self.complete_ms.len() >= self.target
    }
}

/// A trainer as it runs.
pub(crate) struct Running<'a> {
    pub(crate) index: usize,
    pub(crate) settings: &'a Trainer,
    seed: u64,
    next: u64,
    /// The groups of ended steps that were not complete.
    carried: Vec<Group>,
    pub(crate) steps: Vec<Step>,
}

impl<'a> Running<'a> {
    pub(crate) fn new(index: usize, settings: &'a Trainer, seed: u64) -> Self {
        Self {
            index,
            settings,
            seed,
            next: 0,
            carried: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Returns the newest version of its weights.
    pub(crate) fn newest(&self, now_ms: u64) -> u64 {
        let training = self.settings.training_ms;
        let is_trained = |step: &&Step| step.ended_ms.is_some_and(|at| at + training <= now_ms);
        let trained = self.steps.iter().filter(is_trained).map(|step| step.number);
        trained.max().map_or(1, |number| number + 2)
    }

    /// Submits the next step if it is due and its weights are named.
    pub(crate) fn submit(&mut self, now_ms: u64) -> Option<&Step> {
        let number = self.next;
        if now_ms < number * self.settings.every_ms || self.newest(now_ms) < number {
            return None;
        }
        self.next += 1;
        let mut groups = std::mem::take(&mut self.carried);
        groups.truncate(self.settings.groups as usize);
        while groups.len() < self.settings.groups as usize {
            groups.push(self.group(number, groups.len()));
        }
        let target = (groups.len() as f64 * self.settings.wait_share).ceil() as usize;
        self.steps.push(Step {
            id: format!("{}/{number:04}", self.index),
            number,
            submitted_ms: now_ms,
            missing: groups.iter().map(|group| group.items.len()).collect(),
            groups,
            listed: std::collections::BTreeSet::new(),
            target,
            ended_ms: None,
            complete_ms: BTreeMap::new(),
        });
        self.steps.last()
    }

    /// Ends a step that has enough groups; the others come again.
    pub(crate) fn end(&mut self, position: usize, now_ms: u64) {
        let step = &mut self.steps[position];
        step.ended_ms = Some(now_ms);
        let incomplete = step.groups.iter().zip(&step.missing);
        let incomplete = incomplete.filter(|(_, missing)| **missing > 0);
        self.carried
            .extend(incomplete.map(|(group, _)| group.clone()));
    }

    fn group(&self, step: u64, number: usize) -> Group {
        let name = format!("{}/{step}/{number}", self.index);
        let size = self.settings.group_size;
        let mut items = Vec::new();
        let mut events = Vec::new();
        for item in 0..size {
            let (length, hint) = self.draw(step, number as u64, u64::from(item));
            events.push(length);
            items.push(Item {
                id: format!("{name}/{item}"),
                group: name.clone(),
                prompt_tokens: self.settings.prompt_tokens,
                expected_tokens: hint,
                ..Item::default()
            });
        }
        Group { items, events }
    }

    /// Draws the events of an item and their estimate, whatever was drawn before.
    fn draw(&self, step: u64, group: u64, item: u64) -> (u64, u64) {
        let place = (self.index as u64) << 48 | step << 24 | group << 8 | item;
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9) ^ place);
        let length = self.settings.events;
        let mut normal = || -> f64 { StandardNormal.sample(&mut rng) };
        let (shape, error) = (normal(), normal());
        let mean = length.mean * (-length.spread * length.spread / 2.0).exp();
        let mut events = mean * (length.spread * shape).exp();
        if rng.random_bool(length.tail.clamp(0.0, 1.0)) {
            events *= length.tail_factor;
        }
        let events = events.round().clamp(1.0, length.most.max(1.0));
        let hint = (events * (self.settings.hint_spread * error).exp()).round();
        (events as u64, hint.max(1.0) as u64)
    }

    /// Returns what the report says of the steps.
    pub(crate) fn report(&self) -> Vec<report::Step> {
        let steps = self.steps.iter();
        let step = |step: &Step| {
            let due = step.submitted_ms + self.settings.due_ms;
            let in_time = step.complete_ms.values().filter(|at| **at <= due).count();
            report::Step {
                trainer: self.index,
                number: step.number,
                submitted_ms: step.submitted_ms,
                ended_ms: step.ended_ms,
                target: step.target,
                in_time: in_time.min(step.target),
                late: step.complete_ms.len().min(step.target) - in_time.min(step.target),
            }
        };
        steps.map(step).collect()
    }
}
