//! A limit on the bytes of a response head.
//!
//! `hyper` limits a single head, but reads on as long as interim responses (1xx) precede it. A
//! server that sends them without end would occupy the only thread of the program.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The maximum size of a response head, with the interim responses before it.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
const UNLIMITED: u64 = u64::MAX;

/// The limit of one connection. It holds from the start of a request until its response head is
/// complete. Once it is reached, the connection pauses until the limit is lifted.
#[derive(Debug)]
pub(crate) struct HeadLimit {
    /// The bytes that may still be read.
    left: Cell<u64>,
    /// The task that reads the connection, if it is paused.
    paused: RefCell<Option<Waker>>,
    reached: Notify,
}

impl HeadLimit {
    fn new() -> Self {
        Self {
            left: Cell::new(UNLIMITED),
            paused: RefCell::default(),
            reached: Notify::new(),
        }
    }

    /// Sets the limit for the head that comes next.
    pub(crate) fn set(&self) {
        self.left.set(MAX_HEAD_BYTES);
    }

    /// Lifts the limit, because the head is complete.
    pub(crate) fn lift(&self) {
        self.left.set(UNLIMITED);
        if let Some(reader) = self.paused.take() {
            reader.wake();
        }
    }

    /// Waits until the limit is reached.
    pub(crate) async fn reached(&self) {
        while self.paused.borrow().is_none() {
            self.reached.notified().await;
        }
    }

    fn pause(&self, reader: &Waker) {
        *self.paused.borrow_mut() = Some(reader.clone());
        self.reached.notify_one();
    }
}

/// A connection whose reads obey a [`HeadLimit`].
pub(crate) struct LimitedStream {
    stream: Take<TcpStream>,
    limit: Rc<HeadLimit>,
}

impl LimitedStream {
    /// Wraps a connection. Its limit is not set yet.
    pub(crate) fn new(stream: TcpStream) -> (Self, Rc<HeadLimit>) {
        let limit = Rc::new(HeadLimit::new());
        let limited = Self {
            stream: stream.take(UNLIMITED),
            limit: limit.clone(),
        };
        (limited, limit)
    }

    fn writer(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let left = this.limit.left.get();
        if left == 0 {
            this.limit.pause(context.waker());
            return Poll::Pending;
        }
        this.stream.set_limit(left);
        let outcome = Pin::new(&mut this.stream).poll_read(context, buffer);
        this.limit.left.set(this.stream.limit());
        outcome
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write(context, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(context)
    }
}
