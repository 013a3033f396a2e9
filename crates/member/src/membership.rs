use crate::error::Inner;
use crate::gossip::Gossip;
use crate::peer_record::{PeerRecord, MAX_INCARNATION};
use crate::probe::{Probe, Relay};
use crate::Result;
use dogwoodlb_external::vms;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, State, Status, Update};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of peers: three times the number of nodes in docs/design.md, section 1.4.
const MAX_PEERS: usize = 1_024;

/// Number of peers that are told directly that this node is leaving; gossip reaches the rest.
const ANNOUNCE_PEERS: usize = 32;

/// Gap between two calls above which the process is assumed to have been paused, so that its
/// timers say nothing about its peers.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Limits the timeout multiplier to 1 + 3, which bounds the failure detection time.
pub(crate) const MAX_LOCAL_HEALTH: u32 = 3;

/// An entry VM listed in the manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The address at which it is reachable by other nodes.
    pub address: SocketAddr,
}

/// An action for the I/O driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The address of the peer.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Report that a member's state changed.
    Changed {
        /// The member.
        vm: id::Vm,
        /// Its new state.
        state: State,
        /// The incarnation of the member that the state refers to.
        incarnation: id::Incarnation,
    },
}

/// One node's view of the membership.
///
/// The I/O driver must call [`tick`](Membership::tick) at least every 100 ms and pass every
/// received frame to [`on_frame`](Membership::on_frame).
#[derive(Debug)]
pub struct Membership {
    pub(crate) vm: id::Vm,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) state: State,
    pub(crate) peers: BTreeMap<id::Vm, PeerRecord>,
    /// The peers in probing order, reshuffled after each round.
    pub(crate) order: Vec<id::Vm>,
    pub(crate) cursor: usize,
    /// The probe of this node that has not been acknowledged yet.
    pub(crate) probe: Option<Probe>,
    pub(crate) next_probe: Instant,
    /// When the next dead or unknown peer is pinged.
    pub(crate) next_dead_ping: Instant,
    /// The indirect probes on behalf of other peers.
    pub(crate) relays: Vec<Relay>,
    pub(crate) gossip: Gossip,
    /// Lifeguard's local health score; 0 is healthy.
    pub(crate) local_health: u32,
    /// The last sequence number assigned to a ping.
    pub(crate) sequence: u32,
    /// When the I/O driver last called this node.
    last_call: Option<Instant>,
}

impl Membership {
    /// Creates the membership of a node without peers.
    ///
    /// The incarnation should be higher than that of any earlier process on the VM; the driver
    /// passes the wall-clock time in milliseconds. A node whose incarnation is too low learns so
    /// from its peers and adopts a higher one.
    pub fn new(vm: id::Vm, incarnation: id::Incarnation, rng: &mut dyn Rng) -> Self {
        let incarnation = incarnation.clamp(id::Incarnation(1), MAX_INCARNATION);
        let mut members = Self {
            vm,
            incarnation,
            state: State::Alive,
            peers: BTreeMap::new(),
            order: Vec::new(),
            cursor: 0,
            probe: None,
            next_probe: Instant::default(),
            next_dead_ping: Instant::default(),
            relays: Vec::new(),
            gossip: Gossip::default(),
            local_health: 0,
            // A late acknowledgement to an earlier process must not match a probe of this one.
            sequence: rng.random(),
            last_call: None,
        };
        members.gossip.push(members.own_update());
        members
    }

    /// Replaces the list of peers with the entry VMs of the manifest; this node is skipped.
    ///
    /// The state of peers that remain is kept. A new peer is not live until an update about it
    /// arrives.
    ///
    /// # Errors
    ///
    /// [`Category::TooManyPeers`](crate::Category::TooManyPeers) for more than 1,024 peers;
    /// the list is unchanged.
    pub fn set_peers(&mut self, peers: &[Peer], rng: &mut dyn Rng) -> Result<()> {
        if peers.len() > MAX_PEERS {
            return Err(Inner::TooManyPeers {
                count: peers.len(),
                limit: MAX_PEERS,
            }
            .into());
        }
        let mut kept = BTreeMap::new();
        for peer in peers.iter().filter(|peer| peer.vm != self.vm) {
            let mut record = self
                .peers
                .remove(&peer.vm)
                .unwrap_or_else(|| PeerRecord::new(peer.address));
            record.address = peer.address;
            kept.insert(peer.vm.clone(), record);
        }
        for vm in self.peers.keys() {
            self.gossip.remove(vm);
        }
        let is_unchanged =
            self.order.len() == kept.len() && self.order.iter().all(|vm| kept.contains_key(vm));
        self.peers = kept;
        // The probing order is kept if the set of peers is unchanged; otherwise frequent manifest
        // changes would restart the round before it has reached every peer.
        if !is_unchanged {
            self.order = self.peers.keys().cloned().collect();
            self.order.shuffle(rng);
            self.cursor = 0;
            self.probe = None;
        }
        Ok(())
    }

    /// Returns the VMs considered alive, sorted by name.
    ///
    /// The list is used to rank lease candidates and to give addresses to callers. It includes
    /// this node unless it is leaving, and suspected members until their suspicion times out.
    pub fn live(&self) -> Vec<id::Vm> {
        let mut live: Vec<id::Vm> = self
            .peers
            .iter()
            .filter(|(_, record)| record.is_live())
            .map(|(vm, _)| vm.clone())
            .collect();
        if self.state == State::Alive {
            live.push(self.vm.clone());
        }
        live.sort();
        live
    }

    /// Returns the state of a member, or `None` if it is not a peer or its state is unknown.
    pub fn state(&self, vm: &id::Vm) -> Option<State> {
        if *vm == self.vm {
            return Some(self.state);
        }
        let record = self.peers.get(vm)?;
        (!record.is_unknown()).then_some(record.state)
    }

    /// Returns the address at which a peer is reachable by other nodes.
    pub fn address(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.peers.get(vm).map(|record| record.address)
    }

    /// Returns this node's incarnation, which increases when it refutes a false update.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Applies the platform's VM list, which lags behind the actual state.
    ///
    /// The list marks a peer as alive only if its state is unknown, and hides a leaving peer while
    /// it is listed as such. It never revives a peer that was declared dead.
    pub fn on_vm_list(&mut self, listed: &[vms::Vm]) -> Vec<Action> {
        let mut actions = Vec::new();
        for record in self.peers.values_mut() {
            record.listed_leaving = false;
        }
        for vm in listed {
            let Some(record) = self.peers.get_mut(&vm.name) else {
                continue;
            };
            match vm.state {
                vms::State::Leaving => record.listed_leaving = true,
                vms::State::Live if record.is_unknown() => {
                    record.assumed_alive = true;
                    record.state = State::Alive;
                    actions.push(Action::Changed {
                        vm: vm.name.clone(),
                        state: State::Alive,
                        incarnation: record.incarnation,
                    });
                }
                vms::State::Live => {}
            }
        }
        actions
    }

    /// Announces that this node is leaving. It acknowledges probes until it stops.
    pub fn announce_leaving(&mut self, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce(State::Leaving, status, rng)
    }

    /// Announces that this node is stopping now, so that its peers need not detect a failure.
    pub fn announce_stopped(&mut self, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce(State::Dead, status, rng)
    }

    fn announce(&mut self, state: State, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.state = self.state.max(state);
        self.gossip.push(self.own_update());
        let mut actions = Vec::new();
        for vm in self.sample(ANNOUNCE_PEERS, &[], rng) {
            let sequence = self.next_sequence();
            self.send(Frame::Ping, &vm, sequence, status, rng, &mut actions);
        }
        actions
    }

    pub(crate) fn own_update(&self) -> Update {
        Update {
            vm: self.vm.clone(),
            state: self.state,
            incarnation: self.incarnation,
        }
    }

    /// Detects a pause of this process, so that its peers are not suspected because of it.
    pub(crate) fn detect_stall(&mut self, now: Instant) {
        let gap = now.saturating_since(self.last_call.unwrap_or(now));
        self.last_call = Some(now);
        if gap <= STALL_THRESHOLD {
            return;
        }
        self.probe = None;
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        for record in self.peers.values_mut() {
            record.suspected_until = record.suspected_until.map(|at| at + gap);
        }
    }
}
