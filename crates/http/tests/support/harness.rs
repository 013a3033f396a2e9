//! Helpers that start a server with a closure as its handler and connect raw TCP clients.

use dogwoodlb_http::{Handler, Limits, Request, Responder, Server};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Bounds every wait, so that a hanging test fails; far longer than any wait of a passing test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct ClosureHandler<F>(F);

impl<F: Fn(&Request, Responder) + Send + Sync + 'static> Handler for ClosureHandler<F> {
    fn handle(&self, request: &Request, responder: Responder) {
        (self.0)(request, responder);
    }
}

pub(crate) fn start_server<F>(limits: Limits, handler: F) -> Server
where
    F: Fn(&Request, Responder) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Server::start(listener, limits, Arc::new(ClosureHandler(handler))).unwrap()
}

pub(crate) fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the server closes or resets the connection.
pub(crate) fn read_to_close(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    if let Err(error) = stream.read_to_end(&mut read) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    String::from_utf8(read).unwrap()
}
