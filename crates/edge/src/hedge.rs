//! Runs the concurrent copies of idempotent calls.

use crate::clock;
use crate::metrics::Metrics;
use crate::routing::Selection;
use dogwoodlb_config::Route;
use dogwoodlb_limit::{CopyKey, HedgedCall, Hedging};
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// The interval at which a waiting call checks whether its replicas are still registered. Waking all
/// calls at each change of the directory would cost a node with many of them more.
const REGISTRATION_CHECK: Duration = Duration::from_millis(200);

/// Starts hedged calls.
pub(crate) struct Hedger {
    hedging: RefCell<Hedging>,
    metrics: Rc<Metrics>,
}

/// What happened to a call.
pub(crate) enum Step<T> {
    /// A copy on the given replica ended. If its result is usable, all others were cancelled.
    Ended(id::Upstream, T),
    /// A hedge is due; see [`Copies::send_hedge`] and [`Copies::postpone_hedge`].
    HedgeDue,
    /// A copy was cancelled because its replica was removed from the directory.
    Removed,
    /// The given time has come.
    Woken,
}

struct RunningCopy<'a, T> {
    key: CopyKey,
    is_hedge: bool,
    sent_at: Instant,
    selection: Rc<Selection>,
    exchange: Pin<Box<dyn Future<Output = T> + 'a>>,
}

/// The copies of one call. Dropping it cancels them.
pub(crate) struct Copies<'a, T> {
    hedger: &'a Hedger,
    request_id: &'a str,
    /// Returns whether a result ends the call.
    is_usable: fn(&T) -> bool,
    /// `None` until the first copy is sent.
    call: Option<HedgedCall>,
    running: Vec<RunningCopy<'a, T>>,
}

impl Hedger {
    pub(crate) fn new(metrics: &Rc<Metrics>) -> Self {
        Self {
            hedging: RefCell::default(),
            metrics: metrics.clone(),
        }
    }

    /// Returns a call without copies.
    pub(crate) fn begin<'a, T>(
        &'a self,
        request_id: &'a str,
        is_usable: fn(&T) -> bool,
    ) -> Copies<'a, T> {
        Copies {
            hedger: self,
            request_id,
            is_usable,
            call: None,
            running: Vec::new(),
        }
    }
}

impl<'a, T> Copies<'a, T> {
    /// Returns whether no copy is running.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the replicas on which copies are running.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &id::Upstream> {
        self.running.iter().map(|copy| &copy.selection.replica)
    }

    /// Sends the first copy, or one in place of a copy that has ended. The replica is told that it has
    /// time until `due_at`.
    pub(crate) fn send(
        &mut self,
        route: &Route,
        selection: &Rc<Selection>,
        due_at: Instant,
        exchange: impl Future<Output = T> + 'a,
    ) {
        self.start(route, selection, due_at, false, exchange);
    }

    /// Sends a hedge if the budget of the route permits it, and returns whether it does.
    pub(crate) fn send_hedge(
        &mut self,
        route: &Route,
        selection: &Rc<Selection>,
        due_at: Instant,
        exchange: impl Future<Output = T> + 'a,
    ) -> bool {
        let (Some(call), Some(oldest)) = (&mut self.call, self.running.first()) else {
            return false;
        };
        let now = clock::now();
        let mut hedging = self.hedger.hedging.borrow_mut();
        let is_permitted = call.try_hedge(&mut hedging, now);
        drop(hedging);
        let outcome = match is_permitted {
            true => "hedge_sent",
            false => "hedge_denied",
        };
        self.hedger.metrics.count_copy(outcome);
        tracing::info!(
            request = self.request_id,
            route = route.name,
            replica = %selection.replica,
            running = self.running.len(),
            waited_ms = now.saturating_since(oldest.sent_at).as_millis(),
            delay_ms = call.delay().as_millis(),
            outcome,
            "hedge_due"
        );
        if is_permitted {
            self.make_room(now);
            self.start(route, selection, due_at, true, exchange);
        }
        is_permitted
    }

    /// Records that no replica is free for a hedge that is due.
    pub(crate) fn postpone_hedge(&mut self) {
        if let Some(call) = &mut self.call {
            call.postpone(clock::now());
        }
    }

    /// Cancels the oldest copy if too many are running for a hedge.
    fn make_room(&mut self, now: Instant) {
        let Some(call) = &mut self.call else {
            return;
        };
        let oldest = call.make_room(&mut self.hedger.hedging.borrow_mut(), now);
        let mut copies = self.running.iter();
        let index = oldest.and_then(|key| copies.position(|copy| copy.key == key));
        if let Some(index) = index {
            self.cancel(index, "overdue", now);
        }
    }

    fn start(
        &mut self,
        route: &Route,
        selection: &Rc<Selection>,
        due_at: Instant,
        is_hedge: bool,
        exchange: impl Future<Output = T> + 'a,
    ) {
        let now = clock::now();
        let call = self.call.get_or_insert_with(|| {
            let mut hedging = self.hedger.hedging.borrow_mut();
            hedging.begin(&route.name, route.latency_target, now)
        });
        self.running.push(RunningCopy {
            key: call.on_sent(due_at, now),
            is_hedge,
            sent_at: now,
            selection: selection.clone(),
            exchange: Box::pin(exchange),
        });
    }

    /// Waits until something happens to the call, or until `wake`.
    pub(crate) async fn next(&mut self, wake: Instant, may_hedge: bool) -> Step<T> {
        loop {
            let now = clock::now();
            let hedge_at = self.call.as_ref().and_then(HedgedCall::hedge_at);
            let hedge_at = hedge_at.filter(|_| may_hedge);
            let due = hedge_at.map_or(wake, |at| at.min(wake));
            let until = due.min(now + REGISTRATION_CHECK);
            let ended = poll_fn(|context| self.poll_ended(context));
            // The copies are polled first, so that a response which has arrived is not cancelled.
            if let Ok((copy, result)) = timeout(until.saturating_since(now), ended).await {
                return self.on_ended(copy, result);
            }
            let now = clock::now();
            if now >= wake {
                return Step::Woken;
            }
            if self.cancel_unregistered(now) {
                return Step::Removed;
            }
            if hedge_at.is_some_and(|at| at <= now) {
                return Step::HedgeDue;
            }
        }
    }

    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<(RunningCopy<'a, T>, T)> {
        for index in 0..self.running.len() {
            let exchange = self.running[index].exchange.as_mut();
            if let Poll::Ready(result) = exchange.poll(context) {
                return Poll::Ready((self.running.remove(index), result));
            }
        }
        Poll::Pending
    }

    fn on_ended(&mut self, copy: RunningCopy<'a, T>, result: T) -> Step<T> {
        let now = clock::now();
        if let Some(call) = &mut self.call {
            if (self.is_usable)(&result) {
                let mut hedging = self.hedger.hedging.borrow_mut();
                let failed = call.on_response(copy.key, &mut hedging, now);
                drop(hedging);
                if copy.is_hedge {
                    self.hedger.metrics.count_copy("hedge_won");
                }
                self.cancel_all(&failed, Some(now.saturating_since(copy.sent_at)));
            } else {
                call.on_ended(copy.key);
            }
        }
        Step::Ended(copy.selection.replica.clone(), result)
    }

    /// Cancels all copies because the time of the call is up.
    pub(crate) fn expire(&mut self) {
        let Some(call) = &mut self.call else {
            return;
        };
        let mut hedging = self.hedger.hedging.borrow_mut();
        let failed = call.on_expired(&mut hedging, clock::now());
        drop(hedging);
        self.cancel_all(&failed, None);
    }

    /// Cancels all copies, and records those that failed. `took` is the time in which another copy
    /// had a response.
    fn cancel_all(&mut self, failed: &[CopyKey], took: Option<Duration>) {
        for copy in self.running.drain(..) {
            if !failed.contains(&copy.key) {
                continue;
            }
            copy.selection.finish(Outcome::Failure);
            self.hedger.metrics.count_copy("failed");
            tracing::info!(
                request = self.request_id,
                replica = %copy.selection.replica,
                age_ms = clock::now().saturating_since(copy.sent_at).as_millis(),
                other_ms = took.map(|took| took.as_millis()),
                outcome = "failed",
                "copy_cancelled"
            );
        }
    }

    /// Cancels a copy whose replica was removed from the directory. Returns whether there is one.
    fn cancel_unregistered(&mut self, now: Instant) -> bool {
        let mut copies = self.running.iter();
        let Some(index) = copies.position(|copy| !copy.selection.is_registered()) else {
            return false;
        };
        self.cancel(index, "removed", now);
        true
    }

    fn cancel(&mut self, index: usize, outcome: &str, now: Instant) {
        let copy = self.running.remove(index);
        if let Some(call) = &mut self.call {
            call.on_ended(copy.key);
        }
        tracing::info!(
            request = self.request_id,
            replica = %copy.selection.replica,
            age_ms = now.saturating_since(copy.sent_at).as_millis(),
            outcome,
            "copy_cancelled"
        );
    }
}

impl<T> Drop for Copies<'_, T> {
    fn drop(&mut self) {
        if let Some(call) = &mut self.call {
            call.on_cancelled(&mut self.hedger.hedging.borrow_mut(), clock::now());
        }
    }
}
