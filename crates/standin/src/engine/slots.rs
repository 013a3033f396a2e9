use dogwoodlb_external::engine::Load;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often a waiting request checks for disconnection of its client.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_LOAD_HISTORY: usize = 4096;

/// The running and waiting requests of an engine.
pub(super) struct Slots {
    slots: usize,
    queue_capacity: usize,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    running: usize,
    /// The waiting requests, ordered by priority and arrival.
    waiting: BTreeSet<(i64, u64)>,
    arrivals: u64,
    requests: HashMap<String, Arc<AtomicBool>>,
    load_history: VecDeque<(Instant, Load)>,
}

/// The reason why a request got no slot.
pub(super) enum NotStarted {
    QueueFull,
    Cancelled,
}

/// An admitted request, waiting or running; dropping it frees its slot or queue position.
pub(super) struct QueuedRequest<'a> {
    slots: &'a Slots,
    request: String,
    queue_key: (i64, u64),
    cancelled: Arc<AtomicBool>,
}

impl Slots {
    pub(super) fn new(slots: usize, queue_capacity: usize) -> Self {
        Self {
            slots: slots.max(1),
            queue_capacity,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(
        &self,
        request: &str,
        priority: i64,
    ) -> Result<QueuedRequest<'_>, NotStarted> {
        let mut state = self.lock();
        let free = self.slots.saturating_sub(state.running);
        if state.waiting.len() >= self.queue_capacity + free {
            return Err(NotStarted::QueueFull);
        }
        state.arrivals += 1;
        let queue_key = (priority, state.arrivals);
        state.waiting.insert(queue_key);
        let cancelled = Arc::new(AtomicBool::new(false));
        state.requests.insert(request.to_owned(), cancelled.clone());
        self.record_load(&mut state);
        Ok(QueuedRequest {
            slots: self,
            request: request.to_owned(),
            queue_key,
            cancelled,
        })
    }

    /// Cancels a request; returns whether it was found.
    pub(super) fn cancel(&self, request: &str) -> bool {
        let state = self.lock();
        let found = state.requests.get(request);
        if let Some(cancelled) = found {
            cancelled.store(true, Ordering::SeqCst);
        }
        self.changed.notify_all();
        found.is_some()
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn load(&self, lag: Duration) -> Load {
        let state = self.lock();
        if lag.is_zero() {
            return self.current_load(&state);
        }
        let now = Instant::now();
        let mut older = state.load_history.iter().rev();
        let found = older.find(|(at, _)| now.saturating_duration_since(*at) >= lag);
        found.map_or_else(Load::default, |(_, load)| *load)
    }

    fn current_load(&self, state: &State) -> Load {
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: to_u32(state.running),
            waiting: to_u32(state.waiting.len()),
            cache_permille: to_u32(state.running * 1000 / self.slots),
        }
    }

    fn record_load(&self, state: &mut State) {
        if state.load_history.len() == MAX_LOAD_HISTORY {
            state.load_history.pop_front();
        }
        let load = self.current_load(state);
        state.load_history.push_back((Instant::now(), load));
        self.changed.notify_all();
    }
}

impl QueuedRequest<'_> {
    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Waits for a slot; fails if the request is cancelled or its client disconnects first.
    pub(super) fn wait_for_slot(
        &self,
        is_disconnected: &dyn Fn() -> bool,
    ) -> Result<(), NotStarted> {
        let mut state = self.slots.lock();
        loop {
            if self.is_cancelled() || is_disconnected() {
                return Err(NotStarted::Cancelled);
            }
            let is_first = state.waiting.first() == Some(&self.queue_key);
            if is_first && state.running < self.slots.slots {
                state.waiting.remove(&self.queue_key);
                state.running += 1;
                self.slots.record_load(&mut state);
                return Ok(());
            }
            let waited = self.slots.changed.wait_timeout(state, POLL_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        if !state.waiting.remove(&self.queue_key) {
            state.running = state.running.saturating_sub(1);
        }
        let current = state.requests.get(&self.request);
        if current.is_some_and(|current| Arc::ptr_eq(current, &self.cancelled)) {
            state.requests.remove(&self.request);
        }
        self.slots.record_load(&mut state);
    }
}
