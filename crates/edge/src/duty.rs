//! Performs the duties that one node at a time has at the provider.
//!
//! One [`Driver`] for each duty decides by the rules of the leader election whether this node takes
//! the duty over, writes a claim before each call, and sends the call within the claim's window. What
//! is called is the matter of the [`Duty`]. See docs/design/duties.md.

use crate::candidacy::Candidacy;
use crate::clock;
use crate::context::NodeContext;
use crate::leader::LedServices;
use crate::scaling;
use crate::storage::{self, is_not_applied, SHARED};
use bytes::Bytes;
use dogwoodlb_client::{Client, Settings as ClientSettings};
use dogwoodlb_duty::{ClaimWrite, Holder, Record, Token};
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

mod call;
pub(crate) mod usage_report;

pub(crate) use call::CallOutcome;

/// The interval between two rounds of a duty without work.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a call that was not acknowledged. It doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long sent bytes may remain unacknowledged. It is shorter than each call, so that no byte of a
/// call that was given up is delivered later.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// The share of the permitted rate that is used, since the provider may count in other intervals.
const RATE_SHARE: f64 = 0.8;

/// A call to the provider.
pub(crate) struct Call {
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// What the holder of a duty does next.
pub(crate) struct Plan {
    /// The progress of the duty that is written with the claim.
    pub(crate) progress: Vec<u8>,
    /// Further checks and writes of the claim's transaction.
    pub(crate) txn: Txn,
    /// The call that is sent once the claim is written.
    pub(crate) call: Option<Call>,
}

/// Who may take a duty over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eligibility {
    /// Any node, by the rules of the leader election.
    Ranked,
    /// One node, and whether it is this one. It writes a claim only for a call.
    Designated(bool),
}

/// A duty: what is called, and what follows from the outcome.
pub(crate) trait Duty {
    /// Returns the name, which is part of the key of the duty's row.
    fn name(&self) -> &str;

    /// Returns the name in the settings and in metrics.
    fn kind(&self) -> &'static str;

    /// Returns who may take the duty over.
    fn eligibility(&self) -> Eligibility {
        Eligibility::Ranked
    }

    /// Returns how many drivers share the duty's part of the permitted rate.
    fn driver_count(&self) -> usize {
        1
    }

    /// Returns whether the node no longer has this duty.
    fn is_over(&self) -> bool {
        false
    }

    /// Returns whether the provider decided on the call, so that the next one need not be delayed.
    fn is_answered(&self, outcome: &CallOutcome) -> bool {
        matches!(outcome, CallOutcome::Acknowledged)
    }

    /// Returns the next call, or `None` if nothing is due. `progress` is that of the duty's row,
    /// `None` if it does not exist.
    async fn plan(&mut self, progress: Option<&[u8]>) -> Option<Plan>;

    /// Takes in the outcome of the planned call.
    fn on_outcome(&mut self, fence: u64, outcome: &CallOutcome);
}

/// Performs a duty while this node holds it.
pub(crate) struct Driver<D> {
    context: Rc<NodeContext>,
    duty: D,
    holder: Holder,
    candidacy: Candidacy,
    client: Client,
    /// The minimum interval between two calls.
    pace: Duration,
    failures: u32,
    silent_calls: u32,
}

/// Starts the duties that the settings name.
pub(crate) fn start(context: &Rc<NodeContext>, led_services: &Rc<LedServices>, boot: u64) {
    let Some(provider) = &context.settings.provider else {
        return;
    };
    if let Some(schedule) = usage_report::schedule(provider) {
        let duty = usage_report::UsageReport::new(context.clone(), schedule);
        let driver = Driver::new(context.clone(), duty, boot);
        context.supervisor.spawn("usage_report", driver.run());
        let writer = crate::usage::run(context.clone(), boot);
        context.supervisor.spawn("usage_writer", writer);
    }
    if scaling::is_enabled(provider) {
        let scaling = scaling::run(context.clone(), led_services.clone(), boot);
        context.supervisor.spawn("scaling", scaling);
    }
}

impl<D: Duty> Driver<D> {
    pub(crate) fn new(context: Rc<NodeContext>, duty: D, boot: u64) -> Self {
        let provider = context.settings.provider.as_ref();
        let lease = provider.map_or(Duration::ZERO, |one| Duration::from_millis(one.lease_ms));
        let holder = Holder::new(&context.settings.node, boot, lease);
        let duties = provider.map_or(1, |one| one.duties.len().max(1));
        let rate = provider.map_or(1.0, |one| one.max_calls_per_s.max(0.1)) * RATE_SHARE;
        // Each call has a connection of its own. One that was idle may have been cut since, and its
        // bytes would arrive when the link is restored.
        let client = Client::new(ClientSettings {
            tcp_user_timeout: UNACKNOWLEDGED_TIMEOUT,
            max_idle_per_server: 0,
            ..ClientSettings::default()
        });
        Self {
            candidacy: Candidacy::new(context.peers.clone(), context.storage.clone()),
            context,
            duty,
            holder,
            client,
            pace: Duration::from_secs_f64(duties as f64 / rate),
            failures: 0,
            silent_calls: 0,
        }
    }

    /// Performs the duty until the node shuts down or no longer has it. The next holder goes on once the last claim of
    /// this one has expired.
    pub(crate) async fn run(mut self) {
        while !self.context.peers.is_leaving() && !self.duty.is_over() {
            let pause = self.run_round().await.unwrap_or(ROUND_INTERVAL);
            sleep(pause).await;
        }
    }

    /// Makes at most one call. Returns the pause after it, or `None` if nothing was to be done.
    async fn run_round(&mut self) -> Option<Duration> {
        self.read_feed();
        if self.holder.is_unsettled() {
            self.settle().await;
        }
        let was_holder = self.holder.is_holder();
        let eligibility = self.duty.eligibility();
        let may_hold = match eligibility {
            Eligibility::Ranked => was_holder || self.is_claim_due(),
            Eligibility::Designated(is_this_node) => is_this_node,
        };
        if !may_hold {
            return None;
        }
        if let Err(refusal) = self.holder.check(&self.context.storage.moment()?) {
            tracing::debug!(duty = self.duty.name(), %refusal, "duty_not_claimed");
            return None;
        }
        let progress = self.holder.progress().map(<[u8]>::to_vec);
        let planned = self.duty.plan(progress.as_deref()).await;
        let plan = match (planned, progress) {
            (Some(plan), _) => plan,
            // A takeover is written at once, so that the other nodes know the holder.
            (None, Some(progress)) if !was_holder && eligibility == Eligibility::Ranked => Plan {
                progress,
                txn: Txn::default(),
                call: None,
            },
            _ => return None,
        };
        let token = self.claim(&plan).await?;
        let call = plan.call?;
        let outcome = self.send(token, call).await;
        self.duty.on_outcome(token.fence, &outcome);
        Some(self.pause_after(&outcome))
    }

    fn is_claim_due(&mut self) -> bool {
        let holder = self.holder.holder_name();
        self.candidacy.is_claim_due(self.duty.name(), holder)
    }

    fn read_feed(&mut self) {
        let name = self.duty.name();
        let known = self.context.cluster.duties.borrow().get(name).cloned();
        if let Some(row) = known {
            self.update_holder(|holder| holder.on_row(row.row_version, row.value));
        }
    }

    /// Takes in news of the row, and logs a loss of the duty.
    fn update_holder<T>(&mut self, update: impl FnOnce(&mut Holder) -> T) -> T {
        let was_holder = self.holder.is_holder();
        let result = update(&mut self.holder);
        if was_holder && !self.holder.is_holder() {
            let holder = self.holder.holder_name();
            tracing::info!(duty = self.duty.name(), holder, "duty_lost");
        }
        result
    }

    /// Reads the row after a write whose outcome is unknown.
    async fn settle(&mut self) -> Option<Token> {
        let key = storage::duty_key(self.duty.name());
        let row = match self.context.storage.get(SHARED, &key).await {
            Ok(row) => row,
            Err(error) => {
                tracing::debug!(duty = self.duty.name(), %error, "duty_not_read");
                return None;
            }
        };
        let row = row.map(|row| (row.version, Record::from_slice(&row.value)));
        match row {
            None => self.update_holder(|holder| holder.on_read(None)),
            Some((version, Ok(record))) => {
                self.update_holder(|holder| holder.on_read(Some((version, record))))
            }
            Some((_, Err(error))) => {
                tracing::error!(duty = self.duty.name(), %error, "row_not_decoded");
                None
            }
        }
    }

    /// Writes a claim. Returns the token of the call.
    async fn claim(&mut self, plan: &Plan) -> Option<Token> {
        let moment = self.context.storage.moment()?;
        let before = self.holder.holder_name().to_owned();
        let was_holder = self.holder.is_holder();
        let progress = plan.progress.clone();
        let write = match self.holder.claim(progress, rand::random(), &moment) {
            Ok(write) => write,
            Err(refusal) => {
                tracing::debug!(duty = self.duty.name(), %refusal, "duty_not_claimed");
                return None;
            }
        };
        let (token, outcome) = self.commit(&plan.txn, &write).await;
        if !was_holder || token.is_none() {
            let duty = self.duty.name();
            let row = token.map(|token| token.fence);
            tracing::info!(duty, before, row, outcome, "duty_claimed");
        }
        if token.is_some() {
            self.candidacy.on_claimed(self.duty.name());
        }
        token
    }

    /// Commits a claim. Returns its token and the outcome for the log.
    async fn commit(&mut self, txn: &Txn, write: &ClaimWrite) -> (Option<Token>, &'static str) {
        let key = storage::duty_key(self.duty.name());
        let Ok(value) = write.record.to_vec() else {
            self.holder.on_not_written();
            return (None, "not_encoded");
        };
        let txn = txn.clone().check(SHARED, &key, write.expected_version);
        let txn = txn.put(SHARED, &key, value);
        match self.context.storage.commit(&txn).await {
            Ok(Outcome::Done { version, .. }) => {
                let mut duties = self.context.cluster.duties.borrow_mut();
                duties.put(self.duty.name(), version, write.record.clone(), version);
                (self.holder.on_written(version), "won")
            }
            Ok(Outcome::Conflict { .. }) => {
                self.holder.on_not_written();
                self.settle().await;
                (None, "lost")
            }
            Err(error) if is_not_applied(&error) => {
                self.holder.on_not_written();
                (None, "not_sent")
            }
            Err(_) => {
                self.holder.on_unknown();
                match self.settle().await {
                    Some(token) => (Some(token), "settled"),
                    None => (None, "unknown"),
                }
            }
        }
    }

    fn pause_after(&mut self, outcome: &CallOutcome) -> Duration {
        let pace = self.pace * u32::try_from(self.duty.driver_count()).unwrap_or(u32::MAX);
        if self.duty.is_answered(outcome) {
            self.failures = 0;
            return pace;
        }
        let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        pace.max(delay.min(MAX_RETRY_DELAY))
    }

    /// Returns whether the call of a token may be sent now.
    fn may_send(&self, token: Token) -> bool {
        let now: Instant = clock::now();
        token.permits(now) && !self.context.peers.is_leaving()
    }
}
