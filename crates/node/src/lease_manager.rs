use crate::lock;
use crate::shared::Shared;
use dogwoodlb_lease::{rank, Action, Guard, Lease, LeaseName};
use dogwoodlb_types::{id, Error, Instant};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between polls of the lease core.
const TICK: Duration = Duration::from_millis(50);

/// Interval between updates of this node's rank among the candidates. A candidate waits 500 ms
/// longer per rank before it takes a free lease, and a lease lasts 6 s.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of table calls; a slower call counts as failed for the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Manages one lease: renews it while it is held, and acquires it when it is free.
pub(crate) struct LeaseManager {
    name: LeaseName,
    label: id::Lease,
    lease: Mutex<Lease>,
    /// Whether the manifest no longer requires the lease. A name that is listed again later gets
    /// another manager.
    retired: AtomicBool,
    /// Whether a call that needs the lease is in progress; a shutdown then keeps the lease.
    busy: AtomicBool,
}

impl LeaseManager {
    /// Creates the manager of a lease.
    pub(crate) fn new(shared: &Shared, name: LeaseName) -> Result<Self, Error> {
        // Timeline events show a lease as `trainer.weld`, truncated to the maximum name length.
        let label: String = name
            .to_string()
            .replace('/', ".")
            .chars()
            .take(64)
            .collect();
        let label = label.parse()?;
        let vm = shared.settings.vm.clone();
        // The lowest rank, until `run` sets the actual one.
        let lease = Lease::new(name.clone(), vm, shared.incarnation, usize::MAX);
        Ok(Self {
            name,
            label,
            lease: Mutex::new(lease),
            retired: AtomicBool::new(false),
            busy: AtomicBool::new(false),
        })
    }

    /// Returns the lease name as shown in timeline events.
    pub(crate) fn label(&self) -> &id::Lease {
        &self.label
    }

    /// Returns the guard (fence and expiry) if this node holds the lease at `now`.
    pub(crate) fn guard(&self, now: Instant) -> Option<Guard> {
        lock(&self.lease).held(now)
    }

    /// Returns the VM that held the lease at the last read.
    pub(crate) fn holder(&self) -> Option<id::Vm> {
        lock(&self.lease).holder().map(|holder| holder.vm.clone())
    }

    /// Returns the key of the fence row, on which all transactions of the holder are conditional.
    pub(crate) fn fence_key(&self) -> String {
        self.name.fence_key()
    }

    /// Releases the lease for good, because the manifest no longer requires it.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Maintains the lease until the node shuts down or the manager is retired.
    pub(crate) fn run(&self, shared: &Arc<Shared>) {
        let mut last_fence = None;
        let mut next_rank_at = Instant::default();
        while !shared.is_stopped() {
            let now = shared.now();
            if now >= next_rank_at {
                next_rank_at = now + RANK_INTERVAL;
                self.set_rank(shared);
            }
            let busy = self.busy.load(Ordering::SeqCst);
            if (shared.is_releasing() && !busy) || self.is_retired() {
                lock(&self.lease).release();
            }
            self.poll_lease(shared);
            self.record_transition(shared, &mut last_fence);
            if lock(&self.lease).is_released() {
                return;
            }
            thread::sleep(TICK);
        }
    }

    /// Sets whether a call that needs the lease is in progress.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
    }

    pub(crate) fn is_released(&self) -> bool {
        lock(&self.lease).is_released()
    }

    fn set_rank(&self, shared: &Shared) {
        let live = lock(&shared.members).live();
        let rank = rank(&self.name, &shared.settings.vm, &live);
        lock(&self.lease).set_rank(rank);
    }

    /// Executes one request to the table service, if one is due.
    ///
    /// A node that doesn't know the manifest in force doesn't acquire leases, because it isn't
    /// allowed to act on them.
    fn poll_lease(&self, shared: &Shared) {
        let held = self.guard(shared.now()).is_some();
        if !held && !lock(&self.lease).is_released() && shared.manifest().is_err() {
            return;
        }
        let action = {
            let mut rng = lock(&shared.rng);
            lock(&self.lease).poll(shared.now(), &mut *rng)
        };
        match action {
            None => {}
            Some(Action::Read { request_id, prefix }) => {
                let rows = shared.platform.table.scan(&prefix, CALL_TIMEOUT);
                shared.count_store_failure(&rows);
                let result = lock(&self.lease).on_read(shared.now(), request_id, rows);
                if let Err(error) = result {
                    shared.invariant_violated("lease", &error);
                }
            }
            Some(Action::Commit { request_id, txn }) => {
                let outcome = shared.platform.table.commit(&txn, CALL_TIMEOUT);
                shared.count_store_failure(&outcome);
                lock(&self.lease).on_commit(shared.now(), request_id, outcome);
            }
        }
    }

    /// Records a timeline event when the lease is acquired or lost.
    fn record_transition(&self, shared: &Shared, last_fence: &mut Option<id::Fence>) {
        let fence = self.guard(shared.now()).map(|guard| guard.fence);
        if fence == *last_fence {
            return;
        }
        let (kind, metric) = match fence {
            Some(_) => ("lease_taken", "lease.taken"),
            None => ("lease_lost", "lease.lost"),
        };
        shared.metrics.count(metric);
        let event_fence = fence.or(*last_fence).unwrap_or_default();
        shared.recorder.record(shared.timestamp(), kind, |event| {
            event.lease(self.label.clone()).with("fence", event_fence)
        });
        *last_fence = fence;
    }
}

impl Shared {
    /// Starts the thread that maintains a lease.
    pub(crate) fn start_lease(self: &Arc<Self>, lease: &Arc<LeaseManager>) {
        lock(&self.leases).push(lease.clone());
        let (shared, lease) = (self.clone(), lease.clone());
        let spawned = thread::Builder::new()
            .name("lease".to_owned())
            .spawn(move || {
                lease.run(&shared);
                lock(&shared.leases).retain(|other| !Arc::ptr_eq(other, &lease));
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "thread_spawn_failed");
        }
    }

    /// Counts a failed call to the table service or the object store.
    pub(crate) fn count_store_failure<T>(&self, result: &dogwoodlb_external::Result<T>) {
        if let Err(error) = result {
            self.metrics.count_tags("store.failed", &[("kind", "call")]);
            tracing::debug!(%error, "store_failed");
        }
    }
}
