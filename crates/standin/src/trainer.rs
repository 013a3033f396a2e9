//! A stand-in for a trainer: a client that runs steps and checks the samples delivered to it.

mod checker;
mod client;

use checker::{Delivery, DeliveryChecker};
use client::{Client, Reply, StopReason};
use dogwoodlb_types::id;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The long-poll wait requested by each fetch.
const FETCH_WAIT: Duration = Duration::from_secs(2);

/// Configuration of a trainer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The trainer's name.
    pub trainer: id::Trainer,
    /// The node addresses, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// The first step; a replacement trainer starts at the first unacknowledged step.
    pub first_step: u64,
    /// The number of steps to run.
    pub steps: u64,
    /// The number of groups per step.
    pub groups: u32,
    /// The number of samples per group.
    pub group_size: u32,
    /// The maximum number of tokens per sample.
    pub max_tokens: u32,
    /// The maximum staleness of a delivered sample, in versions.
    pub staleness_bound: u64,
    /// The number of steps between published versions; 0 publishes none.
    pub publish_every: u64,
    /// The version served at startup.
    pub first_version: u64,
    /// The simulated training time of each step.
    pub training_duration: Duration,
    /// The time limit of the whole run.
    pub timeout: Duration,
}

impl Config {
    /// Creates a configuration with a few small steps.
    pub fn new(trainer: id::Trainer, addresses: Vec<SocketAddr>) -> Self {
        Self {
            trainer,
            addresses,
            first_step: 1,
            steps: 4,
            groups: 4,
            group_size: 4,
            max_tokens: 64,
            staleness_bound: 2,
            publish_every: 2,
            first_version: 1,
            training_duration: Duration::ZERO,
            timeout: Duration::from_secs(120),
        }
    }
}

/// The results of a trainer run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of acknowledged steps.
    pub steps: u64,
    /// The number of delivered samples.
    pub delivered: u64,
    /// The number of samples that were delivered more than once or not requested.
    pub duplicated: u64,
    /// The number of requested samples missing from deliveries.
    pub lost: u64,
    /// The number of samples whose spans don't cover their tokens or name an unpublished version.
    pub mislabelled: u64,
    /// The number of samples that exceed the staleness bound.
    pub too_stale: u64,
    /// The versions named by the samples.
    pub versions: BTreeSet<u64>,
    /// The mean staleness of the samples, in versions.
    pub staleness_mean: f64,
    /// The largest staleness of a sample, in versions.
    pub staleness_max: u64,
    /// The fraction of the run time spent waiting for samples, from 0 to 1.
    pub idle_share: f64,
    /// The number of responses that redirected to the owning node.
    pub redirected: u64,
    /// The number of calls retried because a node was unavailable or a connection failed.
    pub retried: u64,
    /// Whether a later session fenced this trainer.
    pub fenced: bool,
    /// The error that stopped the trainer before its last step.
    pub failure: Option<String>,
}

impl Report {
    /// Returns whether the run ended without failure or fencing and all samples were valid.
    pub fn is_clean(&self) -> bool {
        let faulty_samples = self.duplicated + self.lost + self.mislabelled + self.too_stale;
        faulty_samples == 0 && !self.fenced && self.failure.is_none()
    }
}

/// Runs a trainer until it completes its last step, fails or times out.
pub fn run(config: &Config) -> Report {
    let mut session = Session {
        config,
        client: Client::new(config),
        checker: DeliveryChecker::new(config),
        session: 0,
        next_to_submit: config.first_step,
        idle_time: Duration::ZERO,
    };
    let started = Instant::now();
    let result = session.run_steps();
    session.report(started.elapsed(), result.err())
}

struct Session<'a> {
    config: &'a Config,
    client: Client,
    checker: DeliveryChecker,
    session: u64,
    /// The first step that is not yet submitted.
    next_to_submit: u64,
    idle_time: Duration,
}

impl Session<'_> {
    fn run_steps(&mut self) -> Result<(), StopReason> {
        let reply = self.client.call("POST", "sessions", &json!({}))?;
        self.session = reply.u64_field("session")?;
        let end = self.config.first_step + self.config.steps;
        for step in self.config.first_step..end {
            while self.next_to_submit < end.min(step + 2) {
                self.submit(self.next_to_submit)?;
                self.next_to_submit += 1;
            }
            let delivered = self.fetch(step)?;
            self.checker.check(step, &delivered);
            self.acknowledge(step, delivered.delivery)?;
            std::thread::sleep(self.config.training_duration);
            let steps_run = step + 1 - self.config.first_step;
            if self.config.publish_every > 0 && steps_run.is_multiple_of(self.config.publish_every)
            {
                self.publish_version()?;
            }
        }
        Ok(())
    }

    fn submit(&mut self, step: u64) -> Result<(), StopReason> {
        let prompt = |group| format!("{} step {step} group {group}", self.config.trainer);
        let groups = (0..self.config.groups)
            .map(|group| json!({ "prompt": prompt(group), "size": self.config.group_size }));
        let body = json!({
            "session": self.session,
            "groups": groups.collect::<Vec<Value>>(),
            "max_tokens": self.config.max_tokens,
        });
        let path = format!("steps/{step}");
        self.client
            .call("PUT", &path, &body)?
            .expect_status(&[200, 202])
    }

    fn fetch(&mut self, step: u64) -> Result<Delivery, StopReason> {
        let wait_ms = FETCH_WAIT.as_millis();
        let path = format!("steps/{step}?session={}&wait_ms={wait_ms}", self.session);
        let started = Instant::now();
        let delivered = loop {
            let reply = self.client.call("GET", &path, &Value::Null)?;
            if reply.status != 202 {
                break reply.json()?;
            }
        };
        self.idle_time += started.elapsed();
        Ok(delivered)
    }

    fn acknowledge(&mut self, step: u64, delivery: u64) -> Result<(), StopReason> {
        let body = json!({ "session": self.session, "delivery": delivery });
        let path = format!("steps/{step}/ack");
        accept_repeat(&self.client.call("POST", &path, &body)?)?;
        self.checker.steps += 1;
        Ok(())
    }

    fn publish_version(&mut self) -> Result<(), StopReason> {
        let version = self.checker.latest_version + 1;
        let object = format!("weights/{}/{version}", self.config.trainer);
        let body = json!({ "session": self.session, "version": version, "object": object });
        accept_repeat(&self.client.call("POST", "versions", &body)?)?;
        self.checker.latest_version = version;
        Ok(())
    }

    fn report(self, elapsed: Duration, failure: Option<StopReason>) -> Report {
        let mut report = self.checker.report();
        report.idle_share = self.idle_time.as_secs_f64() / elapsed.as_secs_f64().max(f64::EPSILON);
        report.redirected = self.client.redirected;
        report.retried = self.client.retried;
        match failure {
            Some(StopReason::Fenced) => report.fenced = true,
            Some(StopReason::Failed(reason)) => report.failure = Some(reason),
            None => {}
        }
        report
    }
}

/// Accepts a conflict if an earlier attempt of the request may have taken effect.
fn accept_repeat(reply: &Reply) -> Result<(), StopReason> {
    match reply.status {
        409 if reply.repeated => Ok(()),
        _ => reply.expect_status(&[200, 201, 202, 204]),
    }
}
