//! Service calls with an idempotency key, which run at most once.

use crate::service_call::ServiceCall;
use crate::shared::Shared;
use dogwoodlb_external::service::Reply;
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_once::{Action, Call, CallKey, Request, RequestDigest, Response};
use dogwoodlb_types::{id, Code, Execution, Refusal};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls of a call that has no action to execute.
const TICK: Duration = Duration::from_millis(20);

impl Shared {
    /// Executes a call at most once per caller and idempotency key.
    ///
    /// Returns as soon as the response is known; a worker thread writes the outcome row.
    pub(crate) fn call_at_most_once(
        self: &Arc<Self>,
        service_call: &ServiceCall<'_>,
        caller: &id::Caller,
        key: &str,
    ) -> Result<Reply, Refusal> {
        let key = CallKey::new(caller, key)
            .map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))?;
        let mut call = Call::new(Request {
            key,
            operation: self.new_operation(),
            digest: RequestDigest::new(service_call.method, service_call.path, service_call.body),
            created: self.timestamp(),
            deadline: service_call.deadline,
        });
        let mut actions = VecDeque::from(call.poll(self.now()));
        loop {
            match actions.pop_front() {
                Some(Action::Respond(response)) => {
                    self.finish_in_background(call, actions);
                    return match response {
                        Response::Reply(reply) | Response::Replay(reply) => Ok(reply),
                        Response::Refuse(refusal) => Err(refusal),
                    };
                }
                Some(Action::Dispatch { .. }) => {
                    let result = self.call_service(service_call);
                    let (reply, refusal) = match result {
                        Ok(reply) => (Ok(reply), None),
                        Err(refusal) => (Err(to_external_error(&refusal)), Some(refusal)),
                    };
                    let next = call.on_dispatch(&reply, self.now());
                    actions.extend(self.check_invariant(next)?);
                    if let Some(refusal) = refusal {
                        // Return the refusal of the service call instead of the response of
                        // `dogwoodlb_once`, which is less specific.
                        let is_response = |action: &Action| matches!(action, Action::Respond(_));
                        actions.retain(|action| !is_response(action));
                        self.finish_in_background(call, actions);
                        return Err(refusal);
                    }
                }
                Some(action) => actions.extend(self.run_table_action(&mut call, action)?),
                None => {
                    std::thread::sleep(TICK);
                    actions.extend(call.poll(self.now()));
                }
            }
        }
    }

    /// Executes a read or a transaction on the table service.
    fn run_table_action(&self, call: &mut Call, action: Action) -> Result<Vec<Action>, Refusal> {
        let table = &self.platform.table;
        match action {
            Action::Read { key, timeout } => {
                let row = table.read(&key, timeout);
                self.count_store_failure(&row);
                self.check_invariant(call.on_read(&row, self.now()))
            }
            Action::Commit { txn, timeout, .. } => {
                let outcome = table.commit(&txn, timeout);
                self.count_store_failure(&outcome);
                self.check_invariant(call.on_commit(&outcome, self.now()))
            }
            Action::Respond(_) | Action::Dispatch { .. } => Ok(Vec::new()),
        }
    }

    fn check_invariant(
        &self,
        result: dogwoodlb_once::Result<Vec<Action>>,
    ) -> Result<Vec<Action>, Refusal> {
        result.map_err(|error| {
            let mut refusal = self.invariant_violated("once", error);
            refusal.execution = Execution::MayHaveRun;
            refusal
        })
    }

    /// Writes the outcome of an answered call on a worker thread.
    fn finish_in_background(self: &Arc<Self>, mut call: Call, mut actions: VecDeque<Action>) {
        if call.is_finished() {
            return;
        }
        let shared = self.clone();
        let accepted = self.workers.run(move || {
            while !call.is_finished() && !shared.is_stopped() {
                let next = match actions.pop_front() {
                    Some(action) => shared
                        .run_table_action(&mut call, action)
                        .unwrap_or_default(),
                    None => {
                        std::thread::sleep(TICK);
                        call.poll(shared.now())
                    }
                };
                actions.extend(next);
            }
        });
        if !accepted {
            // Without a stored outcome, a repeated call is told that the first may have run.
            tracing::warn!("outcome_not_stored");
        }
    }
}

/// Converts a refusal to an error whose category tells `dogwoodlb_once` whether the call may have
/// run. The causes are placeholders.
fn to_external_error(refusal: &Refusal) -> Error {
    match (refusal.execution, refusal.code) {
        (Execution::NotRun, _) => Error::new(
            Category::NotSent,
            refusal.message.clone(),
            Cause::ConnectFailed(std::io::ErrorKind::NotConnected),
        ),
        (Execution::MayHaveRun, _) => Error::new(
            Category::Ambiguous,
            refusal.message.clone(),
            Cause::Truncated,
        ),
    }
}
