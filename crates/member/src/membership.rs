use crate::error::Inner;
use crate::gossip::Gossip;
use crate::probe::{Probe, Relay};
use crate::record::{Record, MAX_INCARNATION};
use crate::Result;
use dogwoodlb_external::vms;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, State, Status, Update};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Three times the nodes of docs/design.md, section 1.4.
const MAX_PEERS: usize = 1_024;

/// The peers told directly that this node is leaving; gossip reaches the rest.
const ANNOUNCE_PEERS: usize = 32;

/// A pause of the process after which its own timers say nothing about its peers.
const STALL: Duration = Duration::from_secs(1);

/// The multiplier is at most 1 + 3, which bounds how slow detection can become.
pub(crate) const MAX_HEALTH: u32 = 3;

/// An entry VM of the manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The address at which it serves other nodes.
    pub address: SocketAddr,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The address of the peer.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Record that a member's state changed.
    Changed {
        /// The member.
        vm: id::Vm,
        /// Its new state.
        state: State,
        /// The run of its process that the state is about.
        incarnation: id::Incarnation,
    },
}

/// The membership as one node sees it.
///
/// The shell calls [`tick`](Membership::tick) at least every 100 ms and hands every received
/// frame to [`on_frame`](Membership::on_frame).
#[derive(Debug)]
pub struct Membership {
    pub(crate) vm: id::Vm,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) state: State,
    pub(crate) peers: BTreeMap<id::Vm, Record>,
    /// The peers in the order of probing, shuffled after each round.
    pub(crate) order: Vec<id::Vm>,
    pub(crate) cursor: usize,
    pub(crate) probe: Option<Probe>,
    pub(crate) next_probe: Instant,
    pub(crate) next_contact: Instant,
    pub(crate) relays: Vec<Relay>,
    pub(crate) gossip: Gossip,
    /// The local health score of Lifeguard, 0 being healthy.
    pub(crate) health: u32,
    pub(crate) sequence: u32,
    last: Option<Instant>,
}

impl Membership {
    /// Creates the membership of a node that knows no peers yet.
    ///
    /// The incarnation must be higher than that of any earlier run of the VM, so the shell
    /// passes the civil time in milliseconds. A node whose number is too low learns that from
    /// its peers and takes a higher one.
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
            next_contact: Instant::default(),
            relays: Vec::new(),
            gossip: Gossip::default(),
            health: 0,
            // A late answer to an earlier run must not match a probe of this one.
            sequence: rng.random(),
            last: None,
        };
        members.gossip.push(members.own_update());
        members
    }

    /// Takes over the entry VMs of the manifest; this node itself is skipped.
    ///
    /// What is known about peers that stay is kept. A new peer is not live until it is heard
    /// of.
    ///
    /// # Errors
    ///
    /// [`Category::TooMany`](crate::Category::TooMany) for more than 1,024 peers; the list is
    /// then unchanged.
    pub fn set_peers(&mut self, peers: &[Peer], rng: &mut dyn Rng) -> Result<()> {
        if peers.len() > MAX_PEERS {
            return Err(Inner::TooMany {
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
                .unwrap_or_else(|| Record::new(peer.address));
            record.address = peer.address;
            kept.insert(peer.vm.clone(), record);
        }
        for vm in self.peers.keys() {
            self.gossip.remove(vm);
        }
        let is_same =
            self.order.len() == kept.len() && self.order.iter().all(|vm| kept.contains_key(vm));
        self.peers = kept;
        // An unchanged round is kept, because frequent changes of the manifest would restart
        // it before it has reached every peer.
        if !is_same {
            self.order = self.peers.keys().cloned().collect();
            self.order.shuffle(rng);
            self.cursor = 0;
            self.probe = None;
        }
        Ok(())
    }

    /// Returns the VMs that are alive as far as is known, in the order of their names.
    ///
    /// The list ranks lease candidates and answers callers. It includes this node unless it
    /// is leaving, and suspected members until their suspicion expires.
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

    /// Returns the state of a member, or `None` if it is not a peer or was never heard of.
    pub fn state(&self, vm: &id::Vm) -> Option<State> {
        if *vm == self.vm {
            return Some(self.state);
        }
        let record = self.peers.get(vm)?;
        (!record.is_unheard()).then_some(record.state)
    }

    /// Returns the address at which a peer serves other nodes.
    pub fn address(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.peers.get(vm).map(|record| record.address)
    }

    /// Returns this node's incarnation, which grows when it refutes a false statement.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Takes in the platform's list of VMs, which lags behind the actual state.
    ///
    /// The list makes a peer live only if nothing was ever heard of it, and hides a leaving
    /// peer as long as the list says so. It never revives a peer that is known to be dead.
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
                vms::State::Live if record.is_unheard() => {
                    record.seeded = true;
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

    /// Announces that this node is leaving; it answers probes until it departs.
    pub fn announce_leaving(&mut self, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce(State::Leaving, status, rng)
    }

    /// Announces that this node stops now, so that its peers need not find out.
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

    /// Keeps a pause of this process from being counted against its peers.
    pub(crate) fn wake(&mut self, now: Instant) {
        let gap = now.saturating_since(self.last.unwrap_or(now));
        self.last = Some(now);
        if gap <= STALL {
            return;
        }
        self.probe = None;
        self.health = (self.health + 1).min(MAX_HEALTH);
        for record in self.peers.values_mut() {
            record.expires = record.expires.map(|at| at + gap);
        }
    }
}
