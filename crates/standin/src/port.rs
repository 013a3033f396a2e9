use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The range ends below 32768, where Linux by default starts assigning ports to outgoing
/// connections.
const FIRST_PORT: u16 = 20_000;
const BLOCK_COUNT: u16 = 120;
/// The ports of a block: the first one reserves the block, the others are handed out.
const BLOCK_PORTS: u16 = 100;
const USABLE_PORTS: usize = BLOCK_PORTS as usize - 1;

/// The maximum number of blocks that a process reserves, so that it leaves some to others. It
/// covers the largest cluster of a test.
const MAX_BLOCKS: usize = 20;

/// The delay before a process that has no block looks for one again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Finds a loopback address whose port is free for TCP and UDP.
///
/// The port belongs to this process until it ends, so that no other process that calls this
/// function takes it while the node that listens on it is down. Calls within a process return
/// distinct addresses until the process has used all ports it may reserve.
///
/// The port lies outside the kernel's ephemeral range because an outgoing connection could
/// otherwise take it before the node starts or while it restarts.
pub fn free_address() -> SocketAddr {
    static POOL: Mutex<Pool> = Mutex::new(Pool::new());
    let mut pool = POOL.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = pool.next_port();
        // Tests also listen on the port at other loopback addresses.
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
        if TcpListener::bind(any).is_ok() && UdpSocket::bind(any).is_ok() {
            return loopback(port);
        }
    }
}

/// The blocks of ports that this process has reserved.
struct Pool {
    blocks: Vec<Block>,
    /// The number of ports handed out since the first one of the first block.
    handed_out: usize,
}

/// A block of ports, reserved for as long as its first port is bound.
struct Block {
    first: u16,
    _reservation: UdpSocket,
}

impl Pool {
    const fn new() -> Self {
        Self {
            blocks: Vec::new(),
            handed_out: 0,
        }
    }

    fn next_port(&mut self) -> u16 {
        while self.handed_out == self.blocks.len() * USABLE_PORTS {
            let may_reserve = self.blocks.len() < MAX_BLOCKS;
            match may_reserve.then(Block::reserve).flatten() {
                Some(block) => self.blocks.push(block),
                None if self.blocks.is_empty() => std::thread::sleep(RETRY_DELAY),
                None => self.handed_out = 0,
            }
        }
        let block = &self.blocks[self.handed_out / USABLE_PORTS];
        let offset = self.handed_out % USABLE_PORTS;
        self.handed_out += 1;
        block.first + 1 + u16::try_from(offset).unwrap_or_default()
    }
}

impl Block {
    /// Reserves a block that no process has; processes start the search at different blocks.
    fn reserve() -> Option<Self> {
        let start = std::process::id() % u32::from(BLOCK_COUNT);
        let start = u16::try_from(start).unwrap_or_default();
        (start..BLOCK_COUNT).chain(0..start).find_map(|number| {
            let first = FIRST_PORT + number * BLOCK_PORTS;
            let reservation = UdpSocket::bind(loopback(first)).ok()?;
            Some(Self {
                first,
                _reservation: reservation,
            })
        })
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
