use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// The maximum time to read and discard the rest of a refused request body.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A TCP connection whose writes time out if the client doesn't read.
pub(crate) struct Connection {
    stream: TcpStream,
    write_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether a request was refused before its whole body was read.
    body_unread: Arc<AtomicBool>,
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    pub(crate) fn new(
        stream: TcpStream,
        write_timeout: Duration,
        body_unread: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            write_timeout,
            write_timer: None,
            body_unread,
            linger_timer: None,
        }
    }

    /// Reads and discards data until the client closes the connection or the time limit expires.
    ///
    /// Closing a socket with unread data resets the connection, and the client may receive the
    /// reset before it has read the refusal.
    fn linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut buffer = [0; 16 * 1024];
        loop {
            let timer = self
                .linger_timer
                .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
            if timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut buffer);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                _ => return Poll::Ready(Ok(())),
            }
        }
    }

    /// Fails a write that has been pending for longer than the write timeout.
    fn apply_write_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, data);
        self.apply_write_timeout(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.apply_write_timeout(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            let result = Pin::new(&mut self.stream).poll_shutdown(context);
            ready!(self.apply_write_timeout(context, result))?;
        }
        if self.body_unread.load(Ordering::SeqCst) {
            return self.linger(context);
        }
        Poll::Ready(Ok(()))
    }
}
