//! When this node may claim a role, that is the leadership of a service or a duty, from its holder.

use crate::clock;
use crate::peers::Peers;
use crate::storage::Storage;
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a holder must be ineligible before another node claims its role. It does not apply to a
/// holder whose heartbeats have stopped, because the silence has lasted for 1.1 s by then.
const INELIGIBLE_DELAY: Duration = Duration::from_millis(100);
/// How long a candidate must have reached the store without interruption.
const STORE_SETTLE_TIME: Duration = Duration::from_millis(1_300);
/// The delay between the claims of consecutive candidates, so that they do not all write at once. It
/// covers a round of the election and a write from another region, after which a claim of the
/// candidate before has taken effect. Each candidate that died with the holder costs this time.
const CLAIM_STAGGER: Duration = Duration::from_millis(150);

/// This node as a candidate for roles.
pub(crate) struct Candidacy {
    peers: Rc<Peers>,
    storage: Rc<Storage>,
    /// Since when each role has had no eligible holder.
    ineligible_since: BTreeMap<String, Instant>,
}

impl Candidacy {
    pub(crate) fn new(peers: Rc<Peers>, storage: Rc<Storage>) -> Self {
        Self {
            peers,
            storage,
            ineligible_since: BTreeMap::new(),
        }
    }

    /// Returns whether this node should now claim a role from its holder.
    pub(crate) fn is_claim_due(&mut self, role: &str, holder: &str) -> bool {
        let now = clock::now();
        let peers = &self.peers;
        // If the store has only just become reachable, the holder may not have reached it yet.
        let is_settled = self.storage.reachable_for(now) >= STORE_SETTLE_TIME;
        if peers.is_eligible(holder) || !peers.can_lead() || !is_settled {
            self.ineligible_since.remove(role);
            return false;
        }
        let since = *self.ineligible_since.entry(role.to_owned()).or_insert(now);
        let rank = u32::try_from(peers.rank(role)).unwrap_or(u32::MAX);
        let delay = match peers.is_silent(holder) {
            true => Duration::ZERO,
            false => INELIGIBLE_DELAY,
        };
        let wait = delay.saturating_add(CLAIM_STAGGER.saturating_mul(rank));
        now.saturating_since(since) >= wait
    }

    /// Takes in that this node has claimed a role.
    pub(crate) fn on_claimed(&mut self, role: &str) {
        self.ineligible_since.remove(role);
    }
}
