use crate::error::Inner;
use crate::{Error, Response, Result};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// The number of chunks of a streamed body that are buffered before writes block.
const STREAM_CHUNKS: usize = 16;

pub(crate) type HttpResponse = hyper::Response<ResponseBody>;

/// A response, or an instruction to close the connection without one.
pub(crate) type HandlerOutcome = std::result::Result<HttpResponse, Aborted>;

/// Sends the response of one request.
///
/// If it is dropped unused, the server responds with status 500.
#[derive(Debug)]
pub struct Responder(pub(crate) oneshot::Sender<HandlerOutcome>);

impl Responder {
    /// Sends a complete response.
    pub fn send(self, response: Response) {
        let body = ResponseBody::Full(Some(response.body.into()));
        self.send_response(response.status, &response.headers, body);
    }

    /// Starts a response whose body is written in chunks, each sent immediately.
    pub fn stream(self, status: u16, headers: &[(&str, &str)]) -> ResponseStream {
        let (chunks, receiver) = mpsc::channel(STREAM_CHUNKS);
        let headers: Vec<_> = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        self.send_response(status, &headers, ResponseBody::Chunks(receiver));
        ResponseStream {
            chunks,
            finished: false,
        }
    }

    /// Returns whether the client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Closes the connection without a response, so that the client can't know the outcome.
    pub fn abort(self) {
        // Sending fails only if the client has disconnected.
        let _ = self.0.send(Err(Aborted));
    }

    fn send_response(self, status: u16, headers: &[(String, String)], body: ResponseBody) {
        let mut builder = hyper::Response::builder().status(status);
        for (name, value) in headers {
            builder = builder.header(name, value);
        }
        // If the status or a header is invalid, the sender is dropped and the server responds with
        // status 500.
        if let Ok(response) = builder.body(body) {
            // Sending fails only if the client has disconnected.
            let _ = self.0.send(Ok(response));
        }
    }
}

/// The body of a streamed response.
///
/// If it is dropped before [`finish`](ResponseStream::finish), the connection is aborted, so that
/// the client can't mistake a partial body for a complete one.
#[derive(Debug)]
pub struct ResponseStream {
    chunks: mpsc::Sender<Chunk>,
    finished: bool,
}

#[derive(Debug)]
pub(crate) enum Chunk {
    Data(Bytes),
    Abort,
    End,
}

impl ResponseStream {
    /// Writes a chunk; blocks while the buffer is full because the client reads too slowly.
    ///
    /// # Errors
    ///
    /// [`Category::Closed`](crate::Category::Closed) if the client has disconnected or has not read
    /// within the write timeout.
    pub fn write(&self, data: &[u8]) -> Result<()> {
        self.chunks
            .blocking_send(Chunk::Data(Bytes::copy_from_slice(data)))
            .map_err(|_| Error::from(Inner::Closed))
    }

    /// Returns whether the client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// [`Category::Closed`](crate::Category::Closed) if the client has disconnected.
    pub fn finish(mut self) -> Result<()> {
        self.finished = true;
        self.chunks
            .blocking_send(Chunk::End)
            .map_err(|_| Error::from(Inner::Closed))
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if !self.finished {
            // If the channel is full, it is closed without `Chunk::End`, which also aborts.
            let _ = self.chunks.try_send(Chunk::Abort);
        }
    }
}

/// The body of a response being sent.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    Chunks(mpsc::Receiver<Chunk>),
}

/// The error that aborts a connection whose response can't be completed.
#[derive(Debug)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Self::Full(body) => Poll::Ready(body.take().map(|data| Ok(Frame::data(data)))),
            Self::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Chunk::End) => None,
                Some(Chunk::Abort) | None => Some(Err(Aborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Self::Full(None) => SizeHint::with_exact(0),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
