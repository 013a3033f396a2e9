//! Requests between nodes: table copies, unfinished texts of a previous leader, and relayed
//! requests for batches while a node can't reach the store.

use super::{message, Peers};
use crate::clock;
use crate::front::FrontHandler;
use crate::identity::{Caller, MAX_CONFIG_AGE};
use crate::leader::LedServices;
use crate::reader::Lookup;
use crate::submit::{EndOutcome, RelayedBatch, SubmitOutcome};
use crate::table_watcher::{Mirrors, Table, TableWatcher};
use crate::task;
use dogwoodlb_batch::ItemText;
use dogwoodlb_external::store::Row;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The maximum size of a message.
const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;
/// The interval between requests for table copies while the store can't be reached, and the pause
/// after a failed `accept`.
const PEER_POLL: Duration = Duration::from_millis(300);
/// The default time-out of a request, and of sending or receiving a message.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum time for which a relayed request may wait for results.
const MAX_RESULTS_WAIT: Duration = Duration::from_secs(30);
/// Larger batches are not relayed to another node.
pub(crate) const MAX_RELAY_BYTES: usize = 4 * 1024 * 1024;
/// How long a new leader waits for the texts of its predecessor, which may have failed.
const TEXTS_TIMEOUT: Duration = Duration::from_millis(250);

/// The caller of requests that a node makes for itself.
const NO_CALLER: Caller = Caller::Unrestricted;

/// A request to another node.
#[derive(Deserialize, Serialize)]
pub(super) enum PeerRequest {
    /// Asks for the tables that are newer than the given versions.
    Copies { operator: u64, replicas: u64 },
    /// Asks for the unfinished texts of a service that the sender now leads, in the given term.
    Texts { service: String, term: u64 },
    /// Reads results of a batch for a node that can't reach the store.
    Results {
        batch: String,
        after: u32,
        wait_ms: u64,
    },
    /// Submits a batch for a node that can't reach the store.
    Batch(RelayedBatch),
    /// Ends a batch for a node that can't reach the store.
    End { batch: String },
}

/// The tables that are newer than the requested versions.
#[derive(Default, Deserialize, Serialize)]
struct TableCopies {
    operator: Option<TableCopy>,
    replicas: Option<TableCopy>,
}

#[derive(Deserialize, Serialize)]
struct TableCopy {
    version: u64,
    rows: Vec<(String, u64, Vec<u8>)>,
}

impl From<&dogwoodlb_mirror::Mirror> for TableCopy {
    fn from(mirror: &dogwoodlb_mirror::Mirror) -> Self {
        let rows = mirror.rows();
        Self {
            version: mirror.version(),
            rows: rows
                .map(|row| (row.key.clone(), row.version, row.value.clone()))
                .collect(),
        }
    }
}

impl From<TableCopy> for Vec<Row> {
    fn from(copy: TableCopy) -> Self {
        let row = |(key, version, value)| Row {
            key,
            version,
            value,
            ..Row::default()
        };
        copy.rows.into_iter().map(row).collect()
    }
}

impl Peers {
    /// Fetches the unfinished texts of a service from its previous leader. On this request, that
    /// node stops running the service.
    pub(crate) async fn fetch_texts(&self, node: &str, service: &str, term: u64) -> Vec<ItemText> {
        let peer = self
            .peers
            .borrow()
            .heartbeat(node)
            .map(|heartbeat| heartbeat.peer);
        let Some(peer) = peer else {
            return Vec::new();
        };
        let service = service.to_owned();
        let message = PeerRequest::Texts { service, term };
        let response: io::Result<Vec<ItemText>> =
            request(peer, &message, &NO_CALLER, TEXTS_TIMEOUT).await;
        response.unwrap_or_else(|error| {
            tracing::info!(node, %error, "texts_not_received");
            Vec::new()
        })
    }

    /// Reads results through a node that reaches the store. Returns `None` if no such node
    /// answers.
    pub(crate) async fn fetch_results(
        &self,
        batch: &str,
        caller: &Caller,
        after: u32,
        wait: Duration,
    ) -> Option<Lookup> {
        let peer = self.random_peer_with_store()?;
        let message = PeerRequest::Results {
            batch: batch.to_owned(),
            after,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let response: io::Result<Option<Lookup>> =
            request(peer, &message, caller, wait + PEER_TIMEOUT).await;
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "results_not_relayed");
        response.inspect_err(log).ok().flatten()
    }

    /// Submits a batch through a node that reaches the store.
    pub(crate) async fn relay_batch(
        &self,
        relayed: RelayedBatch,
        caller: &Caller,
        wait: Duration,
    ) -> SubmitOutcome {
        let Some(peer) = self.random_peer_with_store() else {
            return SubmitOutcome::Refused;
        };
        let batch = relayed.id.clone();
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "batch_not_relayed");
        let response = async {
            // The batch can't have been stored if no connection was established.
            let Ok(mut stream) = TcpStream::connect(peer).await.inspect_err(log) else {
                return Ok(SubmitOutcome::Refused);
            };
            send_request(&mut stream, &PeerRequest::Batch(relayed), caller).await?;
            receive(&mut stream).await
        };
        let response: io::Result<SubmitOutcome> = with_timeout(wait, response).await;
        let outcome = response.inspect_err(log).unwrap_or(SubmitOutcome::Unknown);
        tracing::info!(batch, %peer, outcome = outcome.name(), "batch_relayed");
        outcome
    }

    /// Tries to end a batch through a node that reaches the store. Returns `None` if the outcome
    /// is unknown.
    pub(crate) async fn relay_end(&self, batch: &str, caller: &Caller) -> Option<EndOutcome> {
        let peer = self.random_peer_with_store()?;
        let message = PeerRequest::End {
            batch: batch.to_owned(),
        };
        let response: io::Result<Option<EndOutcome>> =
            request(peer, &message, caller, PEER_TIMEOUT).await;
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "end_not_relayed");
        response.inspect_err(log).ok().flatten()
    }
}

/// Serves the requests of other nodes.
pub(crate) async fn serve(
    listener: TcpListener,
    mirrors: Rc<Mirrors>,
    led_services: Rc<LedServices>,
    front: Rc<FrontHandler>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "peer_accept_failed");
                sleep(PEER_POLL).await;
                continue;
            }
        };
        let (mirrors, led_services, front) = (mirrors.clone(), led_services.clone(), front.clone());
        task::spawn_isolated("peer_connection", async move {
            if let Err(error) = respond(stream, &mirrors, &led_services, &front).await {
                tracing::debug!(%error, "peer_response_failed");
            }
        });
    }
}

async fn respond(
    mut stream: TcpStream,
    mirrors: &Mirrors,
    led_services: &LedServices,
    front: &FrontHandler,
) -> io::Result<()> {
    let newer = |table, version| {
        let mirror = mirrors.of(table).borrow();
        (mirror.version() > version).then(|| TableCopy::from(&*mirror))
    };
    let bytes = with_timeout(PEER_TIMEOUT, receive_bytes(&mut stream)).await?;
    let (request, caller) = message::decode(&bytes).map_err(io::Error::other)?;
    match request {
        PeerRequest::Copies { operator, replicas } => {
            let copies = TableCopies {
                operator: newer(Table::Operator, operator),
                replicas: newer(Table::Replicas, replicas),
            };
            send(&mut stream, &copies).await
        }
        PeerRequest::Texts { service, term } => {
            let texts = led_services.relinquish(&service, term);
            send(&mut stream, &texts).await
        }
        PeerRequest::Results {
            batch,
            after,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_RESULTS_WAIT);
            let found = front.reader.lookup_for_peer(&batch, &caller, after, wait);
            let found = found.await;
            send(&mut stream, &found).await
        }
        PeerRequest::Batch(relayed) => {
            let outcome = front.submitter.accept_relayed(&relayed, &caller).await;
            send(&mut stream, &outcome).await
        }
        PeerRequest::End { batch } => {
            let ended = front.submitter.end_for_peer(&batch, &caller).await;
            send(&mut stream, &ended).await
        }
    }
}

/// Copies tables from other nodes while this node can't reach the store, and the operator's table
/// also while only its watch gets no answers: a revoked key must not stay in force.
pub(crate) async fn sync_tables(watcher: &TableWatcher) {
    loop {
        sleep(PEER_POLL).await;
        let now = clock::now();
        let is_reachable = watcher.storage.is_reachable(now);
        let confirmed_at = watcher.cluster.config_confirmed_at();
        let is_confirmed = confirmed_at.is_some_and(|at| now.saturating_since(at) < MAX_CONFIG_AGE);
        if is_reachable && is_confirmed {
            continue;
        }
        let Some(peer) = watcher.peers.random_peer() else {
            continue;
        };
        let replicas = watcher.mirrors.of(Table::Replicas).borrow().version();
        let message = PeerRequest::Copies {
            operator: watcher.mirrors.of(Table::Operator).borrow().version(),
            // No table has a newer version.
            replicas: if is_reachable { u64::MAX } else { replicas },
        };
        match request(peer, &message, &NO_CALLER, PEER_TIMEOUT).await {
            Ok(copies) => apply_copies(watcher, peer, copies),
            Err(error) => tracing::debug!(%peer, %error, "peer_request_failed"),
        }
    }
}

/// Sends a request to another node and reads the response within a time limit.
async fn request<T: for<'de> Deserialize<'de>>(
    peer: SocketAddr,
    message: &PeerRequest,
    caller: &Caller,
    limit: Duration,
) -> io::Result<T> {
    let response = async {
        let mut stream = TcpStream::connect(peer).await?;
        send_request(&mut stream, message, caller).await?;
        receive(&mut stream).await
    };
    with_timeout(limit, response).await
}

async fn with_timeout<T>(
    limit: Duration,
    response: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    timeout(limit, response).await?
}

fn apply_copies(watcher: &TableWatcher, peer: SocketAddr, copies: TableCopies) {
    let tables = [
        (Table::Operator, copies.operator),
        (Table::Replicas, copies.replicas),
    ];
    for (table, copy) in tables {
        let Some(copy) = copy else { continue };
        let version = copy.version;
        tracing::info!(%peer, table = ?table, version, "table_copied");
        watcher.apply_snapshot(table, copy.into(), version);
    }
}

async fn send_request(
    stream: &mut TcpStream,
    message: &PeerRequest,
    caller: &Caller,
) -> io::Result<()> {
    let bytes = message::encode(message, caller).map_err(io::Error::other)?;
    send_bytes(stream, &bytes).await
}

async fn send<T: Serialize>(stream: &mut TcpStream, value: &T) -> io::Result<()> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    send_bytes(stream, &bytes).await
}

async fn send_bytes(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let written = async {
        stream.write_u32(length).await?;
        stream.write_all(bytes).await
    };
    with_timeout(PEER_TIMEOUT, written).await
}

async fn receive<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> io::Result<T> {
    let bytes = receive_bytes(stream).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

async fn receive_bytes(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
