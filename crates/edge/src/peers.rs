//! Heartbeats between nodes, and the resulting view of the other nodes.

use crate::clock;
use crate::cluster::ClusterState;
use crate::departure;
use crate::settings::Settings;
use crate::storage::Storage;
use dogwoodlb_liveness::{interval, Heartbeat, Message, Quota, MAX_MESSAGE_BYTES, MIN_INTERVAL};
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::time::sleep;

mod message;
mod requests;

pub(crate) use requests::{serve, sync_tables, MAX_RELAY_BYTES};

/// The other nodes, as known from their heartbeats.
pub(crate) struct Peers {
    own: RefCell<Heartbeat>,
    peers: RefCell<dogwoodlb_liveness::Peers>,
    /// Limits the departures that other nodes report.
    quota: RefCell<Quota>,
    is_leading: Cell<bool>,
    is_closing: Cell<bool>,
}

impl Peers {
    pub(crate) fn new(settings: &Settings, boot: u64) -> Self {
        let mut own = Heartbeat::new(&settings.node, settings.peer, settings.front);
        own.boot = boot;
        own.region.clone_from(&settings.region);
        own.centre.clone_from(&settings.centre);
        own.cpu_millis = settings.cpu_millis();
        own.serving = false;
        let mut peers = dogwoodlb_liveness::Peers::new(&settings.node);
        for contact in settings.seed_peers() {
            peers.add_contact(contact, clock::now());
        }
        Self {
            own: RefCell::new(own),
            peers: RefCell::new(peers),
            quota: RefCell::default(),
            is_leading: Cell::new(false),
            is_closing: Cell::new(false),
        }
    }

    pub(crate) fn add_contact(&self, peer: SocketAddr) {
        if peer != self.own.borrow().peer {
            self.peers.borrow_mut().add_contact(peer, clock::now());
        }
    }

    /// Sets whether the node leads a service, which shortens its heartbeat interval.
    pub(crate) fn set_leading(&self, is_leading: bool) {
        self.is_leading.set(is_leading);
    }

    pub(crate) fn is_leading(&self) -> bool {
        self.is_leading.get()
    }

    /// Returns the number of known nodes, including this one.
    pub(crate) fn node_count(&self) -> usize {
        self.peers.borrow().targets().count() + 1
    }

    /// Marks the node as leaving: callers are no longer directed to it, and it hands its
    /// services over.
    pub(crate) fn set_leaving(&self) {
        self.own.borrow_mut().leaving = true;
    }

    /// Marks the node as closing: it only finishes the requests in flight.
    pub(crate) fn set_closing(&self) {
        self.is_closing.set(true);
    }

    /// Returns whether the node only finishes the requests in flight.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.own.borrow().leaving
    }

    /// Returns whether another node is alive.
    pub(crate) fn is_live(&self, node: &str) -> bool {
        self.peers.borrow().is_live(node, clock::now())
    }

    /// Returns whether heartbeats of another node have been received and have stopped. False for a
    /// node that has never been heard, which may only be new to this one.
    pub(crate) fn is_silent(&self, node: &str) -> bool {
        let peers = self.peers.borrow();
        peers.heartbeat(node).is_some() && !peers.is_live(node, clock::now())
    }

    /// Returns whether another node is eligible to lead a service.
    pub(crate) fn is_eligible(&self, node: &str) -> bool {
        self.peers.borrow().is_eligible(node, clock::now())
    }

    /// Returns the number of other nodes that precede this one as candidates for a service.
    pub(crate) fn rank(&self, service: &str) -> usize {
        let own = self.own.borrow();
        self.peers.borrow().rank(service, &own, clock::now())
    }

    /// Returns whether this node may become a leader.
    pub(crate) fn can_lead(&self) -> bool {
        let own = self.own.borrow();
        own.serving && own.has_store && !own.leaving
    }

    /// Returns the caller addresses of the nodes in a region, including this node, or of all
    /// nodes if the region has none.
    pub(crate) fn front_addresses(&self, region: &str) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let own = self.own.borrow();
        let own = Some(&*own).filter(|own| own.serving && !own.leaving);
        let serving: Vec<&Heartbeat> = peers.routable(clock::now()).chain(own).collect();
        let in_region = serving
            .iter()
            .filter(|heartbeat| heartbeat.region == region);
        let in_region: Vec<SocketAddr> = in_region.map(|heartbeat| heartbeat.front).collect();
        if in_region.is_empty() {
            serving.iter().map(|heartbeat| heartbeat.front).collect()
        } else {
            in_region
        }
    }

    /// Sends heartbeats until the task is aborted.
    pub(crate) async fn send_heartbeats(
        &self,
        socket: &UdpSocket,
        storage: &Storage,
        cluster: &ClusterState,
    ) {
        loop {
            let now = clock::now();
            let (message, targets, pause) = {
                let peers = self.peers.borrow();
                let targets: Vec<SocketAddr> = peers.targets().collect();
                let default_interval = interval(targets.len() + 1);
                let pause = if self.is_leading.get() {
                    MIN_INTERVAL
                } else {
                    default_interval
                };
                let mut own = self.own.borrow_mut();
                own.sequence += 1;
                own.interval_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                own.has_store = storage.is_reachable(now);
                own.near_store = storage.is_same_region();
                own.serving = cluster.config().is_some();
                let message = Message {
                    heartbeat: own.clone(),
                    departures: cluster.outbox.borrow_mut().next_departures(now, pause),
                };
                (message.encode(), targets, pause)
            };
            self.peers.borrow_mut().tick(now, pause);
            match message {
                Ok(message) => {
                    for target in targets {
                        // Send errors are ignored: the next heartbeat replaces a lost one.
                        let _ = socket.try_send_to(&message, target);
                    }
                }
                Err(error) => tracing::error!(%error, "heartbeat_not_encoded"),
            }
            sleep(pause).await;
        }
    }

    /// Receives heartbeats until the task is aborted.
    pub(crate) async fn receive_heartbeats(&self, socket: &UdpSocket, cluster: &ClusterState) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            let length = match socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    tracing::debug!(%error, "heartbeat_not_received");
                    sleep(MIN_INTERVAL).await;
                    continue;
                }
            };
            match Message::decode(&buffer[..length]) {
                Ok(message) => self.on_message(message, cluster),
                Err(error) => tracing::debug!(%error, "heartbeat_not_decoded"),
            }
        }
    }

    fn on_message(&self, message: Message, cluster: &ClusterState) {
        let now = clock::now();
        let (node, boot) = (message.heartbeat.node.clone(), message.heartbeat.boot);
        if node == self.own.borrow().node {
            return;
        }
        if self.peers.borrow_mut().on_heartbeat(message.heartbeat, now) {
            tracing::info!(node, boot, "peer_discovered");
        }
        for departure in &message.departures {
            let (replica, born_ms) = (departure.replica.as_str(), departure.born_ms);
            let is_known = cluster
                .directory()
                .has_announced_departure(replica, born_ms);
            if !is_known && self.quota.borrow_mut().accept(now) {
                departure::on_report(cluster, departure);
            }
        }
    }

    /// Returns whether there are live peers and none of them reaches the store. Without live peers
    /// it returns `false`.
    pub(crate) fn is_store_down(&self) -> bool {
        let peers = self.peers.borrow();
        let mut live = peers.live(clock::now()).peekable();
        live.peek().is_some() && live.all(|heartbeat| !heartbeat.has_store)
    }

    /// Returns a random live peer that reaches the store.
    fn random_peer_with_store(&self) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let live = peers.live(clock::now());
        let with_store = live
            .filter(|heartbeat| heartbeat.has_store)
            .map(|heartbeat| heartbeat.peer);
        with_store.choose(&mut rand::rng())
    }

    /// Returns a random live peer that reaches the store, or else any known node.
    fn random_peer(&self) -> Option<SocketAddr> {
        self.random_peer_with_store().or_else(|| {
            let peers = self.peers.borrow();
            peers.targets().choose(&mut rand::rng())
        })
    }
}
