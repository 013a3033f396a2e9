//! A simulated cluster in virtual time, with packet loss, pauses, restarts and partitions.

use dogwoodlb_member::{Action, Membership, Peer};
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{from_slice, to_vec, Status};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
/// Size of the IPv4 and UDP headers, which count towards the byte budget.
const PACKET_OVERHEAD: usize = 28;

#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum NodeStatus {
    Running,
    PausedUntil(u64),
    Down,
}

pub(crate) struct Cluster {
    pub(crate) now_ms: u64,
    pub(crate) loss: f64,
    /// The side of the partition that each node is on.
    pub(crate) side: Vec<usize>,
    /// Two nodes that cannot exchange frames.
    pub(crate) blocked_pair: [usize; 2],
    pub(crate) status: Vec<NodeStatus>,
    pub(crate) nodes: Vec<Membership>,
    /// The number of bytes sent and received by each node.
    pub(crate) bytes: Vec<(usize, usize)>,
    pub(crate) rng: SmallRng,
    /// The frames in flight by arrival time and number: sender, receiver and content.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    /// The number of frames sent and not lost; numbers the frames in flight.
    frames: u64,
}

pub(crate) fn vm(index: usize) -> id::Vm {
    format!("entry-{index:03}").parse().unwrap()
}

pub(crate) fn peer(index: usize) -> Peer {
    let address = ([127, 0, 0, 1], 10_000 + index as u16).into();
    Peer {
        vm: vm(index),
        address,
    }
}

impl Cluster {
    /// Creates a cluster and lets it run for 15 s, so that the nodes discover each other.
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now_ms: 100_000,
            loss: 0.0,
            side: vec![0; size],
            blocked_pair: [usize::MAX; 2],
            status: vec![NodeStatus::Running; size],
            nodes: Vec::new(),
            bytes: vec![(0, 0); size],
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            frames: 0,
        };
        cluster.nodes = (0..size).map(|index| cluster.start_node(index)).collect();
        cluster.advance(15_000);
        cluster
    }

    fn start_node(&mut self, index: usize) -> Membership {
        let peers: Vec<Peer> = (0..self.side.len()).map(peer).collect();
        let incarnation = id::Incarnation(1_700_000_000_000 + self.now_ms);
        let mut node = Membership::new(vm(index), incarnation, &mut self.rng);
        node.set_peers(&peers, &mut self.rng).unwrap();
        node
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.nodes[index] = self.start_node(index);
        self.status[index] = NodeStatus::Running;
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        let is_running = |index: &usize| self.status[*index] == NodeStatus::Running;
        (0..self.nodes.len()).filter(is_running).collect()
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            for status in &mut self.status {
                if matches!(status, NodeStatus::PausedUntil(until) if *until <= self.now_ms) {
                    *status = NodeStatus::Running;
                }
            }
            self.deliver();
            for index in self.running() {
                if (self.now_ms + index as u64 * STEP_MS).is_multiple_of(TICK_MS) {
                    self.call(index, |node, now, rng| {
                        node.tick(now, &Status::default(), rng)
                    });
                }
            }
        }
    }

    /// Calls a node and transmits the frames that it returns.
    pub(crate) fn call<F>(&mut self, from: usize, call: F)
    where
        F: FnOnce(&mut Membership, Instant, &mut SmallRng) -> Vec<Action>,
    {
        let now = Instant::from_millis(self.now_ms);
        for action in call(&mut self.nodes[from], now, &mut self.rng) {
            let Action::Send { to, frame } = action else {
                continue;
            };
            let bytes = to_vec(&frame).unwrap();
            self.bytes[from].0 += bytes.len() + PACKET_OVERHEAD;
            if !self.rng.random_bool(self.loss) {
                let key = (self.now_ms + self.rng.random_range(1..30), self.frames);
                let to = usize::from(to.port()) - 10_000;
                self.in_flight.insert(key, (from, to, bytes));
                self.frames += 1;
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1, 0));
        for (key, (from, to, bytes)) in std::mem::replace(&mut self.in_flight, later) {
            let is_blocked = self.blocked_pair.contains(&from) && self.blocked_pair.contains(&to);
            if is_blocked || self.side[from] != self.side[to] || self.status[to] == NodeStatus::Down
            {
                continue;
            }
            // The socket of a paused process buffers incoming frames.
            if let NodeStatus::PausedUntil(until) = self.status[to] {
                self.in_flight.insert((until, key.1), (from, to, bytes));
                continue;
            }
            self.bytes[to].1 += bytes.len() + PACKET_OVERHEAD;
            let frame = from_slice(&bytes).unwrap();
            self.call(to, |node, now, rng| {
                node.on_frame(&frame, now, &Status::default(), rng).unwrap()
            });
        }
    }

    /// Returns whether every running node considers exactly the running nodes as live.
    pub(crate) fn is_converged(&self) -> bool {
        let running = self.running();
        let expected: Vec<id::Vm> = running.iter().map(|index| vm(*index)).collect();
        let mut nodes = running.iter().map(|index| &self.nodes[*index]);
        nodes.all(|node| node.live() == expected)
    }

    /// Returns whether any running node considers a node as live.
    pub(crate) fn is_listed(&self, index: usize) -> bool {
        let mut running = self.running().into_iter();
        running.any(|node| self.nodes[node].live().contains(&vm(index)))
    }

    /// Advances until a condition holds; returns the elapsed time.
    pub(crate) fn advance_until(&mut self, limit_ms: u64, is_met: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !is_met(self) {
            let waited = self.now_ms - start_ms;
            assert!(waited < limit_ms, "condition not met after {waited} ms");
            self.advance(100);
        }
        self.now_ms - start_ms
    }
}
