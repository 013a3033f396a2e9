use dogwoodlb_types::Instant;
use std::time::Duration;

/// Covers a caller that read its answer just before this node stopped being listed.
const CACHE_MARGIN: Duration = Duration::from_secs(1);

/// Longer than the longest deadline of a request, so that no request is interrupted.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// A caller that was between two requests when the last one in flight ended still reaches the
/// node within this time, and learns from the refusal that it must use another address.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// A lease that can't be released, as during a store outage, expires on its own.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DrainPhase {
    /// No shutdown has begun.
    Serving,
    /// The node is no longer listed, and serves callers that have its address cached.
    Unlisted,
    /// New requests are refused, and requests in flight are finished.
    Refusing,
    /// No request is in flight, leases are being released, and new requests are refused.
    Draining,
    /// The process may exit.
    Stopped,
}

/// What the shell has to do for a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Announce to the peers that this node is leaving, and stop listing it to callers.
    Announce,
    /// Refuse new requests with the code `leaving`.
    Refuse,
    /// Release all leases.
    ReleaseLeases,
    /// Leave the membership and exit.
    Exit {
        /// The requests still in flight, 0 unless a request exceeded its longest deadline.
        interrupted: usize,
    },
}

/// The shutdown of a node; see docs/design.md, section 4.10.
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
    cache: Duration,
    phase: DrainPhase,
    since: Instant,
    interrupted: usize,
    released: bool,
}

impl Drain {
    /// Creates the shutdown of a node whose address callers cache for `cache`.
    pub const fn new(cache: Duration) -> Self {
        Self {
            cache,
            phase: DrainPhase::Serving,
            since: Instant::from_millis(0),
            interrupted: 0,
            released: false,
        }
    }

    /// Begins the shutdown; a repeated call has no effect.
    pub fn begin(&mut self, now: Instant) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.enter(DrainPhase::Unlisted, now);
        vec![DrainAction::Announce]
    }

    /// Advances the time; `in_flight` counts the requests that are being served.
    ///
    /// The count is trusted only after the refusal took effect, because a request may have
    /// been admitted since an earlier count.
    pub fn tick(&mut self, now: Instant, in_flight: usize) -> Vec<DrainAction> {
        match self.phase {
            DrainPhase::Unlisted
                if now.saturating_since(self.since) >= self.cache + CACHE_MARGIN =>
            {
                self.enter(DrainPhase::Refusing, now);
                vec![DrainAction::Refuse]
            }
            DrainPhase::Refusing if in_flight == 0 || self.is_overdue(now) => {
                self.interrupted = in_flight;
                self.enter(DrainPhase::Draining, now);
                vec![DrainAction::ReleaseLeases]
            }
            DrainPhase::Draining => {
                let limit = match self.released {
                    true => REFUSAL_TIME,
                    false => RELEASE_TIMEOUT,
                };
                match now.saturating_since(self.since) >= limit {
                    true => self.stop(),
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// Reports that all leases were released; without effect before [`DrainAction::ReleaseLeases`].
    pub fn on_released(&mut self) {
        self.released |= self.phase == DrainPhase::Draining;
    }

    /// Returns how far the shutdown has come.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns whether callers may be given the address of this node.
    pub fn is_listed(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Returns whether a new request is refused with the code `leaving`.
    pub fn is_refusing(&self) -> bool {
        self.phase >= DrainPhase::Refusing
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_since(self.since) >= MAX_WAIT
    }

    fn enter(&mut self, phase: DrainPhase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    fn stop(&mut self) -> Vec<DrainAction> {
        self.phase = DrainPhase::Stopped;
        vec![DrainAction::Exit {
            interrupted: self.interrupted,
        }]
    }
}
