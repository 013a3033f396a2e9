//! A server that reads one request on each connection, sends fixed bytes and closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

/// Bounds every wait, so that a hanging test fails; far longer than any wait of a passing test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts the server. The receiver returns the header and body of each request.
pub(crate) fn start_raw_server(response: &'static str) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            if sender.send(read_request(&mut stream)).is_err() {
                return;
            }
            // The client may have disconnected.
            let _ = stream.write_all(response.as_bytes());
        }
    });
    (address, receiver)
}

/// Reads a request whose body, if any, has a `content-length`.
fn read_request(stream: &mut TcpStream) -> String {
    let mut header = Vec::new();
    let mut byte = [0];
    while !header.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        header.push(byte[0]);
    }
    let header = String::from_utf8(header).unwrap();
    let length = header
        .to_lowercase()
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).unwrap();
    header + &String::from_utf8(body).unwrap()
}

/// Returns an address on which no server listens.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
