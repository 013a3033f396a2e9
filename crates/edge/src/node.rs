//! Assembles and runs a node.

use crate::batch_store::BatchStore;
use crate::cache::Cache;
use crate::clock;
use crate::cluster::ClusterState;
use crate::context::NodeContext;
use crate::duty;
use crate::error::Error;
use crate::forward::Forwarder;
use crate::front::{
    self, DirectoryHandler, FrontHandler, Handler, MetricsHandler, ReadinessHandler,
};
use crate::leader::{LeaderElection, LedServices};
use crate::metrics::Metrics;
use crate::outcome_writer::WriterContext;
use crate::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::reader::BatchReader;
use crate::routing::ServiceRouters;
use crate::score::ScoreClient;
use crate::settings::Settings;
use crate::storage::{self, Storage, SHARED};
use crate::submit::Submitter;
use crate::table_watcher::{Mirrors, Table, TableWatcher};
use crate::task::Supervisor;
use crate::usage::UsageMeter;
use crate::waiting::ServiceQueues;
use dogwoodlb_client::Client;
use dogwoodlb_external::store::Txn;
use dogwoodlb_external::MetadataStore;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

mod drain;
mod reload;

const REGISTER_RETRY: Duration = Duration::from_millis(400);
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);

/// A command to a running node.
#[derive(Clone, Debug)]
pub enum Command {
    /// Apply changed settings.
    Reload(Box<Settings>),
    /// Drain and stop.
    Stop,
}

/// The dependencies of a node that differ between platforms and tests.
pub struct Dependencies {
    /// The settings.
    pub settings: Settings,
    /// Encodes and decodes the platform's messages.
    pub protocol: Rc<dyn Protocol>,
    /// The metadata store.
    pub store: Rc<dyn MetadataStore>,
    /// The HTTP client for replicas.
    pub client: Client,
}

/// A node whose listeners are bound and which is ready to run.
pub struct Node {
    context: Rc<NodeContext>,
    watcher: Rc<TableWatcher>,
    routers: Rc<ServiceRouters>,
    front: Rc<FrontHandler>,
    listeners: Listeners,
    boot: u64,
}

struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
    heartbeats: UdpSocket,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Listen { address, cause })
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, Error> {
        let address = settings.peer;
        let heartbeats = UdpSocket::bind(address).await;
        Ok(Self {
            front: listen(settings.front).await?,
            ready: listen(settings.ready).await?,
            directory: listen(settings.directory).await?,
            metrics: listen(settings.metrics).await?,
            peers: listen(address).await?,
            heartbeats: heartbeats.map_err(|cause| Error::Listen { address, cause })?,
        })
    }
}

impl Node {
    /// Binds the listeners and assembles the node. Must be called within a
    /// [`LocalSet`](tokio::task::LocalSet).
    ///
    /// # Errors
    ///
    /// [`Error`] if a listener can't be bound, a name in the settings is invalid, or a metric
    /// can't be registered.
    pub async fn start(dependencies: Dependencies) -> Result<Self, Error> {
        let listeners = Listeners::bind(&dependencies.settings).await?;
        let settings = Rc::new(dependencies.settings);
        let boot = clock::wall_clock_ms();
        tracing::info!(node = settings.node, boot, front = %settings.front, "started");
        let metrics = Rc::new(Metrics::new()?);
        let request_id = dependencies.protocol.headers().request_id.clone();
        let client = dependencies.client.with_id_header(request_id);
        let cluster = Rc::new(ClusterState::new(metrics.clone()));
        let storage = Rc::new(Storage::new(dependencies.store));
        let peers = Rc::new(Peers::new(&settings, boot));
        let routers = Rc::new(ServiceRouters::new(&settings, cluster.clone())?);
        let batch_store = Rc::new(BatchStore {
            storage: storage.clone(),
            cluster: cluster.clone(),
            cache: Cache::default(),
        });
        let watcher = Rc::new(TableWatcher {
            storage: storage.clone(),
            protocol: dependencies.protocol.clone(),
            cluster: cluster.clone(),
            mirrors: Rc::new(Mirrors::default()),
            peers: peers.clone(),
        });
        let context = Rc::new(NodeContext {
            batch_store: batch_store.clone(),
            client: client.clone(),
            writer_context: WriterContext {
                batch_store,
                cluster: cluster.clone(),
                metrics: metrics.clone(),
                storage: storage.clone(),
            },
            protocol: dependencies.protocol.clone(),
            cluster: cluster.clone(),
            metrics,
            peers,
            score_client: ScoreClient {
                client,
                protocol: dependencies.protocol,
                routers: routers.clone(),
                cluster,
            },
            usage: Rc::new(UsageMeter::new(&settings)),
            settings,
            storage,
            supervisor: Supervisor::new(),
            watcher: watcher.clone(),
        });
        let front = Rc::new(front_handler(&context, &routers));
        Ok(Self {
            context,
            watcher,
            routers,
            front,
            listeners,
            boot,
        })
    }

    /// Serves until it receives [`Command::Stop`] or the channel is closed, then drains.
    ///
    /// # Errors
    ///
    /// [`Error::Panic`] at once if a background task panics. The caller should end the process.
    pub async fn run(self, commands: mpsc::Receiver<Command>) -> Result<(), Error> {
        let context = self.context.clone();
        tokio::select! {
            () = self.serve_until_stopped(commands) => Ok(()),
            task = context.supervisor.panicked_task() => Err(Error::Panic { task }),
        }
    }

    async fn serve_until_stopped(self, mut commands: mpsc::Receiver<Command>) {
        let (shutdown, _) = watch::channel(false);
        let Self {
            context,
            watcher,
            routers,
            front,
            listeners,
            boot,
        } = self;
        let led_services = Rc::new(LedServices::default());
        serve_all(
            &context,
            front.clone(),
            listeners,
            &shutdown,
            &watcher,
            &led_services,
        );
        let supervisor = &context.supervisor;
        for table in [Table::Operator, Table::Replicas, Table::Shared] {
            supervisor.spawn("table_watcher", watcher.clone().run(table));
        }
        supervisor.spawn("table_copies", async move {
            peers::sync_tables(&watcher).await;
        });
        supervisor.spawn("registration", register(context.clone()));
        supervisor.spawn("housekeeping", run_housekeeping(context.clone(), routers));
        let election = LeaderElection::new(context.clone(), led_services.clone());
        supervisor.spawn("election", election.run());
        duty::start(&context, &led_services, boot);
        while let Some(Command::Reload(settings)) = commands.recv().await {
            reload::reload(&context, &settings);
        }
        drain::run(&context, &front, &led_services, &shutdown).await;
    }
}

fn front_handler(context: &Rc<NodeContext>, routers: &Rc<ServiceRouters>) -> FrontHandler {
    let (protocol, cluster) = (context.protocol.clone(), context.cluster.clone());
    FrontHandler {
        address: context.settings.front,
        forwarder: Forwarder {
            client: context.client.clone(),
            protocol: protocol.clone(),
            routers: routers.clone(),
            queues: ServiceQueues::new(routers.clone(), context.metrics.clone()),
            metrics: context.metrics.clone(),
            usage: context.usage.clone(),
            drain_admission: watch::Sender::default(),
        },
        reader: BatchReader {
            batch_store: context.batch_store.clone(),
            protocol: protocol.clone(),
            cluster: cluster.clone(),
            peers: context.peers.clone(),
            storage: context.storage.clone(),
        },
        submitter: Submitter {
            batch_store: context.batch_store.clone(),
            protocol: protocol.clone(),
            cluster: cluster.clone(),
            metrics: context.metrics.clone(),
            node: context.settings.node.clone(),
            peers: context.peers.clone(),
            storage: context.storage.clone(),
            watcher: context.watcher.clone(),
        },
        protocol,
        cluster,
        in_flight: Rc::default(),
        pending_ends: Rc::default(),
        open_connections: Rc::default(),
        rejections: front::RejectionLog::default(),
        aborting: watch::channel(false).0,
    }
}

fn serve_all(
    context: &Rc<NodeContext>,
    front: Rc<FrontHandler>,
    listeners: Listeners,
    shutdown: &watch::Sender<bool>,
    watcher: &Rc<TableWatcher>,
    led_services: &Rc<LedServices>,
) {
    let protocol = context.protocol.clone();
    let readiness = ReadinessHandler {
        protocol: protocol.clone(),
        cluster: context.cluster.clone(),
        peers: context.peers.clone(),
    };
    let directory = DirectoryHandler {
        protocol,
        peers: context.peers.clone(),
        settings: context.settings.clone(),
    };
    let metrics = MetricsHandler {
        metrics: context.metrics.clone(),
    };
    let open_connections = front.open_connections.clone();
    serve(
        context,
        listeners.front,
        front.clone(),
        shutdown,
        open_connections,
    );
    serve(
        context,
        listeners.ready,
        Rc::new(readiness),
        shutdown,
        Rc::default(),
    );
    serve(
        context,
        listeners.directory,
        Rc::new(directory),
        shutdown,
        Rc::default(),
    );
    serve(
        context,
        listeners.metrics,
        Rc::new(metrics),
        shutdown,
        Rc::default(),
    );
    let mirrors = watcher.mirrors.clone();
    let peers = peers::serve(listeners.peers, mirrors, led_services.clone(), front);
    context.supervisor.spawn("peer_listener", peers);
    exchange_heartbeats(context, listeners.heartbeats);
}

fn exchange_heartbeats(context: &Rc<NodeContext>, socket: UdpSocket) {
    let sender = (context.clone(), Rc::new(socket));
    let receiver = sender.clone();
    context.supervisor.spawn("heartbeat_sender", async move {
        let (context, socket) = sender;
        let NodeContext {
            peers,
            storage,
            cluster,
            ..
        } = &*context;
        peers.send_heartbeats(&socket, storage, cluster).await;
    });
    context.supervisor.spawn("heartbeat_receiver", async move {
        let (context, socket) = receiver;
        let NodeContext { peers, cluster, .. } = &*context;
        peers.receive_heartbeats(&socket, cluster).await;
    });
}

fn serve<H: Handler + 'static>(
    context: &NodeContext,
    listener: TcpListener,
    handler: Rc<H>,
    shutdown: &watch::Sender<bool>,
    open_connections: Rc<Cell<usize>>,
) {
    let listener = front::serve(
        listener,
        handler,
        context.cluster.clone(),
        shutdown.subscribe(),
        open_connections,
    );
    context.supervisor.spawn("listener", listener);
}

/// Registers the node in the store, so that the other nodes find it.
async fn register(context: Rc<NodeContext>) {
    let key = storage::node_key(&context.settings.node);
    let value = context.settings.peer.to_string().into_bytes();
    let txn = Txn::default().put(SHARED, &key, value);
    while let Err(error) = context.storage.commit(&txn).await {
        tracing::debug!(%error, "not_registered");
        sleep(REGISTER_RETRY).await;
    }
    tracing::info!(node = context.settings.node, "registered");
}

/// Expires replicas and updates the routers and the gauges, after each change and at a fixed
/// interval.
async fn run_housekeeping(context: Rc<NodeContext>, routers: Rc<ServiceRouters>) {
    let mut changes = context.cluster.changes();
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep(HOUSEKEEPING_INTERVAL) => {}
        }
        let expired = context.cluster.directory.borrow_mut().expire(clock::now());
        for replica in expired {
            tracing::info!(replica, "replica_expired");
        }
        routers.update();
        let metrics = &context.metrics;
        let gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        metrics
            .connections
            .set(gauge(context.client.connections_opened()));
        metrics.store_calls.set(gauge(context.storage.calls.get()));
        metrics
            .store_failures
            .set(gauge(context.storage.failures.get()));
    }
}
