use crate::membership::{Action, Membership, MAX_HEALTH};
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, State, Status};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::Rng;
use std::time::Duration;

/// The time between two probes, and the time that a probe with its indirect ones may take.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time after which other peers are asked; the round trip between regions is 24 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The peers that are asked to probe a silent one.
const HELPERS: usize = 3;

/// The time between two pings to peers that are dead or were never heard of. They find the
/// other side again after a partition.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// The probes carried out for other peers at one time. A request beyond it is dropped, and
/// the requester has two other helpers.
const MAX_RELAYS: usize = 64;

/// A probe of a peer that has not been answered yet.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: id::Vm,
    pub(crate) sequence: u32,
    ask_at: Instant,
    deadline: Instant,
    pub(crate) helpers: Vec<id::Vm>,
}

/// A probe carried out for another peer.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) target: id::Vm,
    pub(crate) sequence: u32,
    pub(crate) requester: id::Vm,
    pub(crate) requester_sequence: u32,
    expires: Instant,
}

impl Membership {
    /// Advances the time: sends probes that are due and declares dead the peers whose
    /// suspicion has expired.
    pub fn tick(&mut self, now: Instant, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.wake(now);
        let mut actions = Vec::new();
        if self.state == State::Dead {
            return actions;
        }
        self.relays.retain(|relay| relay.expires > now);
        self.check_probe(now, status, rng, &mut actions);
        self.expire(now, &mut actions);
        if self.probe.is_none() && self.next_probe <= now {
            self.start_probe(now, status, rng, &mut actions);
        }
        if self.next_contact <= now {
            self.next_contact = now + CONTACT_INTERVAL;
            self.contact_lost(status, rng, &mut actions);
        }
        actions
    }

    fn check_probe(
        &mut self,
        now: Instant,
        status: &Status,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        if probe.deadline <= now {
            self.degrade();
            self.suspect(&probe.target, now, actions);
            // The target can refute at once instead of hearing of the suspicion later.
            let sequence = self.next_sequence();
            self.send(Frame::Ping, &probe.target, sequence, status, rng, actions);
            return;
        }
        if probe.ask_at > now || !probe.helpers.is_empty() {
            self.probe = Some(probe);
            return;
        }
        // The first ping may merely have been lost. Repeating it keeps false suspicions rare at
        // 20% loss, where their refutations would otherwise crowd out other news.
        self.send(
            Frame::Ping,
            &probe.target,
            probe.sequence,
            status,
            rng,
            actions,
        );
        let helpers = self.sample(HELPERS, &[&probe.target], rng);
        for vm in &helpers {
            let Some(to) = self.address(vm) else { continue };
            let header = self.header(vm, probe.sequence, status, rng);
            let target = probe.target.clone();
            let frame = Frame::PingReq { header, target };
            actions.push(Action::Send { to, frame });
        }
        self.probe = Some(Probe { helpers, ..probe });
    }

    fn start_probe(
        &mut self,
        now: Instant,
        status: &Status,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let scale = 1 + self.health;
        self.next_probe = now + INTERVAL * scale;
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send(Frame::Ping, &target, sequence, status, rng, actions);
        self.probe = Some(Probe {
            target,
            sequence,
            ask_at: now + DIRECT_TIMEOUT * scale,
            deadline: now + INTERVAL * scale,
            helpers: Vec::new(),
        });
    }

    /// Returns the next peer of the round that is not dead.
    fn next_target(&mut self, rng: &mut dyn Rng) -> Option<id::Vm> {
        for _ in 0..self.order.len() {
            if self.cursor >= self.order.len() {
                self.cursor = 0;
                self.order.shuffle(rng);
            }
            let vm = &self.order[self.cursor];
            self.cursor += 1;
            if self.peers.get(vm)?.state != State::Dead {
                return Some(vm.clone());
            }
        }
        None
    }

    /// Pings one peer that is dead or was never heard of.
    fn contact_lost(&mut self, status: &Status, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        let lost = self
            .peers
            .iter()
            .filter(|(_, record)| record.state == State::Dead)
            .map(|(vm, _)| vm)
            .choose(rng)
            .cloned();
        if let Some(vm) = lost {
            let sequence = self.next_sequence();
            self.send(Frame::Ping, &vm, sequence, status, rng, actions);
        }
    }

    /// Chooses up to `count` peers that are not dead.
    pub(crate) fn sample(
        &self,
        count: usize,
        except: &[&id::Vm],
        rng: &mut dyn Rng,
    ) -> Vec<id::Vm> {
        self.peers
            .iter()
            .filter(|(vm, record)| record.state != State::Dead && !except.contains(vm))
            .map(|(vm, _)| vm.clone())
            .sample(rng, count)
    }

    /// Remembers a probe carried out for another peer; returns its sequence number.
    pub(crate) fn add_relay(
        &mut self,
        target: &id::Vm,
        requester: &id::Vm,
        requester_sequence: u32,
        now: Instant,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays.push(Relay {
            target: target.clone(),
            sequence,
            requester: requester.clone(),
            requester_sequence,
            expires: now + INTERVAL * (1 + MAX_HEALTH),
        });
        Some(sequence)
    }

    pub(crate) fn degrade(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
