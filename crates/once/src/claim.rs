use crate::call::Call;
use crate::row::{Row, State, StoredReply};
use crate::{Action, Response};
use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::{self, Outcome};
use dogwoodlb_external::Category;
use dogwoodlb_types::prelude::*;
use std::time::Duration;

/// The interval at which the row of another operation is read while waiting for its outcome.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The retry-after time of refusals while the table is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claiming the key, which leads to the dispatch or to a response without one.
impl Call {
    /// Writes the intent if the row still has this version; 0 means that the row is absent.
    pub(crate) fn claim(&mut self, version: u64, now: Instant) -> Vec<Action> {
        vec![self.commit(State::Started, version, now)]
    }

    pub(crate) fn on_claim_commit(
        &mut self,
        result: Result<&Outcome, Category>,
        now: Instant,
    ) -> Vec<Action> {
        match result {
            Ok(&Outcome::Applied { version }) if version > 0 => self.on_claimed(version, now),
            Ok(Outcome::Conflict { .. }) => {
                // Assume that the row belongs to another call until a read shows otherwise.
                self.held_by_other = true;
                self.read(now)
            }
            Err(Category::NotSent | Category::Refused)
                if !self.intent_may_apply && !self.held_by_other =>
            {
                self.respond(Response::Refuse(unreadable_key_refusal()))
            }
            Err(Category::NotSent | Category::Refused) => self.read_after_backoff(now),
            // The write may have been applied or may still be, so read back before any retry. This
            // includes a reply with version 0, which denotes an absent row.
            _ => {
                self.intent_may_apply = true;
                self.read_after_backoff(now)
            }
        }
    }

    pub(crate) fn on_claim_read(&mut self, row: Option<&table::Row>, now: Instant) -> Vec<Action> {
        let Some(found) = row else {
            // Only the cleanup deletes rows. If the key was in use a moment ago, it is no longer
            // possible to determine whether the earlier call ran, so wait until the deadline.
            return if self.held_by_other {
                self.start_timer(OUTCOME_POLL_INTERVAL, now)
            } else if now >= self.request.deadline {
                self.refuse_at_deadline(now)
            } else {
                self.claim(0, now)
            };
        };
        let Ok(row) = Row::from_str(&found.value) else {
            return self.refuse_malformed_row();
        };
        if row.digest != self.request.digest {
            let refusal = Refusal::not_run(
                Code::Conflict,
                "idempotency key was already used for a different request",
            );
            return self.respond(Response::Refuse(refusal));
        }
        self.on_claim_row(row, found.version, now)
    }

    /// Continues according to the state of a row whose digest matches the request.
    fn on_claim_row(&mut self, row: Row, version: u64, now: Instant) -> Vec<Action> {
        match row.state {
            State::Started if row.operation == self.request.operation => {
                self.on_claimed(version, now)
            }
            State::Started => {
                self.held_by_other = true;
                self.start_timer(OUTCOME_POLL_INTERVAL, now)
            }
            State::Open if now >= self.request.deadline => {
                self.held_by_other = false;
                self.refuse_unclaimed(now)
            }
            State::Open => {
                self.held_by_other = false;
                self.claim(version, now)
            }
            State::Done { answer } => self.replay(answer),
            State::Unknown => {
                let refusal = Refusal::may_have_run(
                    Code::UpstreamFailed,
                    "earlier call with this key failed after it was sent",
                );
                self.respond(Response::Refuse(refusal))
            }
        }
    }

    /// Dispatches the call, whose intent is confirmed, unless the deadline has passed.
    fn on_claimed(&mut self, version: u64, now: Instant) -> Vec<Action> {
        if now < self.request.deadline {
            return self.dispatch(version, now);
        }
        let refusal = Refusal::not_run(
            Code::StoreUnavailable,
            "intent was not confirmed before the deadline",
        );
        self.settle(State::Open, version, Response::Refuse(refusal), now)
    }

    /// Refuses the call at its deadline without a dispatch, as "may have run".
    ///
    /// A caller that retries interprets "not run" as a statement about the key. The state of the
    /// key is unknown here, so an earlier call with the key may have run.
    pub(crate) fn refuse_at_deadline(&mut self, now: Instant) -> Vec<Action> {
        let refusal = if self.held_by_other {
            Refusal::may_have_run(
                Code::DeadlineExceeded,
                "earlier call with this key has no outcome yet",
            )
        } else {
            unreadable_key_refusal()
        };
        self.refuse(refusal, now)
    }

    /// Refuses the call as "not run" at its deadline, after a read has shown that no call with the
    /// key has run.
    fn refuse_unclaimed(&mut self, now: Instant) -> Vec<Action> {
        let message = "intent could not be written before the deadline";
        let refusal = Refusal::not_run(Code::StoreUnavailable, message);
        self.refuse(refusal.retry_after(RETRY_AFTER), now)
    }

    fn refuse(&mut self, refusal: Refusal, now: Instant) -> Vec<Action> {
        if self.intent_may_apply {
            return self.withdraw(Response::Refuse(refusal), now);
        }
        self.respond(Response::Refuse(refusal))
    }

    fn replay(&mut self, answer: Option<StoredReply>) -> Vec<Action> {
        let Some(stored) = answer else {
            let refusal = Refusal::may_have_run(
                Code::TooLarge,
                "call has run, but its reply was too large to store",
            );
            return self.respond(Response::Refuse(refusal));
        };
        match Reply::try_from(stored) {
            Ok(reply) => self.respond(Response::Replay(reply)),
            Err(_) => self.refuse_malformed_row(),
        }
    }

    #[cold]
    fn refuse_malformed_row(&mut self) -> Vec<Action> {
        let refusal =
            Refusal::may_have_run(Code::Invariant, "row of the idempotency key is malformed");
        self.respond(Response::Refuse(refusal))
    }

    fn respond(&mut self, response: Response) -> Vec<Action> {
        self.finish();
        vec![Action::Respond(response)]
    }
}

#[cold]
fn unreadable_key_refusal() -> Refusal {
    let refusal = Refusal::may_have_run(
        Code::StoreUnavailable,
        "key could not be read: this call was not sent, an earlier one with the key may have run",
    );
    refusal.retry_after(RETRY_AFTER)
}
