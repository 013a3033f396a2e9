mod observation;

use crate::error::Inner;
use crate::outage::{OutageBackoff, MAX_RECOVERY_JITTER};
use crate::row::{FenceRow, Rows};
use crate::timing::{HOLDER_VALIDITY, RENEWAL_INTERVAL, RETRY_DELAY};
use crate::view::{Action, Guard, Holder, RequestId};
use crate::write::{Write, WriteKind, WriteOutcome};
use crate::{LeaseName, Result};
use dogwoodlb_external as external;
use dogwoodlb_external::table::{Outcome, Row};
use dogwoodlb_types::{id, Instant};
use observation::Observation;
use rand::Rng;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Held {
    guard: Guard,
    heartbeat_version: u64,
    /// When the last applied takeover or renewal was sent.
    renewed_at: Instant,
}

#[derive(Clone, Copy, Debug)]
enum InFlight {
    Read { started_at: Instant },
    Commit,
}

/// A candidate for a lease, or its holder.
#[derive(Debug)]
pub struct Lease {
    name: LeaseName,
    vm: id::Vm,
    incarnation: id::Incarnation,
    rank: usize,
    held: Option<Held>,
    holder: Option<Holder>,
    observed: Option<Observation>,
    /// Whether the lease was free or unchanged for long enough, so that this candidate may take it
    /// over.
    takeover_due: bool,
    pending_write: Option<Write>,
    read_due: bool,
    next_read: Instant,
    /// When the next request may be sent.
    not_before: Instant,
    in_flight: Option<(RequestId, InFlight)>,
    last_request_id: u64,
    outage_backoff: OutageBackoff,
    releasing: bool,
    released: bool,
}

impl Lease {
    /// Creates a candidate; a restarted process must pass a higher incarnation.
    pub fn new(name: LeaseName, vm: id::Vm, incarnation: id::Incarnation, rank: usize) -> Self {
        Self {
            name,
            vm,
            incarnation,
            rank,
            held: None,
            holder: None,
            observed: None,
            takeover_due: false,
            pending_write: None,
            read_due: true,
            next_read: Instant::default(),
            not_before: Instant::default(),
            in_flight: None,
            last_request_id: 0,
            outage_backoff: OutageBackoff::new(),
            releasing: false,
            released: false,
        }
    }

    /// Returns the name of the lease.
    pub fn name(&self) -> &LeaseName {
        &self.name
    }

    /// Returns a guard if this process holds the lease now.
    ///
    /// Call this right before each use, because the process may have been paused since the last
    /// call.
    pub fn held(&self, now: Instant) -> Option<Guard> {
        let guard = self.held?.guard;
        (!self.releasing && now < guard.expires_at).then_some(guard)
    }

    /// Returns the holder of the lease when it was last read or written.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Changes the rank among the candidates.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Releases the lease permanently, so that the next candidate need not wait for its expiry.
    ///
    /// [`Lease::held`] returns `None` from now on. Keep polling until [`Lease::is_released`].
    pub fn release(&mut self) {
        self.releasing = true;
        self.released = self.held.is_none() && self.pending_write.is_none();
    }

    /// Returns whether the lease is released and no request is left to send.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns the next request, if one is due and none is in flight.
    ///
    /// Every request needs a reply before the next one is returned; after a timeout, pass an
    /// ambiguous error.
    pub fn poll(&mut self, now: Instant, rng: &mut dyn Rng) -> Option<Action> {
        if self.in_flight.is_some() || self.released || now < self.not_before {
            return None;
        }
        if self.read_due
            || (self.held.is_none() && self.pending_write.is_none() && now >= self.next_read)
        {
            self.read_due = true;
            let request_id = self.begin_request(InFlight::Read { started_at: now });
            let prefix = self.name.prefix();
            return Some(Action::Read { request_id, prefix });
        }
        if !self.write_due(now)
            || !self
                .outage_backoff
                .allows_write(now, self.max_jitter(now), rng)
        {
            return None;
        }
        let mut write = match self.pending_write.take() {
            Some(write) => write,
            None => self.next_write(random_operation(rng))?,
        };
        let txn = write.send(now);
        self.pending_write = Some(write);
        let request_id = self.begin_request(InFlight::Commit);
        Some(Action::Commit { request_id, txn })
    }

    /// Handles the reply to a read; replies with another request id are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the rows are malformed or inconsistent with earlier ones. Such rows do not cause
    /// the lease to be acquired or kept, and they are read again.
    pub fn on_read(
        &mut self,
        now: Instant,
        request_id: RequestId,
        reply: external::Result<Vec<Row>>,
    ) -> Result<()> {
        let Some(InFlight::Read { started_at }) = self.end_request(request_id) else {
            return Ok(());
        };
        let Ok(rows) = reply else {
            self.on_failure(now);
            return Ok(());
        };
        self.outage_backoff.on_success(now);
        // Applies only if the rows are invalid; otherwise it is reset below.
        self.not_before = now + RETRY_DELAY;
        let rows = Rows::parse(&self.name, &rows)?;
        self.check_fence(rows.as_ref())?;
        self.not_before = now;
        self.read_due = false;
        self.resolve_write(rows.as_ref())?;
        self.observe(now, started_at, rows.as_ref());
        self.released = self.releasing && self.held.is_none() && self.pending_write.is_none();
        Ok(())
    }

    /// Handles the reply to a transaction; replies with another request id are ignored.
    pub fn on_commit(
        &mut self,
        now: Instant,
        request_id: RequestId,
        reply: external::Result<Outcome>,
    ) {
        let Some(InFlight::Commit) = self.end_request(request_id) else {
            return;
        };
        match reply {
            Ok(Outcome::Applied { version }) => {
                self.outage_backoff.on_success(now);
                // An earlier copy that was applied would make the last one conflict, so this is the
                // reply to the last copy. A renewal does not change the fence row.
                if let Some(write) = self.pending_write.take() {
                    self.apply(write.kind, write.last_sent, (version, version));
                }
            }
            // The conflict may be with a delayed copy of the same write, so read back.
            Ok(Outcome::Conflict { .. }) => {
                self.outage_backoff.on_success(now);
                self.read_due = true;
            }
            Err(error) => {
                self.on_failure(now);
                self.read_due = !matches!(
                    error.classify(),
                    external::Category::NotSent | external::Category::Refused
                );
                if self.read_due {
                    self.not_before = now;
                }
            }
        }
    }

    fn begin_request(&mut self, in_flight: InFlight) -> RequestId {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        self.in_flight = Some((request_id, in_flight));
        request_id
    }

    fn end_request(&mut self, request_id: RequestId) -> Option<InFlight> {
        let (_, in_flight) = self
            .in_flight
            .take_if(|(current, _)| *current == request_id)?;
        Some(in_flight)
    }

    fn on_failure(&mut self, now: Instant) {
        self.outage_backoff.on_failure(now);
        self.not_before = now + RETRY_DELAY;
    }

    fn write_due(&self, now: Instant) -> bool {
        if self.pending_write.is_some() {
            return true;
        }
        match &self.held {
            Some(held) => self.releasing || now >= held.renewed_at + RENEWAL_INTERVAL,
            None => self.takeover_due,
        }
    }

    /// Returns the maximum jitter; a holder reserves half of its remaining time for the renewal.
    fn max_jitter(&self, now: Instant) -> Duration {
        match &self.held {
            Some(held) if now < held.guard.expires_at => {
                held.guard.expires_at.saturating_since(now) / 2
            }
            _ => MAX_RECOVERY_JITTER,
        }
    }

    fn next_write(&mut self, operation: id::Operation) -> Option<Write> {
        if let Some(held) = &self.held {
            let versions = (held.guard.fence_row_version, held.heartbeat_version);
            return Some(Write::heartbeat(
                &self.name,
                operation,
                self.releasing,
                versions,
            ));
        }
        let observed = self.observed?;
        self.takeover_due = false;
        let holder = FenceRow {
            operation,
            fence: observed.fence.next(),
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        };
        Some(Write::take_over(&self.name, holder, observed.versions))
    }

    /// Rejects a fencing token that is lower than one seen earlier.
    fn check_fence(&self, rows: Option<&Rows>) -> Result<()> {
        let highest = self
            .holder
            .as_ref()
            .map_or(id::Fence(0), |holder| holder.fence);
        let found = rows.map_or(id::Fence(0), |rows| rows.fence.row.fence);
        if found < highest {
            let key = self.name.fence_key();
            return Err(Inner::FenceRegression {
                key,
                found,
                highest,
            }
            .into());
        }
        Ok(())
    }

    /// Resolves the outcome of the pending write and detects a takeover by another candidate.
    fn resolve_write(&mut self, rows: Option<&Rows>) -> Result<()> {
        let versions = rows.map_or((0, 0), |rows| (rows.fence.version, rows.heartbeat.version));
        if let Some(write) = self.pending_write.take() {
            match write.outcome(rows) {
                WriteOutcome::Applied => {
                    let sent_at = write.first_sent.unwrap_or_default();
                    self.apply(write.kind, sent_at, versions);
                }
                WriteOutcome::Undecided => self.pending_write = Some(write),
                WriteOutcome::Superseded => {}
            }
        }
        let Some(held) = self.held else {
            return Ok(());
        };
        if held.guard.fence_row_version != versions.0 {
            self.held = None;
        } else if held.heartbeat_version != versions.1 {
            self.held = None;
            let key = self.name.heartbeat_key();
            return Err(Inner::UnexpectedRenewal { key }.into());
        }
        Ok(())
    }

    fn apply(
        &mut self,
        kind: WriteKind,
        sent_at: Instant,
        (fence_version, heartbeat_version): (u64, u64),
    ) {
        let expires_at = sent_at + HOLDER_VALIDITY;
        match (kind, &mut self.held) {
            (WriteKind::TakeOver(fence), _) => {
                self.held = Some(Held {
                    guard: Guard {
                        fence,
                        fence_row_version: fence_version,
                        expires_at,
                    },
                    heartbeat_version,
                    renewed_at: sent_at,
                });
                self.holder = Some(Holder {
                    vm: self.vm.clone(),
                    incarnation: self.incarnation,
                    fence,
                });
                self.observed = None;
                self.takeover_due = false;
            }
            (WriteKind::Renew, Some(held)) => {
                held.guard.expires_at = expires_at;
                held.heartbeat_version = heartbeat_version;
                held.renewed_at = sent_at;
            }
            (WriteKind::Release, _) => {
                self.held = None;
                self.released = true;
            }
            (WriteKind::Renew, None) => {}
        }
    }
}

fn random_operation(rng: &mut dyn Rng) -> id::Operation {
    id::Operation(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
}
