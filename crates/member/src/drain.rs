use dogwoodlb_types::Instant;
use std::time::Duration;

/// Margin for callers that fetched the address list just before this node was removed from it.
const CACHE_MARGIN: Duration = Duration::from_secs(1);

/// Time after which requests still in flight are interrupted. It exceeds the longest deadline of
/// a request, so that a shutdown normally interrupts none.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(120);

/// Minimum time for which new requests are refused before the process exits. A caller that was
/// between two requests when the last one in flight ended gets a refusal, which tells it to use
/// another address, instead of a connection error.
const MIN_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Maximum time to wait for leases to be released. A lease that cannot be released, for example
/// during a store outage, expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The phase of a shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DrainPhase {
    /// The node is serving; no shutdown has begun.
    Serving,
    /// The node is no longer listed, but still serves callers that have its address cached.
    Unlisted,
    /// New requests are refused, and requests in flight are completed.
    Refusing,
    /// All requests have ended or exceeded their time. Leases are being released, and new requests
    /// are refused.
    ReleasingLeases,
    /// The process may exit.
    Stopped,
}

/// A shutdown action for the I/O driver to execute.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Announce to the peers that this node is leaving, and stop listing its address to callers.
    Announce,
    /// Refuse new requests with the code `leaving`.
    Refuse,
    /// Release all leases.
    ReleaseLeases,
    /// Leave the membership and exit.
    Exit {
        /// The number of requests still in flight; 0 unless a request exceeded its deadline.
        interrupted: usize,
    },
}

/// The graceful shutdown of a node; see docs/design.md, section 4.10.
///
/// # Examples
///
/// ```
/// use dogwoodlb_member::{Drain, DrainPhase, DrainAction};
/// use dogwoodlb_types::Instant;
/// use std::time::Duration;
///
/// let mut drain = Drain::new(Duration::from_secs(5));
/// let at = Instant::from_millis;
/// assert_eq!(drain.begin(at(0)), [DrainAction::Announce]);
/// assert_eq!(drain.tick(at(5_999), 3), []);
/// assert_eq!(drain.tick(at(6_000), 3), [DrainAction::Refuse]);
/// assert_eq!(drain.tick(at(9_000), 0), [DrainAction::ReleaseLeases]);
/// drain.on_released();
/// assert_eq!(drain.tick(at(9_999), 0), []);
/// assert_eq!(drain.tick(at(10_000), 0), [DrainAction::Exit { interrupted: 0 }]);
/// assert_eq!(drain.phase(), DrainPhase::Stopped);
/// ```
#[derive(Clone, Debug)]
pub struct Drain {
    address_ttl: Duration,
    phase: DrainPhase,
    /// When the current phase began.
    entered_at: Instant,
    /// The requests in flight when the leases began to be released.
    interrupted: usize,
    leases_released: bool,
}

impl Drain {
    /// Creates the shutdown state of a node whose address callers cache for up to `address_ttl`.
    pub const fn new(address_ttl: Duration) -> Self {
        Self {
            address_ttl,
            phase: DrainPhase::Serving,
            entered_at: Instant::from_millis(0),
            interrupted: 0,
            leases_released: false,
        }
    }

    /// Begins the shutdown. Further calls have no effect.
    pub fn begin(&mut self, now: Instant) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.enter(DrainPhase::Unlisted, now);
        vec![DrainAction::Announce]
    }

    /// Advances the time; `in_flight` is the number of requests being served.
    ///
    /// The count is used only once new requests are refused, because a request may be admitted
    /// after an earlier count.
    pub fn tick(&mut self, now: Instant, in_flight: usize) -> Vec<DrainAction> {
        match self.phase {
            DrainPhase::Unlisted
                if now.saturating_since(self.entered_at) >= self.address_ttl + CACHE_MARGIN =>
            {
                self.enter(DrainPhase::Refusing, now);
                vec![DrainAction::Refuse]
            }
            DrainPhase::Refusing if in_flight == 0 || self.is_overdue(now) => {
                self.interrupted = in_flight;
                self.enter(DrainPhase::ReleasingLeases, now);
                vec![DrainAction::ReleaseLeases]
            }
            DrainPhase::ReleasingLeases => {
                let limit = match self.leases_released {
                    true => MIN_REFUSAL_TIME,
                    false => RELEASE_TIMEOUT,
                };
                match now.saturating_since(self.entered_at) >= limit {
                    true => self.stop(),
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// Records that all leases were released. It has no effect before
    /// [`DrainAction::ReleaseLeases`].
    pub fn on_released(&mut self) {
        self.leases_released |= self.phase == DrainPhase::ReleasingLeases;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns whether the address of this node may be listed to callers.
    pub fn is_listed(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Returns whether new requests are refused with the code `leaving`.
    pub fn is_refusing(&self) -> bool {
        self.phase >= DrainPhase::Refusing
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_since(self.entered_at) >= MAX_REQUEST_TIME
    }

    fn enter(&mut self, phase: DrainPhase, now: Instant) {
        self.phase = phase;
        self.entered_at = now;
    }

    fn stop(&mut self) -> Vec<DrainAction> {
        self.phase = DrainPhase::Stopped;
        vec![DrainAction::Exit {
            interrupted: self.interrupted,
        }]
    }
}
