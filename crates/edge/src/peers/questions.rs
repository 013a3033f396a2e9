//! What nodes ask each other: copies of tables, texts of a former leader, and help with batches
//! while the store does not answer one of them.

use super::Peers;
use crate::archive::Error;
use crate::clock;
use crate::follow::{Follower, Mirrors, Table};
use crate::front::Front;
use crate::leader::Duties;
use crate::reader::Found;
use crate::submit::{Ended, Relayed, Written};
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

/// The largest copy of the tables.
const COPY_BYTES: u32 = 8 * 1024 * 1024;
/// The time between two questions to other nodes while the store is away.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
const ASK_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest time that another node's question for results may wait for one.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// A longer body is not passed to another node.
pub(crate) const RELAY_BYTES: usize = 4 * 1024 * 1024;
/// How long a new leader waits for its predecessor, which may be dead.
const TEXTS_TIMEOUT: Duration = Duration::from_millis(250);

/// What one node asks another.
#[derive(Deserialize, Serialize)]
enum Question {
    /// Copies of the tables that are newer than these versions.
    Copies { operator: u64, replicas: u64 },
    /// The unfinished texts of a service that the sender leads by now.
    Texts { service: String },
    /// Results of a batch, for a caller of a node that the store does not answer.
    Results {
        batch: String,
        after: u32,
        wait_ms: u64,
    },
    /// A batch to accept, from a caller of such a node.
    Batch(Relayed),
    /// A batch to end, for a caller of such a node.
    End { batch: String },
}

/// The copies that are newer than a question says.
#[derive(Default, Deserialize, Serialize)]
struct Copies {
    operator: Option<Copy>,
    replicas: Option<Copy>,
}

#[derive(Deserialize, Serialize)]
struct Copy {
    version: u64,
    rows: Vec<(String, u64, Vec<u8>)>,
}

impl From<&dogwoodlb_mirror::Mirror> for Copy {
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

impl From<Copy> for Vec<Row> {
    fn from(copy: Copy) -> Self {
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
    /// Asks the former leader of a service for its unfinished texts, which makes it stop.
    pub(crate) async fn ask_texts(&self, node: &str, service: &str) -> Vec<ItemText> {
        let peer = self.peers.borrow().heartbeat(node).map(|beat| beat.peer);
        let Some(peer) = peer else {
            return Vec::new();
        };
        let service = service.to_owned();
        let question = Question::Texts { service };
        let asked: io::Result<Vec<ItemText>> = ask(peer, &question, TEXTS_TIMEOUT).await;
        asked.unwrap_or_else(|error| {
            tracing::info!(node, %error, "texts_not_told");
            Vec::new()
        })
    }

    /// Asks a node that reaches the store for results; `None` if no such node answers.
    pub(crate) async fn ask_results(
        &self,
        batch: &str,
        after: u32,
        wait: Duration,
    ) -> Option<Found> {
        let peer = self.any_with_store()?;
        let question = Question::Results {
            batch: batch.to_owned(),
            after,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let asked: io::Result<Option<Found>> = ask(peer, &question, wait + ASK_TIMEOUT).await;
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "results_not_told");
        asked.inspect_err(log).ok().flatten()
    }

    /// Lets a node that reaches the store accept a batch.
    pub(crate) async fn ask_batch(&self, relayed: Relayed, wait: Duration) -> Written {
        let Some(peer) = self.any_with_store() else {
            return Written::Refused;
        };
        let batch = relayed.id.clone();
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "batch_not_relayed");
        let asked = async {
            // Without a connection the batch can't have been stored.
            let Ok(mut stream) = TcpStream::connect(peer).await.inspect_err(log) else {
                return Ok(Written::Refused);
            };
            send(&mut stream, &Question::Batch(relayed)).await?;
            receive(&mut stream).await
        };
        let asked: io::Result<Written> = within(wait, asked).await;
        let written = asked.inspect_err(log).unwrap_or(Written::Unknown);
        tracing::info!(batch, %peer, outcome = written.name(), "batch_relayed");
        written
    }

    /// Lets a node that reaches the store try to end a batch; `None` if it can't tell.
    pub(crate) async fn ask_end(&self, batch: &str) -> Option<Ended> {
        let peer = self.any_with_store()?;
        let question = Question::End {
            batch: batch.to_owned(),
        };
        let asked: io::Result<Option<Ended>> = ask(peer, &question, ASK_TIMEOUT).await;
        let log = |error: &io::Error| tracing::info!(batch, %peer, %error, "end_not_relayed");
        asked.inspect_err(log).ok().flatten()
    }
}

/// Answers other nodes.
pub(crate) async fn serve(
    listener: TcpListener,
    mirrors: Rc<Mirrors>,
    duties: Rc<Duties>,
    front: Rc<Front>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "peer_not_accepted");
                sleep(ASK_INTERVAL).await;
                continue;
            }
        };
        let (mirrors, duties, front) = (mirrors.clone(), duties.clone(), front.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = answer(stream, &mirrors, &duties, &front).await {
                tracing::debug!(%error, "peer_not_answered");
            }
        });
    }
}

async fn answer(
    mut stream: TcpStream,
    mirrors: &Mirrors,
    duties: &Duties,
    front: &Front,
) -> io::Result<()> {
    let newer = |table, version| {
        let mirror = mirrors.of(table).borrow();
        (mirror.version() > version).then(|| Copy::from(&*mirror))
    };
    let question = within(ASK_TIMEOUT, receive(&mut stream)).await?;
    match question {
        Question::Copies { operator, replicas } => {
            let copies = Copies {
                operator: newer(Table::Operator, operator),
                replicas: newer(Table::Replicas, replicas),
            };
            send(&mut stream, &copies).await
        }
        Question::Texts { service } => {
            let texts = duties.surrender(&service);
            send(&mut stream, &texts).await
        }
        Question::Results {
            batch,
            after,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            let found = front.reader.find(&batch, after, wait).await;
            send(&mut stream, &found).await
        }
        Question::Batch(relayed) => {
            let written = front.submitter.accept(&relayed).await;
            send(&mut stream, &written).await
        }
        Question::End { batch } => {
            let tried = front.submitter.try_end(&batch).await;
            let log = |error: &Error| tracing::info!(batch, %error, "end_not_written");
            send(&mut stream, &tried.inspect_err(log).ok()).await
        }
    }
}

/// Asks other nodes for their copies while the store does not answer this one.
pub(crate) async fn copy(follower: &Follower) {
    loop {
        sleep(ASK_INTERVAL).await;
        if follower.storage.is_reached(clock::now()) {
            continue;
        }
        let Some(peer) = follower.peers.any_live() else {
            continue;
        };
        let question = Question::Copies {
            operator: follower.mirrors.of(Table::Operator).borrow().version(),
            replicas: follower.mirrors.of(Table::Replicas).borrow().version(),
        };
        match ask(peer, &question, ASK_TIMEOUT).await {
            Ok(copies) => take_over(follower, peer, copies),
            Err(error) => tracing::debug!(%peer, %error, "peer_not_asked"),
        }
    }
}

/// Asks another node; a time-out is an error like any other.
async fn ask<T: for<'de> Deserialize<'de>>(
    peer: SocketAddr,
    question: &Question,
    limit: Duration,
) -> io::Result<T> {
    let asked = async {
        let mut stream = TcpStream::connect(peer).await?;
        send(&mut stream, question).await?;
        receive(&mut stream).await
    };
    within(limit, asked).await
}

async fn within<T>(limit: Duration, asked: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit, asked).await?
}

fn take_over(follower: &Follower, peer: SocketAddr, copies: Copies) {
    let tables = [
        (Table::Operator, copies.operator),
        (Table::Replicas, copies.replicas),
    ];
    for (table, copy) in tables {
        let Some(copy) = copy else { continue };
        let version = copy.version;
        tracing::info!(%peer, table = ?table, version, "copy_taken");
        follower.on_whole(table, copy.into(), version);
    }
}

async fn send<T: Serialize>(stream: &mut TcpStream, value: &T) -> io::Result<()> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let written = async {
        stream.write_u32(length).await?;
        stream.write_all(&bytes).await
    };
    within(ASK_TIMEOUT, written).await
}

async fn receive<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > COPY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
