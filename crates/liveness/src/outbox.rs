use crate::message::{Departure, MAX_DEPARTURES};
use dogwoodlb_types::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// The time for which a departure is sent with the heartbeats.
const SEND_TIME: Duration = Duration::from_secs(2);
/// The number of heartbeats that contain a departure at least, in case one is lost.
const MIN_HEARTBEATS: u32 = 2;
/// The maximum number of departures that wait to be sent. Beyond it, the oldest is dropped: the
/// other nodes learn of it from the replica or from the directory.
const MAX_PENDING: usize = 16;

/// The departures that a node has learned of itself and tells the others.
///
/// Departures that other nodes have told it of are not passed on, so the number of messages does
/// not depend on the number of replicas.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    pending: VecDeque<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    replica: String,
    born_ms: i64,
    learned_at: Instant,
}

impl Outbox {
    /// Adds a departure that the node has learned of now.
    pub fn push(&mut self, replica: &str, born_ms: i64, now: Instant) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            replica: replica.to_owned(),
            born_ms,
            learned_at: now,
        });
    }

    /// Returns the departures for the next heartbeat, which follows the last one after `interval`.
    /// If there are more than fit, they take turns.
    pub fn next_departures(&mut self, now: Instant, interval: Duration) -> Vec<Departure> {
        let send_time = SEND_TIME.max(interval * MIN_HEARTBEATS);
        self.pending
            .retain(|pending| now.saturating_since(pending.learned_at) < send_time);
        let count = self.pending.len().min(MAX_DEPARTURES);
        let first = self.pending.iter().take(count);
        let departures = first
            .map(|pending| {
                let age = now.saturating_since(pending.learned_at);
                Departure {
                    replica: pending.replica.clone(),
                    born_ms: pending.born_ms,
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                }
            })
            .collect();
        self.pending.rotate_left(count);
        departures
    }
}
