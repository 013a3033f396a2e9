use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The ports lie below the range from which the kernel takes those of outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u32 = 12_000;

/// Finds a loopback address whose port is free for TCP and UDP.
///
/// No two calls in a process return the same one. With a port that the kernel chooses, an
/// outgoing connection could take it before its node starts, or while it is restarted.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let process_offset = std::process::id().wrapping_mul(97);
    loop {
        let offset =
            process_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or_default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
