//! Assembles a node from its parts.

use crate::archive::Archive;
use crate::cache::Cache;
use crate::clock;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::follow::{Follower, Mirrors, Table};
use crate::forward::Forwarder;
use crate::front::{self, Answer, Directory, Front, Ready, Scrape};
use crate::known::Known;
use crate::leader::{Duties, Leader};
use crate::lister::Context;
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::reader::Reader;
use crate::score::ScoreCaller;
use crate::settings::Settings;
use crate::storage::{self, Storage, SHARED};
use crate::submit::Submitter;
use crate::tools::Tools;
use dogwoodlb_client::Client;
use dogwoodlb_external::store::Txn;
use dogwoodlb_external::Store;
use dogwoodlb_types::Instant;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Callers may keep an answer with addresses for this many times the stated time.
const KEPT_TTLS: u32 = 3;
/// Kept free of the grace time, so that the node has ended before it is killed.
const LAST_MARGIN: Duration = Duration::from_millis(700);
/// Kept for requests under way when duties can't be handed over before.
const FINISH: Duration = Duration::from_millis(500);
/// The time in which requests that are not answered at the end are answered as late.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
const DRAIN_POLL: Duration = Duration::from_millis(50);
const REGISTER_RETRY: Duration = Duration::from_millis(400);
const HOUSEKEEPING: Duration = Duration::from_millis(200);

/// What a running node is told.
#[derive(Clone, Debug)]
pub enum Command {
    /// The settings have changed.
    Reload(Box<Settings>),
    /// Drain and stop.
    Stop,
}

/// What a node is made of that differs between platforms.
pub struct Dependencies {
    /// The settings.
    pub settings: Settings,
    /// The platform's manner of speaking.
    pub protocol: Rc<dyn Protocol>,
    /// The metadata store.
    pub store: Rc<dyn Store>,
    /// The client for replicas.
    pub client: Client,
}

/// A node that listens and is about to serve.
pub struct Node {
    tools: Rc<Tools>,
    follower: Rc<Follower>,
    fleet: Rc<Fleet>,
    front: Rc<Front>,
    listeners: Listeners,
}

struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
    beats: UdpSocket,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Listen { address, cause })
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, Error> {
        let address = settings.peer;
        let beats = UdpSocket::bind(address).await;
        Ok(Self {
            front: listen(settings.front).await?,
            ready: listen(settings.ready).await?,
            directory: listen(settings.directory).await?,
            metrics: listen(settings.metrics).await?,
            peers: listen(address).await?,
            beats: beats.map_err(|cause| Error::Listen { address, cause })?,
        })
    }
}

impl Node {
    /// Opens the listeners and assembles the node. Call it inside a
    /// [`LocalSet`](tokio::task::LocalSet).
    ///
    /// # Errors
    ///
    /// [`Error`] if an address is in use or a name in the settings is not usable.
    pub async fn start(dependencies: Dependencies) -> Result<Self, Error> {
        let listeners = Listeners::bind(&dependencies.settings).await?;
        let settings = Rc::new(dependencies.settings);
        let boot = clock::civil_ms();
        tracing::info!(node = settings.node, boot, front = %settings.front, "started");
        let known = Rc::new(Known::new());
        let metrics = Rc::new(Metrics::new()?);
        let storage = Rc::new(Storage::new(dependencies.store));
        let peers = Rc::new(Peers::new(&settings, boot));
        let fleet = Rc::new(Fleet::new(&settings, known.clone())?);
        let archive = Rc::new(Archive {
            storage: storage.clone(),
            known: known.clone(),
            cache: Cache::default(),
        });
        let follower = Rc::new(Follower {
            storage: storage.clone(),
            protocol: dependencies.protocol.clone(),
            known: known.clone(),
            mirrors: Rc::new(Mirrors::default()),
            peers: peers.clone(),
        });
        let tools = Rc::new(Tools {
            archive: archive.clone(),
            client: dependencies.client.clone(),
            context: Context {
                archive,
                known: known.clone(),
                metrics: metrics.clone(),
                storage: storage.clone(),
            },
            protocol: dependencies.protocol.clone(),
            known: known.clone(),
            metrics,
            peers,
            scores: ScoreCaller {
                client: dependencies.client,
                protocol: dependencies.protocol,
                fleet: fleet.clone(),
                known,
            },
            settings,
            storage,
        });
        let front = Rc::new(front(&tools, &fleet));
        Ok(Self {
            tools,
            follower,
            fleet,
            front,
            listeners,
        })
    }

    /// Serves until a command to stop, or until nobody can send one, then drains.
    pub async fn run(self, mut commands: mpsc::Receiver<Command>) {
        let (end, _) = watch::channel(false);
        let Self {
            tools,
            follower,
            fleet,
            front,
            listeners,
        } = self;
        let duties = Rc::new(Duties::default());
        serve_all(&tools, front.clone(), listeners, &end, &follower, &duties);
        spawn(follow_all(follower));
        spawn(register(tools.clone()));
        spawn(keep_house(tools.clone(), fleet));
        spawn(Leader::new(tools.clone(), duties.clone()).run());
        while let Some(Command::Reload(settings)) = commands.recv().await {
            reload(&tools, &settings);
        }
        drain(&tools, &front, &duties, &end).await;
    }
}

fn spawn(task: impl std::future::Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}

fn front(tools: &Rc<Tools>, fleet: &Rc<Fleet>) -> Front {
    let (protocol, known) = (tools.protocol.clone(), tools.known.clone());
    Front {
        forwarder: Forwarder {
            client: tools.client.clone(),
            protocol: protocol.clone(),
            fleet: fleet.clone(),
            metrics: tools.metrics.clone(),
        },
        reader: Reader {
            archive: tools.archive.clone(),
            protocol: protocol.clone(),
            known: known.clone(),
            peers: tools.peers.clone(),
            storage: tools.storage.clone(),
        },
        submitter: Submitter {
            archive: tools.archive.clone(),
            protocol: protocol.clone(),
            known: known.clone(),
            metrics: tools.metrics.clone(),
            node: tools.settings.node.clone(),
            peers: tools.peers.clone(),
            storage: tools.storage.clone(),
        },
        protocol,
        known,
        in_flight: Cell::new(0),
        open: Rc::default(),
        ending: watch::channel(false).0,
    }
}

fn serve_all(
    tools: &Rc<Tools>,
    front: Rc<Front>,
    listeners: Listeners,
    end: &watch::Sender<bool>,
    follower: &Rc<Follower>,
    duties: &Rc<Duties>,
) {
    let (protocol, known) = (tools.protocol.clone(), tools.known.clone());
    let ready = Ready {
        protocol: protocol.clone(),
        known: known.clone(),
        peers: tools.peers.clone(),
    };
    let directory = Directory {
        protocol,
        peers: tools.peers.clone(),
        settings: tools.settings.clone(),
    };
    let scrape = Scrape {
        metrics: tools.metrics.clone(),
    };
    let open = front.open.clone();
    serve(listeners.front, front.clone(), &known, end, open);
    serve(listeners.ready, Rc::new(ready), &known, end, Rc::default());
    serve(
        listeners.directory,
        Rc::new(directory),
        &known,
        end,
        Rc::default(),
    );
    serve(
        listeners.metrics,
        Rc::new(scrape),
        &known,
        end,
        Rc::default(),
    );
    let mirrors = follower.mirrors.clone();
    spawn(peers::serve(
        listeners.peers,
        mirrors,
        duties.clone(),
        front,
    ));
    let beats = Rc::new(listeners.beats);
    let (tools, socket) = (tools.clone(), beats.clone());
    spawn(async move {
        tools
            .peers
            .beat(&socket, &tools.storage, &tools.known)
            .await
    });
    let peers = follower.peers.clone();
    spawn(async move { peers.listen(&beats).await });
}

fn serve<A: Answer + 'static>(
    listener: TcpListener,
    handler: Rc<A>,
    known: &Rc<Known>,
    end: &watch::Sender<bool>,
    open: Rc<Cell<usize>>,
) {
    spawn(front::serve(
        listener,
        handler,
        known.clone(),
        end.subscribe(),
        open,
    ));
}

async fn follow_all(follower: Rc<Follower>) {
    for table in [Table::Operator, Table::Replicas, Table::Shared] {
        spawn(follower.clone().run(table));
    }
    peers::copy(&follower).await;
}

/// Registers the node in the store, so that others find it.
async fn register(tools: Rc<Tools>) {
    let key = storage::node_key(&tools.settings.node);
    let value = tools.settings.peer.to_string().into_bytes();
    let txn = Txn::default().put(SHARED, &key, value);
    while let Err(error) = tools.storage.commit(&txn).await {
        tracing::debug!(%error, "not_registered");
        sleep(REGISTER_RETRY).await;
    }
    tracing::info!(node = tools.settings.node, "registered");
}

/// Keeps the routers and the gauges up to date.
async fn keep_house(tools: Rc<Tools>, fleet: Rc<Fleet>) {
    let mut changes = tools.known.changes();
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep(HOUSEKEEPING) => {}
        }
        let gone = tools.known.directory.borrow_mut().expire(clock::now());
        for replica in gone {
            tracing::info!(replica, "replica_lapsed");
        }
        fleet.update();
        let metrics = &tools.metrics;
        let gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        metrics
            .connections
            .set(gauge(tools.client.connections_opened()));
        metrics.store_calls.set(gauge(tools.storage.calls.get()));
        metrics
            .store_failures
            .set(gauge(tools.storage.failures.get()));
    }
}

/// Takes over changed settings. New seeds are used at once; all else needs a new start.
fn reload(tools: &Tools, settings: &Settings) {
    for contact in settings.contacts() {
        tools.peers.add_contact(contact);
    }
    let needs_start = Settings {
        seeds: tools.settings.seeds.clone(),
        ..settings.clone()
    } != *tools.settings;
    tracing::info!(needs_start, outcome = "taken", "settings_reloaded");
}

/// Leaves the service: callers learn of it first, requests under way are finished.
async fn drain(tools: &Tools, front: &Front, duties: &Duties, end: &watch::Sender<bool>) {
    let began = clock::now();
    tools.peers.set_leaving();
    tracing::info!(in_flight = front.in_flight.get(), "draining");
    let kept = tools.settings.address_ttl() * KEPT_TTLS;
    let grace = tools.settings.grace().saturating_sub(LAST_MARGIN);
    let until = began + grace;
    sleep(kept.min(grace.saturating_sub(FINISH))).await;
    // Without the store a duty can't be handed over yet.
    wait_until(until - FINISH, || duties.is_empty()).await;
    tools.peers.set_closing();
    tools.known.announce();
    end.send_replace(true);
    // A request that was passed on to a replica may take as long as its route allows, and its
    // caller may read slowly.
    wait_until(until - ANSWER_MARGIN, || front.open.get() == 0).await;
    front.ending.send_replace(true);
    wait_until(until, || front.open.get() == 0).await;
    tracing::info!(
        in_flight = front.in_flight.get(),
        connections = front.open.get(),
        took_ms = clock::now().saturating_since(began).as_millis(),
        "stopped"
    );
}

/// Waits until something is over, or until a moment.
async fn wait_until(until: Instant, is_over: impl Fn() -> bool) {
    while !is_over() && clock::now() < until {
        sleep(DRAIN_POLL).await;
    }
}
