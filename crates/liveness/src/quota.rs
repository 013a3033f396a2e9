use dogwoodlb_types::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// The period that the limit concerns, as long as a departure of an unknown replica is kept.
const PERIOD: Duration = Duration::from_secs(60);
/// The maximum number of departures that a node believes other nodes in a period.
const MAX_ACCEPTED: usize = 128;

/// Limits the departures that a node believes others, so that a faulty one cannot fill its memory.
///
/// Beyond the limit, a node learns of departures from the directory and from responses.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    accepted: VecDeque<Instant>,
}

impl Quota {
    /// Returns whether another departure is accepted, and counts it.
    pub fn accept(&mut self, now: Instant) -> bool {
        while let Some(oldest) = self.accepted.front() {
            if now.saturating_since(*oldest) < PERIOD {
                break;
            }
            self.accepted.pop_front();
        }
        let is_accepted = self.accepted.len() < MAX_ACCEPTED;
        if is_accepted {
            self.accepted.push_back(now);
        }
        is_accepted
    }
}
