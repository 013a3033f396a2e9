use crate::membership::{Action, Membership, MAX_LOCAL_HEALTH};
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, State, Status};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::Rng;
use std::time::Duration;

/// Time between two probes, and the timeout of a probe including its indirect probes. Both are
/// multiplied by 1 + the local health score.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which indirect probes are sent, multiplied by 1 + the local health score. The round
/// trip between regions is 24 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of peers asked to probe an unresponsive peer.
const INDIRECT_PROBES: usize = 3;

/// Time between pings to dead or unknown peers. These pings rediscover the other side after a
/// network partition.
const DEAD_PING_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent indirect probes for other peers. Further requests are dropped;
/// the requester has two other intermediaries.
const MAX_RELAYS: usize = 64;

/// A probe that has not been acknowledged yet.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: id::Vm,
    pub(crate) sequence: u32,
    /// When the indirect probes are sent.
    indirect_at: Instant,
    /// When the target is suspected.
    deadline: Instant,
    /// The peers asked to probe the target; empty until then.
    pub(crate) intermediaries: Vec<id::Vm>,
}

/// An indirect probe on behalf of another peer.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) target: id::Vm,
    pub(crate) sequence: u32,
    /// The peer that gets the acknowledgement, under its own sequence number.
    pub(crate) requester: id::Vm,
    pub(crate) requester_sequence: u32,
    expires: Instant,
}

impl Membership {
    /// Advances the time: sends due probes, and declares peers dead whose suspicion has timed out.
    pub fn tick(&mut self, now: Instant, status: &Status, rng: &mut dyn Rng) -> Vec<Action> {
        self.detect_stall(now);
        let mut actions = Vec::new();
        if self.state == State::Dead {
            return actions;
        }
        self.relays.retain(|relay| relay.expires > now);
        self.advance_probe(now, status, rng, &mut actions);
        self.expire_suspicions(now, &mut actions);
        if self.probe.is_none() && self.next_probe <= now {
            self.start_probe(now, status, rng, &mut actions);
        }
        if self.next_dead_ping <= now {
            self.next_dead_ping = now + DEAD_PING_INTERVAL;
            self.ping_dead_peer(status, rng, &mut actions);
        }
        actions
    }

    /// Sends the indirect probes of the current probe once its acknowledgement is late, and
    /// suspects its target at the deadline.
    fn advance_probe(
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
            self.degrade_local_health();
            self.suspect(&probe.target, now, actions);
            // This ping lets the target refute the suspicion immediately.
            let sequence = self.next_sequence();
            self.send(Frame::Ping, &probe.target, sequence, status, rng, actions);
            return;
        }
        if probe.indirect_at > now || !probe.intermediaries.is_empty() {
            self.probe = Some(probe);
            return;
        }
        // The first ping may just have been lost. Repeating it keeps false suspicions rare at 20%
        // packet loss, where their refutations would otherwise crowd out other updates.
        self.send(
            Frame::Ping,
            &probe.target,
            probe.sequence,
            status,
            rng,
            actions,
        );
        let intermediaries = self.sample(INDIRECT_PROBES, &[&probe.target], rng);
        for vm in &intermediaries {
            let Some(to) = self.address(vm) else { continue };
            let header = self.header(vm, probe.sequence, status, rng);
            let target = probe.target.clone();
            let frame = Frame::PingReq { header, target };
            actions.push(Action::Send { to, frame });
        }
        self.probe = Some(Probe {
            intermediaries,
            ..probe
        });
    }

    fn start_probe(
        &mut self,
        now: Instant,
        status: &Status,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let scale = 1 + self.local_health;
        self.next_probe = now + PROBE_INTERVAL * scale;
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send(Frame::Ping, &target, sequence, status, rng, actions);
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: now + DIRECT_TIMEOUT * scale,
            deadline: now + PROBE_INTERVAL * scale,
            intermediaries: Vec::new(),
        });
    }

    /// Returns the next peer of the probing round that is not dead.
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

    /// Pings a random peer that is dead or unknown.
    fn ping_dead_peer(&mut self, status: &Status, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        let dead = self
            .peers
            .iter()
            .filter(|(_, record)| record.state == State::Dead)
            .map(|(vm, _)| vm)
            .choose(rng)
            .cloned();
        if let Some(vm) = dead {
            let sequence = self.next_sequence();
            self.send(Frame::Ping, &vm, sequence, status, rng, actions);
        }
    }

    /// Returns up to `count` random peers that are not dead.
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

    /// Registers an indirect probe for another peer and returns its sequence number, or `None` if
    /// too many are in progress.
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
            expires: now + PROBE_INTERVAL * (1 + MAX_LOCAL_HEALTH),
        });
        Some(sequence)
    }

    pub(crate) fn degrade_local_health(&mut self) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
