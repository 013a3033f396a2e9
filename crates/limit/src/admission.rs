use crate::error::Inner;
use crate::queue::Queue;
use crate::service_time::ServiceTime;
use crate::{Error, Result};
use dogwoodlb_types::{Class, Code, Instant, Refusal};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// The share of the slots that a class leaves free for higher ones, in thousandths. Without it
/// long samples would hold every slot, and each customer would wait for one to end.
const RESERVE: [u32; 3] = [0, 100, 200];
/// The shortest time after which a refused request may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identifies one admitted request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It starts now; end it with [`AdmissionController::on_end`].
    Start(Ticket),
    /// It waits until [`AdmissionController::poll`] starts or refuses it.
    Wait(Ticket),
}

/// What happens to a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start it; end it with [`AdmissionController::on_end`].
    Start(Ticket),
    /// Refuse it; nothing was executed.
    Refuse(Ticket, Refusal),
}

/// Admits requests by class and deadline.
///
/// Call [`poll`](Self::poll) after each event and at [`next_poll`](Self::next_poll). See
/// docs/design.md, section 4.13.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    capacity: u32,
    queue_limit: usize,
    queue: Queue,
    running: HashMap<Ticket, (Class, Instant)>,
    busy: [u32; 3],
    times: [ServiceTime; 3],
    next: u64,
}

impl AdmissionController {
    /// Creates a gate that runs `capacity` requests at once, at least one, and holds
    /// `queue_limit` waiting requests of each class.
    pub fn new(capacity: u32, queue_limit: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            queue_limit,
            queue: Queue::default(),
            running: HashMap::new(),
            busy: [0; 3],
            times: Default::default(),
            next: 0,
        }
    }

    /// Sets how many requests run at once, at least one; those that run already go on.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Admits a request whose answer is wanted by `deadline`.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] if the request can't start in time or the queue is full; nothing
    /// was executed.
    pub fn admit(
        &mut self,
        class: Class,
        deadline: Instant,
        now: Instant,
    ) -> std::result::Result<Admission, Refusal> {
        if now >= deadline {
            return Err(refusal("the deadline has passed", RETRY_AFTER));
        }
        let first = Class::ALL[..=class.rank()]
            .iter()
            .all(|&c| self.queue.len(c) == 0);
        if first && self.has_room(class) {
            let ticket = self.issue();
            self.start(ticket, class, now);
            return Ok(Admission::Start(ticket));
        }
        let wait = self.expected_wait(class);
        if self.queue.len(class) >= self.queue_limit {
            return Err(refusal("the queue is full", wait));
        }
        // A request that starts too late to end in time would take a slot for nothing.
        let latest = deadline - self.times[class.rank()].likely();
        if now + wait > latest {
            return Err(refusal("the request can't start in time", wait));
        }
        let ticket = self.issue();
        self.queue.push(ticket, class, latest);
        Ok(Admission::Wait(ticket))
    }

    /// Ends a request that was started, and frees its slot.
    ///
    /// # Errors
    ///
    /// [`Category::NotRunning`](crate::Category::NotRunning) if the request doesn't run;
    /// nothing changes.
    pub fn on_end(&mut self, ticket: Ticket, now: Instant) -> Result<()> {
        let running = self.running.remove(&ticket);
        let (class, started) = running.ok_or_else(|| Error::from(Inner::NotRunning(ticket)))?;
        self.busy[class.rank()] = self.busy[class.rank()].saturating_sub(1);
        self.times[class.rank()].add(now.saturating_since(started));
        Ok(())
    }

    /// Removes a waiting request whose caller has disconnected.
    ///
    /// # Errors
    ///
    /// [`Category::NotWaiting`](crate::Category::NotWaiting) if the request doesn't wait;
    /// nothing changes.
    pub fn cancel(&mut self, ticket: Ticket) -> Result<()> {
        if self.queue.remove(ticket) {
            Ok(())
        } else {
            Err(Error::from(Inner::NotWaiting(ticket)))
        }
    }

    /// Refuses the requests that can no longer start in time, of all classes, then starts
    /// those that find a slot, customers first.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.pop_expired(now) {
            let refusal = refusal("the request could not start in time", RETRY_AFTER);
            actions.push(Action::Refuse(ticket, refusal));
        }
        for class in Class::ALL {
            while self.has_room(class) {
                let Some(ticket) = self.queue.pop(class) else {
                    break;
                };
                self.start(ticket, class, now);
                actions.push(Action::Start(ticket));
            }
        }
        actions
    }

    /// Returns when to call [`poll`](Self::poll) next if no event comes first.
    pub fn next_poll(&self) -> Option<Instant> {
        let expiry = self.queue.first_expiry();
        expiry.map(|latest| latest + Duration::from_millis(1))
    }

    /// Returns the number of requests of a class that run.
    pub fn running(&self, class: Class) -> u32 {
        self.busy[class.rank()]
    }

    /// Returns the number of requests of a class that wait.
    pub fn waiting(&self, class: Class) -> usize {
        self.queue.len(class)
    }

    fn issue(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    fn start(&mut self, ticket: Ticket, class: Class, now: Instant) {
        self.running.insert(ticket, (class, now));
        self.busy[class.rank()] += 1;
    }

    fn has_room(&self, class: Class) -> bool {
        self.busy.iter().sum::<u32>() < self.open_slots(class)
    }

    /// Returns the slots that a class may use; one is open to every class, because a gate of
    /// capacity 1 would otherwise never run a sample.
    fn open_slots(&self, class: Class) -> u32 {
        let reserve = u64::from(self.capacity) * u64::from(RESERVE[class.rank()]);
        let reserve = u32::try_from(reserve.div_ceil(1_000)).unwrap_or(u32::MAX);
        self.capacity - reserve.min(self.capacity - 1)
    }

    /// Returns how long a request of a class would wait: the work before it, shared among the
    /// slots. A running request is half done on average.
    fn expected_wait(&self, class: Class) -> Duration {
        let mut work = Duration::ZERO;
        for other in Class::ALL {
            let mean = self.times[other.rank()].mean();
            work = work.saturating_add(mean.saturating_mul(self.busy[other.rank()]) / 2);
            if other <= class {
                let waiting = u32::try_from(self.queue.len(other)).unwrap_or(u32::MAX);
                work = work.saturating_add(mean.saturating_mul(waiting));
            }
        }
        work / self.open_slots(class)
    }
}

#[cold]
fn refusal(message: &str, wait: Duration) -> Refusal {
    Refusal::not_run(Code::Overloaded, message).retry_after(wait.max(RETRY_AFTER))
}
