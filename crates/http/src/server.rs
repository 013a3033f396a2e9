use crate::body::{Aborted, HandlerOutcome, HttpResponse, ResponseBody};
use crate::error::Inner;
use crate::io::Connection;
use crate::{Request, Responder, Response, Result};
use dogwoodlb_types::{Code, Refusal};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The stack size of the I/O threads and of the handler threads, up to `max_requests` at a time.
const THREAD_STACK_BYTES: usize = 512 * 1024;
const IO_THREADS: usize = 2;
/// The smallest buffer size that `hyper` accepts; it panics on smaller ones.
const MIN_HYPER_BUFFER_BYTES: usize = 8192;
/// The pause after a failed `accept`, which can fail repeatedly, for example while the process has
/// no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles requests. Each call runs on its own thread.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and sends the response through `responder`.
    fn handle(&self, request: &Request, responder: Responder);
}

/// The resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait in the kernel's accept queue.
    pub max_connections: usize,
    /// The maximum number of concurrent requests; further ones are refused with `overloaded`.
    pub max_requests: usize,
    /// The maximum size of a request head; values below 8,192 have no effect.
    pub max_head_bytes: usize,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The maximum time for a client to send a request head, including idle time between requests.
    pub head_timeout: Duration,
    /// The maximum time for a client to send a request body.
    pub body_timeout: Duration,
    /// The maximum time that a write may be blocked because the client doesn't read.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_requests: 512,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    runtime: Mutex<Option<Runtime>>,
}

struct Shared {
    limits: Limits,
    handler: Arc<dyn Handler>,
    connection_permits: Arc<Semaphore>,
    request_permits: Arc<Semaphore>,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight from its arrival until its response has been sent completely.
struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Server {
    /// Starts to serve connections of `listener` until [`shutdown`](Server::shutdown).
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the listener or the runtime can't be set up.
    pub fn start(listener: TcpListener, limits: Limits, handler: Arc<dyn Handler>) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .max_blocking_threads(limits.max_requests + 1)
            .thread_name("http")
            .thread_stack_size(THREAD_STACK_BYTES)
            .enable_all()
            .build()
            .map_err(Inner::Io)?;
        listener.set_nonblocking(true).map_err(Inner::Io)?;
        let address = listener.local_addr().map_err(Inner::Io)?;
        let shared = Arc::new(Shared {
            limits,
            handler,
            connection_permits: Arc::new(Semaphore::new(limits.max_connections)),
            request_permits: Arc::new(Semaphore::new(limits.max_requests)),
            in_flight: AtomicUsize::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let listener = {
            let _context = runtime.enter();
            tokio::net::TcpListener::from_std(listener).map_err(Inner::Io)?
        };
        runtime.spawn(accept_connections(listener, shared.clone(), stopped));
        Ok(Self {
            address,
            shared,
            stop,
            runtime: Mutex::new(Some(runtime)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in progress, including those whose response is still being
    /// sent.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Stops accepting, closes idle connections, and waits for requests in progress.
    ///
    /// Returns whether all responses were sent completely within `drain_timeout`. The connections
    /// of requests that are still in progress then are aborted.
    pub fn shutdown(&self, drain_timeout: Duration) -> bool {
        let runtime = self
            .runtime
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(runtime) = runtime else {
            return true;
        };
        let _ = self.stop.send(true);
        // Each open connection holds a permit, so acquiring all waits until every connection is closed.
        let permit_count = u32::try_from(self.shared.limits.max_connections).unwrap_or(u32::MAX);
        let connection_permits = self.shared.connection_permits.clone();
        let drained = runtime.block_on(async {
            timeout(drain_timeout, connection_permits.acquire_many(permit_count)).await
        });
        let complete = drained.is_ok();
        runtime.shutdown_background();
        complete
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown(Duration::ZERO);
    }
}

async fn accept_connections(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        // Biased, so that no connection is accepted once the server stops. The semaphore is fair,
        // so a task waiting for a permit may queue behind the shutdown, which acquires all.
        let permit = tokio::select! {
            biased;
            () = wait_for_stop(&mut stopped) => return,
            permit = shared.connection_permits.clone().acquire_owned() => permit,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            biased;
            () = wait_for_stop(&mut stopped) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(
                    stream,
                    peer,
                    shared.clone(),
                    stopped.clone(),
                    permit,
                ));
            }
            Err(error) => {
                tracing::warn!(%error, "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which also stops the connection.
    let _ = stopped.wait_for(|stop| *stop).await;
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let body_unread = Arc::new(AtomicBool::new(false));
    let io = Connection::new(stream, shared.limits.write_timeout, body_unread.clone());
    let io = TokioIo::new(io);
    let limits = shared.limits;
    let service =
        service_fn(move |request| respond(request, peer, shared.clone(), body_unread.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HYPER_BUFFER_BYTES))
        .half_close(false)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let finished = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = wait_for_stop(&mut stopped) => None,
    };
    let result = match finished {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%peer, %error, "connection_failed");
    }
}

async fn respond(
    request: hyper::Request<Incoming>,
    peer: SocketAddr,
    shared: Arc<Shared>,
    body_unread: Arc<AtomicBool>,
) -> std::result::Result<hyper::Response<TrackedBody>, Aborted> {
    let in_flight = InFlightGuard::new(&shared);
    let response = match read_request(request, peer, &shared.limits).await {
        Ok(request) => run_handler(request, &shared).await?,
        Err(refusal) => {
            body_unread.store(true, Ordering::SeqCst);
            refusal_response(&refusal)
        }
    };
    Ok(response.map(|body| TrackedBody {
        body,
        _in_flight: in_flight,
    }))
}

async fn run_handler(request: Request, shared: &Arc<Shared>) -> HandlerOutcome {
    let Ok(permit) = shared.request_permits.clone().try_acquire_owned() else {
        let refusal = Refusal::not_run(Code::Overloaded, "too many requests in progress");
        return Ok(refusal_response(
            &refusal.retry_after(Duration::from_secs(1)),
        ));
    };
    let (sender, receiver) = oneshot::channel();
    let handler = shared.handler.clone();
    tokio::task::spawn_blocking(move || {
        let _permit = permit;
        handler.handle(&request, Responder(sender));
    });
    receiver.await.unwrap_or_else(|_| {
        Ok(refusal_response(&Refusal::may_have_run(
            Code::Invariant,
            "the handler returned without sending a response",
        )))
    })
}

async fn read_request(
    request: hyper::Request<Incoming>,
    peer: SocketAddr,
    limits: &Limits,
) -> std::result::Result<Request, Refusal> {
    let (head, body) = request.into_parts();
    // A body whose `content-length` exceeds the limit is refused before any of it is read.
    if hyper::body::Body::size_hint(&body).lower() > limits.max_body_bytes as u64 {
        return Err(too_large(limits));
    }
    let collected = timeout(
        limits.body_timeout,
        Limited::new(body, limits.max_body_bytes).collect(),
    );
    let body = match collected.await {
        Ok(Ok(body)) => body.to_bytes().to_vec(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(too_large(limits));
        }
        Ok(Err(error)) => {
            let message = format!("the body can't be read: {error}");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Err(_) => {
            let message = format!("the body was not received within {:?}", limits.body_timeout);
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
    };
    let headers = head.headers.iter().map(|(name, value)| {
        (
            name.as_str().to_owned(),
            String::from_utf8_lossy(value.as_bytes()).into_owned(),
        )
    });
    Ok(Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body,
        peer,
    })
}

#[cold]
fn too_large(limits: &Limits) -> Refusal {
    let message = format!("the body is larger than {} bytes", limits.max_body_bytes);
    Refusal::not_run(Code::TooLarge, message)
}

#[cold]
fn refusal_response(refusal: &Refusal) -> HttpResponse {
    tracing::info!(code = ?refusal.code, message = %refusal.message, "request_refused");
    let encoded = Response::refusal(refusal);
    let mut response = hyper::Response::new(ResponseBody::Full(Some(encoded.body.into())));
    *response.status_mut() =
        hyper::StatusCode::from_u16(encoded.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// A response body that keeps its request counted as in flight until it is dropped.
struct TrackedBody {
    body: ResponseBody,
    _in_flight: InFlightGuard,
}

impl hyper::body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = crate::body::Aborted;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<std::result::Result<hyper::body::Frame<Self::Data>, Self::Error>>>
    {
        std::pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
