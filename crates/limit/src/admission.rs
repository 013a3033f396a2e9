use crate::error::Inner;
use crate::service_time::ServiceTime;
use crate::wait_queue::WaitQueue;
use crate::{Error, Result};
use dogwoodlb_types::{Class, Code, Instant, Refusal};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Share of the slots reserved for higher classes, by class, in thousandths. Without it, long
/// samples would occupy every slot and customers would have to wait for one to finish.
const RESERVED_PERMILLE: [u32; 3] = [0, 100, 200];
/// Minimum retry delay returned with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A handle to an admitted request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// The result of admitting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request starts now; report its end with [`AdmissionController::on_end`].
    Start(Ticket),
    /// The request is queued until [`AdmissionController::poll`] starts or refuses it.
    Wait(Ticket),
}

/// A decision on a queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start the request; report its end with [`AdmissionController::on_end`].
    Start(Ticket),
    /// Refuse the request; it was not executed.
    Refuse(Ticket, Refusal),
}

/// An admission controller with per-class queues and deadlines.
///
/// Call [`poll`](Self::poll) after each event and at the time given by
/// [`next_poll`](Self::next_poll). See docs/design.md, section 4.13.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// The number of slots, each of which runs one request.
    capacity: u32,
    /// The maximum number of queued requests per class.
    queue_limit: usize,
    queue: WaitQueue,
    /// The class and the start time of the running requests.
    running: HashMap<Ticket, (Class, Instant)>,
    running_by_class: [u32; 3],
    service_times: [ServiceTime; 3],
    last_ticket: u64,
}

impl AdmissionController {
    /// Creates a controller that runs up to `capacity` requests concurrently, at least one, and
    /// queues up to `queue_limit` requests per class.
    pub fn new(capacity: u32, queue_limit: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            queue_limit,
            queue: WaitQueue::default(),
            running: HashMap::new(),
            running_by_class: [0; 3],
            service_times: Default::default(),
            last_ticket: 0,
        }
    }

    /// Sets the number of concurrent requests, at least one; running requests are not affected.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Starts, queues or refuses a request that must complete by `deadline`.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] if the request cannot start in time or the queue is full. The request
    /// was not executed.
    pub fn admit(
        &mut self,
        class: Class,
        deadline: Instant,
        now: Instant,
    ) -> std::result::Result<Admission, Refusal> {
        if now >= deadline {
            return Err(refusal("the deadline has already passed", MIN_RETRY_AFTER));
        }
        // A request must not overtake queued requests of the same or a higher class.
        let none_ahead = Class::ALL[..=class.rank()]
            .iter()
            .all(|&c| self.queue.len(c) == 0);
        if none_ahead && self.has_free_slot(class) {
            let ticket = self.issue_ticket();
            self.start(ticket, class, now);
            return Ok(Admission::Start(ticket));
        }
        let wait = self.expected_wait(class);
        if self.queue.len(class) >= self.queue_limit {
            return Err(refusal("the queue is full", wait));
        }
        // A request that starts too late to complete in time would waste a slot.
        let start_by = deadline - self.service_times[class.rank()].upper_estimate();
        if now + wait > start_by {
            return Err(refusal(
                "the request cannot start before its deadline",
                wait,
            ));
        }
        let ticket = self.issue_ticket();
        self.queue.push(ticket, class, start_by);
        Ok(Admission::Wait(ticket))
    }

    /// Records the end of a running request and frees its slot.
    ///
    /// # Errors
    ///
    /// [`Category::NotRunning`](crate::Category::NotRunning) if the request is not running; the
    /// state is unchanged.
    pub fn on_end(&mut self, ticket: Ticket, now: Instant) -> Result<()> {
        let running = self.running.remove(&ticket);
        let (class, started) = running.ok_or_else(|| Error::from(Inner::NotRunning(ticket)))?;
        self.running_by_class[class.rank()] = self.running_by_class[class.rank()].saturating_sub(1);
        self.service_times[class.rank()].record(now.saturating_since(started));
        Ok(())
    }

    /// Removes a queued request, for example because its caller has disconnected.
    ///
    /// # Errors
    ///
    /// [`Category::NotWaiting`](crate::Category::NotWaiting) if the request is not queued; the
    /// state is unchanged.
    pub fn cancel(&mut self, ticket: Ticket) -> Result<()> {
        if self.queue.remove(ticket) {
            Ok(())
        } else {
            Err(Error::from(Inner::NotWaiting(ticket)))
        }
    }

    /// Refuses queued requests of all classes that can no longer start in time, then starts queued
    /// requests while slots are free, customers first.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.pop_expired(now) {
            let refusal = refusal(
                "the request was queued too long to meet its deadline",
                MIN_RETRY_AFTER,
            );
            actions.push(Action::Refuse(ticket, refusal));
        }
        for class in Class::ALL {
            while self.has_free_slot(class) {
                let Some(ticket) = self.queue.pop(class) else {
                    break;
                };
                self.start(ticket, class, now);
                actions.push(Action::Start(ticket));
            }
        }
        actions
    }

    /// Returns when to call [`poll`](Self::poll) next, if no event occurs earlier.
    pub fn next_poll(&self) -> Option<Instant> {
        let expiry = self.queue.next_expiry();
        expiry.map(|start_by| start_by + Duration::from_millis(1))
    }

    /// Returns the number of running requests of a class.
    pub fn running(&self, class: Class) -> u32 {
        self.running_by_class[class.rank()]
    }

    /// Returns the number of queued requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.queue.len(class)
    }

    fn issue_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn start(&mut self, ticket: Ticket, class: Class, now: Instant) {
        self.running.insert(ticket, (class, now));
        self.running_by_class[class.rank()] += 1;
    }

    fn has_free_slot(&self, class: Class) -> bool {
        self.running_by_class.iter().sum::<u32>() < self.usable_slots(class)
    }

    /// Returns the slots that a class may use. At least one is available to every class; otherwise
    /// a controller with a capacity of 1 would never run a sample.
    fn usable_slots(&self, class: Class) -> u32 {
        let reserve = u64::from(self.capacity) * u64::from(RESERVED_PERMILLE[class.rank()]);
        let reserve = u32::try_from(reserve.div_ceil(1_000)).unwrap_or(u32::MAX);
        self.capacity - reserve.min(self.capacity - 1)
    }

    /// Estimates the queueing delay for a request of a class: the work ahead of it divided by the
    /// available slots. Running requests of all classes are assumed to be half done on average; of
    /// the queued ones, only those of the same or a higher class are ahead.
    fn expected_wait(&self, class: Class) -> Duration {
        let mut work = Duration::ZERO;
        for other in Class::ALL {
            let mean = self.service_times[other.rank()].mean();
            work =
                work.saturating_add(mean.saturating_mul(self.running_by_class[other.rank()]) / 2);
            if other <= class {
                let waiting = u32::try_from(self.queue.len(other)).unwrap_or(u32::MAX);
                work = work.saturating_add(mean.saturating_mul(waiting));
            }
        }
        work / self.usable_slots(class)
    }
}

#[cold]
fn refusal(message: &str, wait: Duration) -> Refusal {
    Refusal::not_run(Code::Overloaded, message).retry_after(wait.max(MIN_RETRY_AFTER))
}
