use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::State;
use std::net::SocketAddr;

/// Incarnations start at the wall-clock time in milliseconds and increase by one per refutation.
/// The limit leaves room for that, so that a corrupt value cannot cause an overflow.
pub(crate) const MAX_INCARNATION: id::Incarnation = id::Incarnation(1 << 60);

/// The state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) address: SocketAddr,
    pub(crate) state: State,
    /// 0 until the peer's incarnation is known.
    pub(crate) incarnation: id::Incarnation,
    /// When the peer is declared dead unless it refutes the suspicion.
    pub(crate) suspected_until: Option<Instant>,
    /// Whether the peer was assumed to be alive because of the platform's VM list.
    pub(crate) assumed_alive: bool,
    /// Whether the platform's VM list shows the peer as leaving.
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

    /// Returns whether only the address of the peer is known.
    pub(crate) const fn is_unknown(&self) -> bool {
        self.incarnation.0 == 0 && matches!(self.state, State::Dead) && !self.assumed_alive
    }

    /// Returns whether the peer may hold leases and be listed to callers.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && !self.listed_leaving
    }

    /// Returns whether an update with this state and incarnation takes precedence.
    pub(crate) fn is_superseded_by(&self, state: State, incarnation: id::Incarnation) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }
}
