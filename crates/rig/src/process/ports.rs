//! Free loopback ports for child processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::{Mutex, PoisonError};

use super::spawn::no_spawn;
use crate::error::RigError;

/// First port that is given out.
///
/// The range lies below the ports that the system gives to outgoing connections. A port from that range could be taken
/// by a connection between this look and the child's start, seen as a child that fails to bind now and then.
const FIRST: u16 = 12_000;

/// Ports that a process claims together.
const BLOCK: u16 = 200;

/// Blocks that there are.
const BLOCKS: u16 = 100;

/// The ports that this process may give out.
///
/// Test programs run side by side, and a port found free is bound a moment later only, by a child. Two programs that look
/// at the same port meanwhile would give it out twice, seen as a node that ends at its start or as a fleet that reaches
/// another's target. So each program keeps the first port of a block bound for its life and gives out the rest.
static CLAIMED: Mutex<Claimed> = Mutex::new(Claimed {
    claims: Vec::new(),
    next: 0,
    end: 0,
});

struct Claimed {
    claims: Vec<TcpListener>,
    next: u16,
    end: u16,
}

impl Claimed {
    fn port(&mut self) -> Result<u16, RigError> {
        loop {
            if self.next == self.end {
                self.claim()?;
            }
            let port = self.next;
            self.next += 1;
            if is_free(port) {
                return Ok(port);
            }
        }
    }

    fn claim(&mut self) -> Result<(), RigError> {
        // Programs begin at places of their own, so that they seldom ask for the same block.
        let offset = process::id() % u32::from(BLOCKS);
        for n in 0..u32::from(BLOCKS) {
            let block = ((offset + n) % u32::from(BLOCKS)) as u16;
            let first = FIRST + block * BLOCK;
            if let Ok(claim) = TcpListener::bind(loopback(first)) {
                self.claims.push(claim);
                (self.next, self.end) = (first + 1, first + BLOCK);
                return Ok(());
            }
        }
        Err(RigError::Settings("no free port".into()))
    }
}

/// The first port of the block that a port is in; whoever gives out the block's ports keeps it bound.
pub fn block_of(port: u16) -> u16 {
    port - (port - FIRST) % BLOCK
}

/// A port free for TCP and UDP, given out once by this process.
pub fn free_port() -> Result<u16, RigError> {
    let mut claimed = CLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    claimed.port()
}

/// Several different free ports.
pub fn free_ports<const N: usize>() -> Result<[u16; N], RigError> {
    let mut ports = [0; N];
    for port in &mut ports {
        *port = free_port()?;
    }
    Ok(ports)
}

/// A loopback address.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn is_free(port: u16) -> bool {
    let _open = no_spawn();
    let addr = loopback(port);
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}
