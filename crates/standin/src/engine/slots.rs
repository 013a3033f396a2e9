use dogwoodlb_external::engine::Load;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often a waiting request looks whether its client is gone.
pub(super) const POLL: Duration = Duration::from_millis(20);
const MAX_HISTORY: usize = 4096;

/// The requests that run and wait in an engine.
pub(super) struct Slots {
    slots: usize,
    queue: usize,
    inner: Mutex<Inner>,
    freed: Condvar,
}

#[derive(Default)]
struct Inner {
    running: usize,
    /// The waiting requests by priority and arrival.
    waiting: BTreeSet<(i64, u64)>,
    arrived: u64,
    requests: HashMap<String, Arc<AtomicBool>>,
    history: VecDeque<(Instant, Load)>,
}

/// Why a request got no slot.
pub(super) enum Denied {
    Full,
    Stopped,
}

/// One request, from its arrival until it is dropped.
pub(super) struct Ticket<'a> {
    slots: &'a Slots,
    request: String,
    place: (i64, u64),
    cancelled: Arc<AtomicBool>,
}

impl Slots {
    pub(super) fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots: slots.max(1),
            queue,
            inner: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place in the queue.
    pub(super) fn enter(&self, request: &str, priority: i64) -> Result<Ticket<'_>, Denied> {
        let mut inner = self.lock();
        let free = self.slots.saturating_sub(inner.running);
        if inner.waiting.len() >= self.queue + free {
            return Err(Denied::Full);
        }
        inner.arrived += 1;
        let place = (priority, inner.arrived);
        inner.waiting.insert(place);
        let cancelled = Arc::new(AtomicBool::new(false));
        inner.requests.insert(request.to_owned(), cancelled.clone());
        self.record(&mut inner);
        Ok(Ticket {
            slots: self,
            request: request.to_owned(),
            place,
            cancelled,
        })
    }

    /// Stops a request; returns whether there is one.
    pub(super) fn cancel(&self, request: &str) -> bool {
        let inner = self.lock();
        let found = inner.requests.get(request);
        if let Some(cancelled) = found {
            cancelled.store(true, Ordering::SeqCst);
        }
        self.freed.notify_all();
        found.is_some()
    }

    /// Returns the load as it was some time ago.
    pub(super) fn load(&self, lag: Duration) -> Load {
        let inner = self.lock();
        if lag.is_zero() {
            return self.measure(&inner);
        }
        let now = Instant::now();
        let mut older = inner.history.iter().rev();
        let found = older.find(|(at, _)| now.saturating_duration_since(*at) >= lag);
        found.map_or_else(Load::default, |(_, load)| *load)
    }

    fn measure(&self, inner: &Inner) -> Load {
        let narrow = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: narrow(inner.running),
            waiting: narrow(inner.waiting.len()),
            cache_permille: narrow(inner.running * 1000 / self.slots),
        }
    }

    fn record(&self, inner: &mut Inner) {
        if inner.history.len() == MAX_HISTORY {
            inner.history.pop_front();
        }
        let load = self.measure(inner);
        inner.history.push_back((Instant::now(), load));
        self.freed.notify_all();
    }
}

impl Ticket<'_> {
    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Waits for a slot; the request leaves the queue if `gone` comes first.
    pub(super) fn start(&self, gone: &dyn Fn() -> bool) -> Result<(), Denied> {
        let mut inner = self.slots.lock();
        loop {
            if self.is_cancelled() || gone() {
                return Err(Denied::Stopped);
            }
            let first = inner.waiting.first() == Some(&self.place);
            if first && inner.running < self.slots.slots {
                inner.waiting.remove(&self.place);
                inner.running += 1;
                self.slots.record(&mut inner);
                return Ok(());
            }
            let waited = self.slots.freed.wait_timeout(inner, POLL);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        if !inner.waiting.remove(&self.place) {
            inner.running = inner.running.saturating_sub(1);
        }
        let own = inner.requests.get(&self.request);
        if own.is_some_and(|own| Arc::ptr_eq(own, &self.cancelled)) {
            inner.requests.remove(&self.request);
        }
        self.slots.record(&mut inner);
    }
}
