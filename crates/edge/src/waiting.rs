//! The requests that wait for a replica of a plain service, where the configuration has
//! organisations: one queue for each service, in the order of the organisations' shares.

use crate::clock;
use crate::metrics::Metrics;
use crate::routing::{Selection, ServiceRouters};
use crate::task;
use dogwoodlb_config::{Organisation, Route};
use dogwoodlb_fair::{Arrival, End, Offer, Queue, Refusal, Settings, Started, Ticket};
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep;

mod metrics;

pub(crate) use metrics::QueueMetrics;

/// The interval at which a queue looks for free replicas without being told of one: replicas
/// register, and slots that other nodes used become free.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// The retry-after time while all replicas of a service are leaving.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request for a replica.
pub(crate) struct ReplicaRequest<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) service: &'a str,
    pub(crate) route: &'a Route,
    pub(crate) organisation: Option<&'a Organisation>,
    /// When the response is due.
    pub(crate) deadline: Instant,
    /// The replicas that the request was sent to.
    pub(crate) tried: &'a [id::Upstream],
}

impl ReplicaRequest<'_> {
    fn arrival(&self) -> Arrival<'_> {
        let organisation = self.organisation;
        let priority = organisation.and_then(|organisation| organisation.priority);
        Arrival {
            organisation: organisation.map(|organisation| organisation.name.as_str()),
            route: &self.route.name,
            priority: priority.unwrap_or(self.route.priority),
            deadline: self.deadline,
            is_resumed: !self.tried.is_empty(),
        }
    }
}

/// A request got no replica, and its caller may return after this time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) retry_after: Duration,
}

/// The queues of all plain services.
pub(crate) struct ServiceQueues {
    routers: Rc<ServiceRouters>,
    metrics: Rc<Metrics>,
    by_service: RefCell<HashMap<String, Rc<ServiceQueue>>>,
}

impl ServiceQueues {
    pub(crate) fn new(routers: Rc<ServiceRouters>, metrics: Rc<Metrics>) -> Self {
        Self {
            routers,
            metrics,
            by_service: RefCell::default(),
        }
    }

    /// Selects a replica, after the requests that come first. If it is dropped, the request leaves
    /// the queue.
    pub(crate) async fn select(&self, request: &ReplicaRequest<'_>) -> Result<Selection, Refused> {
        let queue = self.queue(request.service);
        if queue.routers.has_only_leaving(request.service) {
            return Err(queue.refuse(request, None));
        }
        if let Some(selection) = queue.start_at_once(request) {
            return Ok(selection);
        }
        let queued = queue
            .queue
            .borrow_mut()
            .push(&request.arrival(), clock::now());
        let queued = queued.map_err(|refusal| queue.refuse(request, Some(refusal)))?;
        tracing::debug!(
            request = request.request_id,
            organisation = request.organisation.map(|one| one.name.as_str()),
            service = request.service,
            position = queued.position,
            expected_wait_ms = queued.expected_wait.as_millis(),
            "request_queued"
        );
        let (turn, granted) = oneshot::channel();
        let tried = request.tried.to_vec();
        queue
            .waiters
            .borrow_mut()
            .insert(queued.ticket, Waiter { tried, turn });
        let _place = PlaceGuard {
            queue: &queue,
            ticket: queued.ticket,
        };
        queue.start_dispatch();
        match granted.await {
            Ok(Ok(selection)) => Ok(selection),
            Ok(Err(refusal)) => Err(queue.refuse(request, refusal)),
            // The dispatching task panicked.
            Err(_) => Err(queue.refuse(request, None)),
        }
    }

    fn queue(&self, service: &str) -> Rc<ServiceQueue> {
        let mut queues = self.by_service.borrow_mut();
        if let Some(queue) = queues.get(service) {
            return queue.clone();
        }
        // The configuration may have dropped services since.
        queues.retain(|_, queue| Rc::strong_count(queue) > 1);
        let queue = Rc::new(ServiceQueue {
            service: service.to_owned(),
            queue: RefCell::new(Queue::new(Settings::default())),
            waiters: RefCell::default(),
            is_dispatching: Cell::new(false),
            slot_freed: Notify::new(),
            routers: self.routers.clone(),
            metrics: self.metrics.clone(),
        });
        queues.insert(service.to_owned(), queue.clone());
        queue
    }
}

/// A request that waits, with the replicas that it was sent to before.
struct Waiter {
    tried: Vec<id::Upstream>,
    turn: oneshot::Sender<Result<Selection, Option<Refusal>>>,
}

/// The queue of one service.
struct ServiceQueue {
    service: String,
    queue: RefCell<Queue>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    is_dispatching: Cell<bool>,
    slot_freed: Notify,
    routers: Rc<ServiceRouters>,
    metrics: Rc<Metrics>,
}

impl ServiceQueue {
    fn start_at_once(self: &Rc<Self>, request: &ReplicaRequest<'_>) -> Option<Selection> {
        let now = clock::now();
        if !self.queue.borrow().may_start_at_once(now) {
            return None;
        }
        let selection = self.select_replica(request.tried)?;
        let started = self
            .queue
            .borrow_mut()
            .start_at_once(&request.arrival(), now);
        Some(self.occupy(selection, started))
    }

    /// Selects a replica that a request was not sent to, or else one that may have refused it.
    fn select_replica(&self, tried: &[id::Upstream]) -> Option<Selection> {
        let untried = self.routers.select(&self.service, tried);
        untried.or_else(|| match tried {
            [] => None,
            _ => self.routers.select(&self.service, &[]),
        })
    }

    fn occupy(self: &Rc<Self>, selection: Selection, started: Started) -> Selection {
        self.metrics.queues.observe_start(&started);
        selection.occupy(Slot {
            queue: self.clone(),
            started: Some(started),
            since: clock::now(),
        });
        selection
    }

    /// Starts the task that gives replicas to the waiting requests, unless it runs.
    fn start_dispatch(self: &Rc<Self>) {
        if self.is_dispatching.replace(true) {
            return;
        }
        let guard = DispatchGuard(self.clone());
        task::spawn_isolated("request_queue", async move {
            let queue = &guard.0;
            loop {
                queue.dispatch();
                let length = queue.queue.borrow().len();
                queue.metrics.queues.set_length(&queue.service, length);
                if length == 0 {
                    break;
                }
                tokio::select! {
                    () = queue.slot_freed.notified() => {}
                    () = sleep(POLL_INTERVAL) => {}
                }
            }
        });
    }

    /// Gives the free replicas to the requests whose turn it is, and refuses those that can't be
    /// answered in time.
    fn dispatch(self: &Rc<Self>) {
        let now = clock::now();
        let late = self.queue.borrow_mut().expire(now);
        for (ticket, refusal) in late {
            self.end_wait(ticket, Err(Some(refusal)));
        }
        if self.routers.has_only_leaving(&self.service) {
            let tickets: Vec<Ticket> = self.waiters.borrow().keys().copied().collect();
            for ticket in tickets {
                self.queue.borrow_mut().cancel(ticket);
                self.end_wait(ticket, Err(None));
            }
        }
        loop {
            let mut selected = None;
            let started = self.queue.borrow_mut().pop(now, |ticket| {
                let waiters = self.waiters.borrow();
                let Some(waiter) = waiters.get(&ticket) else {
                    return Offer::Unsuitable;
                };
                selected = self.select_replica(&waiter.tried);
                match selected {
                    Some(_) => Offer::Taken,
                    None => Offer::NoneFree,
                }
            });
            let (Some(started), Some(selection)) = (started, selected) else {
                return;
            };
            let ticket = started.ticket();
            let selection = self.occupy(selection, started);
            if let Some(ticket) = ticket {
                self.end_wait(ticket, Ok(selection));
            }
        }
    }

    fn end_wait(&self, ticket: Ticket, turn: Result<Selection, Option<Refusal>>) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            // Fails only if the caller has left; the selection then ends as cancelled.
            let _ = waiter.turn.send(turn);
        }
    }

    /// Logs and counts a refusal. Without one, the service can't take requests at present.
    fn refuse(&self, request: &ReplicaRequest<'_>, refusal: Option<Refusal>) -> Refused {
        let now = clock::now();
        let retry_after = match refusal {
            Some(_) => {
                let mut queue = self.queue.borrow_mut();
                queue.retry_after(&request.arrival(), now, rand::random())
            }
            None => LEAVING_RETRY_AFTER,
        };
        let reason = refusal.map_or("leaving", |refusal| refusal.reason.as_str());
        self.metrics.queues.count_refusal(reason, refusal);
        tracing::info!(
            request = request.request_id,
            organisation = request.organisation.map(|one| one.name.as_str()),
            route = request.route.name,
            service = self.service,
            position = refusal.map(|refusal| refusal.position),
            expected_wait_ms = refusal.map(|refusal| refusal.expected_wait.as_millis()),
            left_ms = request.deadline.saturating_since(now).as_millis(),
            retry_after_ms = retry_after.as_millis(),
            reason,
            "request_refused"
        );
        Refused { retry_after }
    }
}

/// Removes a request from the queue when its caller leaves. After its turn, there is nothing to
/// remove.
struct PlaceGuard<'a> {
    queue: &'a ServiceQueue,
    ticket: Ticket,
}

impl Drop for PlaceGuard<'_> {
    fn drop(&mut self) {
        self.queue.waiters.borrow_mut().remove(&self.ticket);
        self.queue.queue.borrow_mut().cancel(self.ticket);
    }
}

/// Refuses the waiting requests if the task that serves them panics.
struct DispatchGuard(Rc<ServiceQueue>);

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.0.is_dispatching.set(false);
        self.0.waiters.borrow_mut().clear();
    }
}

/// The slot of a replica that a request uses, which is charged to the share of its organisation.
pub(crate) struct Slot {
    queue: Rc<ServiceQueue>,
    started: Option<Started>,
    since: Instant,
}

impl Slot {
    /// Records that the replica refused the request.
    pub(crate) fn refuse(mut self) {
        self.end(End::Refused);
    }

    /// Records the end of the request.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.end(match outcome {
            Outcome::Success => End::Complete,
            Outcome::Cancelled | Outcome::Failure => End::Broken,
        });
    }

    fn end(&mut self, end: End) {
        let Some(started) = self.started.take() else {
            return;
        };
        let now = clock::now();
        let took = now.saturating_since(self.since);
        self.queue.metrics.queues.count_service(&started, took);
        self.queue
            .queue
            .borrow_mut()
            .on_end(started, took, end, now);
        self.queue.slot_freed.notify_one();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end(End::Broken);
    }
}
