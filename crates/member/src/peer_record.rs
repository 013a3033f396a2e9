use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::State;
use std::net::SocketAddr;

/// Incarnations start at the civil time in milliseconds and grow by one at each refutation.
/// The limit leaves room for that, so a corrupt number can't make the next one overflow.
pub(crate) const MAX_INCARNATION: id::Incarnation = id::Incarnation(1 << 60);

/// What is known about one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) address: SocketAddr,
    pub(crate) state: State,
    /// 0 until the peer or another node has told its incarnation.
    pub(crate) incarnation: id::Incarnation,
    /// When an unrefuted suspicion becomes a death.
    pub(crate) suspected_until: Option<Instant>,
    /// Whether the platform's list has been used to assume that the peer is alive.
    pub(crate) assumed_alive: bool,
    /// Whether the platform's list says that the VM is leaving.
    pub(crate) listed_leaving: bool,
}

impl PeerRecord {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: State::Dead,
            incarnation: id::Incarnation(0),
            suspected_until: None,
            assumed_alive: false,
            listed_leaving: false,
        }
    }

    /// Returns whether nothing is known about the peer beyond its address.
    pub(crate) const fn is_unknown(&self) -> bool {
        self.incarnation.0 == 0 && matches!(self.state, State::Dead) && !self.assumed_alive
    }

    /// Returns whether the peer may own leases and be listed to callers.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && !self.listed_leaving
    }

    /// Returns whether a statement is newer than what is known.
    pub(crate) fn is_superseded_by(&self, state: State, incarnation: id::Incarnation) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }
}
