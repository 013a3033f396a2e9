use crate::api::Api;
use crate::error::Inner;
use crate::lease_manager::LeaseManager;
use crate::metrics::Metrics;
use crate::peers::{self, Queries};
use crate::pool::ThreadPool;
use crate::shared::{Shared, SharedParts};
use crate::{adoption, cleaner, lock, watch, Error, Platform, Result};
use dogwoodlb_http::{Limits, Server};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_member::DrainAction;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of samples that a node generates concurrently for all trainers.
const SAMPLER_THREADS: usize = 128;

/// Threads for short calls: orders to load weights, reads of load and weights, proposals, and
/// writes of the outcomes of calls with an idempotency key.
const WORKER_THREADS: usize = 32;

/// Queue capacity for short calls: a commit contacts all nodes at once, and a weight swap reads
/// all replicas. A smaller queue would drop the same calls in every round.
const WORKER_QUEUE_CAPACITY: usize = 4096;

/// Interval between checks of the progress of a shutdown.
const TICK: Duration = Duration::from_millis(50);
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Grace period for connections to close after the last request was answered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    server: Server,
    socket: Arc<UdpSocket>,
}

impl Node {
    /// Opens the sockets of a node and starts its threads.
    ///
    /// All random choices of the node derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be opened or a thread can't be started.
    pub fn start(settings: Settings, platform: Platform, seed: u64) -> Result<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let listen_error = |address| move |cause| Error::from(Inner::Listen { address, cause });
        let listener =
            TcpListener::bind(settings.address).map_err(listen_error(settings.address))?;
        let peer_listener =
            TcpListener::bind(settings.peer).map_err(listen_error(settings.peer))?;
        peer_listener
            .set_nonblocking(true)
            .map_err(listen_error(settings.peer))?;
        let socket = UdpSocket::bind(settings.peer).map_err(listen_error(settings.peer))?;
        socket
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .map_err(listen_error(settings.peer))?;
        let parts = SharedParts {
            metrics: Metrics::new(settings.statsd).map_err(Inner::Metrics)?,
            rng: SmallRng::seed_from_u64(rng.next_u64()),
            samplers: ThreadPool::new("sample", SAMPLER_THREADS, SAMPLER_THREADS)
                .map_err(Inner::Thread)?,
            workers: ThreadPool::new("worker", WORKER_THREADS, WORKER_QUEUE_CAPACITY)
                .map_err(Inner::Thread)?,
            settings,
            platform,
        };
        let shared = Arc::new(Shared::new(parts));
        let socket = Arc::new(socket);
        spawn_all(&shared, &socket, peer_listener, &mut rng).map_err(Inner::Thread)?;
        let handler = Arc::new(Api(shared.clone()));
        let server = Server::start(listener, Limits::default(), handler).map_err(Inner::Http)?;
        shared
            .recorder
            .record(shared.timestamp(), "node_started", |event| {
                event
                    .with("address", server.address())
                    .with("incarnation", shared.incarnation)
            });
        Ok(Self {
            shared,
            server,
            socket,
        })
    }

    /// Returns the HTTP address of the node.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts a graceful shutdown. Calling it again has no effect.
    pub fn drain(&self) {
        peers::begin_drain(&self.shared);
    }

    /// Blocks until the graceful shutdown is complete.
    ///
    /// Returns the number of interrupted requests, which is 0 unless a request ran past the
    /// maximum deadline.
    pub fn join(&self) -> usize {
        loop {
            thread::sleep(TICK);
            let now = self.shared.now();
            let in_flight = self
                .shared
                .in_flight
                .load(Ordering::SeqCst)
                .max(self.server.in_flight());
            let released = lock(&self.shared.leases)
                .iter()
                .all(|lease| LeaseManager::is_released(lease));
            if released && self.shared.releasing.load(Ordering::SeqCst) {
                lock(&self.shared.drain).on_released();
            }
            let mut actions = std::mem::take(&mut *lock(&self.shared.drain_actions));
            actions.extend(lock(&self.shared.drain).tick(now, in_flight));
            for action in actions {
                if let Some(interrupted) = self.execute(action) {
                    return interrupted;
                }
            }
        }
    }

    fn execute(&self, action: DrainAction) -> Option<usize> {
        let shared = &self.shared;
        shared
            .recorder
            .record(shared.timestamp(), "drain", |event| {
                event.with("step", format!("{action:?}"))
            });
        match action {
            DrainAction::Announce => self.announce(false),
            // The endpoints check the drain state themselves. Trainer calls are refused from now
            // on, so leases are released early to let another node take ownership, while customer
            // requests may still run for a long time.
            DrainAction::Refuse | DrainAction::ReleaseLeases => {
                shared.releasing.store(true, Ordering::SeqCst)
            }
            DrainAction::Exit { interrupted } => {
                self.announce(true);
                self.server.shutdown(CLOSE_TIMEOUT);
                shared.stopped.store(true, Ordering::SeqCst);
                return Some(interrupted);
            }
        }
        None
    }

    /// Announces to the other nodes that this node is leaving or, if `has_stopped`, has stopped.
    fn announce(&self, has_stopped: bool) {
        let shared = &self.shared;
        let status = peers::status(shared);
        let mut rng = lock(&shared.rng);
        let mut members = lock(&shared.members);
        let actions = match has_stopped {
            true => members.announce_stopped(&status, &mut *rng),
            false => members.announce_leaving(&status, &mut *rng),
        };
        drop((members, rng));
        peers::execute(shared, &self.socket, actions);
    }

    /// Stops the node immediately, as a crash would.
    pub fn kill(self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.server.shutdown(Duration::ZERO);
    }
}

fn spawn_all(
    shared: &Arc<Shared>,
    socket: &Arc<UdpSocket>,
    peer_listener: TcpListener,
    rng: &mut SmallRng,
) -> io::Result<()> {
    let queries = Arc::new(Mutex::new(Queries::default()));
    let mut next_rng = || SmallRng::seed_from_u64(rng.next_u64());
    let (state, mut rng) = (shared.clone(), next_rng());
    spawn("adopt", move || adoption::run(&state, &mut rng))?;
    let (state, udp, pending_queries, mut rng) =
        (shared.clone(), socket.clone(), queries.clone(), next_rng());
    spawn("receive", move || {
        peers::receive(&state, &udp, &pending_queries, &mut rng)
    })?;
    let (state, udp, pending_queries, mut rng) =
        (shared.clone(), socket.clone(), queries, next_rng());
    spawn("member", move || {
        peers::tick(&state, &udp, &pending_queries, &mut rng)
    })?;
    let state = shared.clone();
    spawn("propose", move || {
        peers::serve_proposals(&state, &peer_listener)
    })?;
    let state = shared.clone();
    spawn("clean", move || cleaner::run(&state))?;
    let state = shared.clone();
    spawn("watch", move || watch::run(&state))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map(drop)
}
