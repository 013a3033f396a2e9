//! The trainer process: one request after the other, repeated until it is answered.

use super::node::Request;
use super::*;
use dogwoodlb_ledger::{Completion, Content, Group};

/// How long the trainer waits for an answer before it asks another node.
const TIMEOUT_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Stage {
    #[default]
    Session,
    /// Submit this step.
    Submit(u64),
    Fetch(u64),
    FetchAgain(u64),
    Acknowledge(u64),
    /// Publish the version after this step.
    Publish(u64),
    Done,
}

#[derive(Default)]
pub(crate) struct Trainer {
    pub(crate) stage: Stage,
    pub(crate) session: id::Session,
    /// The version that the trainer published last.
    pub(crate) version: u64,
    delivery: id::Delivery,
    node: usize,
    asked_at: Option<u64>,
    not_before: u64,
}

pub(crate) fn content() -> Content {
    let prompt = "2 + 2 =".to_owned();
    let groups = vec![Group { prompt, size: SIZE }];
    Content {
        groups,
        max_tokens: 16,
    }
}

impl Trainer {
    pub(crate) fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    fn request(&self) -> Option<Request> {
        let session = self.session;
        Some(match self.stage {
            Stage::Session => Request::Session,
            Stage::Submit(step) => Request::Submit(session, id::Step(step)),
            Stage::Fetch(step) => Request::Fetch(session, id::Step(step), false),
            Stage::FetchAgain(step) => Request::Fetch(session, id::Step(step), true),
            Stage::Acknowledge(step) => {
                Request::Acknowledge(session, id::Step(step), self.delivery)
            }
            Stage::Publish(step) => Request::Publish(session, id::Version(step + 1)),
            Stage::Done => return None,
        })
    }

    /// Steps are submitted one ahead.
    fn next(&self) -> Stage {
        match self.stage {
            Stage::Session => Stage::Submit(1),
            Stage::Submit(1) => Stage::Submit(2),
            Stage::Submit(step) => Stage::Fetch(step - 1),
            Stage::Fetch(step) => Stage::FetchAgain(step),
            Stage::FetchAgain(step) => Stage::Acknowledge(step),
            Stage::Acknowledge(step) => Stage::Publish(step),
            Stage::Publish(step) if step == STEPS => Stage::Done,
            Stage::Publish(step) if step + 2 <= STEPS => Stage::Submit(step + 2),
            Stage::Publish(step) => Stage::Fetch(step + 1),
            Stage::Done => Stage::Done,
        }
    }
}

impl World {
    pub(super) fn run_trainer(&mut self, faults: &mut Faults) {
        let now = self.now;
        let trainer = &mut self.trainer;
        if trainer.asked_at.is_some_and(|at| now < at + TIMEOUT_MS) || now < trainer.not_before {
            return;
        }
        if trainer.asked_at.take().is_some() {
            trainer.node = (trainer.node + 1) % NODES;
        }
        let Some(request) = trainer.request() else {
            return;
        };
        trainer.version = trainer.version.max(1);
        trainer.asked_at = Some(now);
        let node = trainer.node;
        if now < self.nodes[node].trainer_cut_until {
            return;
        }
        if matches!(request, Request::Fetch(_, _, true)) {
            let fault = faults.at("fetch again");
            return self.fetch_again(node, request, fault);
        }
        self.nodes[node].requests.push_back(request);
    }

    /// The only request that the node answers without a transaction.
    fn fetch_again(&mut self, node: usize, request: Request, fault: Option<Fault>) {
        match fault {
            Some(Fault::PeerCut) => {
                self.nodes[node].trainer_cut_until = self.now + PEER_CUT_MS;
                return;
            }
            Some(Fault::Repeated) => self.nodes[node].requests.push_back(request.clone()),
            // The node gets the request after the trainer gave up waiting.
            Some(Fault::Delay) => {
                let due = self.now + DELAY_MS;
                self.nodes[node].late_requests.push((due, request));
                return;
            }
            _ => {}
        }
        self.nodes[node].requests.push_back(request);
        if !self.begin(node, fault) {
            return;
        }
        match fault {
            Some(Fault::CrashAfter) => self.nodes[node].crash_after = true,
            Some(Fault::ReplyLost) => self.nodes[node].lose_reply = true,
            _ => {}
        }
    }

    /// Takes the answer of a node; `None` is a refusal or a step that isn't complete.
    pub(super) fn answer(&mut self, node: usize, request: &Request, done: Option<Completion>) {
        if self.now < self.nodes[node].trainer_cut_until {
            return;
        }
        if let Some(Completion::Delivered(delivery)) = &done {
            self.check_delivery(delivery);
            self.trainer.delivery = delivery.delivery;
        }
        if self.trainer.request().as_ref() != Some(request) {
            return;
        }
        let trainer = &mut self.trainer;
        trainer.asked_at = None;
        match done {
            None => {
                trainer.node = (node + 1) % NODES;
                trainer.not_before = self.now + 500;
                return;
            }
            Some(Completion::Waiting { .. }) => {
                trainer.not_before = self.now + 200;
                return;
            }
            Some(Completion::Session(session)) => trainer.session = session,
            Some(Completion::Acknowledged(step)) => {
                self.acknowledged.insert(step);
            }
            Some(Completion::Published { version, .. }) => {
                trainer.version = version.0;
                self.serve_at = Some((self.now + 700, version.0));
            }
            Some(_) => {}
        }
        self.trainer.stage = self.trainer.next();
    }
}
