use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The range ends below 32768, where Linux by default starts assigning ports to outgoing
/// connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u32 = 12_000;

/// Finds a loopback address whose port is free for TCP and UDP.
///
/// Calls within a process return distinct addresses until the range is exhausted. The port lies
/// outside the kernel's ephemeral range because an outgoing connection could otherwise take it
/// before the node starts or while it restarts.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let process_offset = std::process::id().wrapping_mul(97);
    loop {
        let offset =
            process_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or_default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // Tests also listen on the port at other loopback addresses.
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
        if TcpListener::bind(any).is_ok() && UdpSocket::bind(any).is_ok() {
            return address;
        }
    }
}
