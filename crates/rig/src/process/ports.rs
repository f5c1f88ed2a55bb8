//! Free loopback ports for child processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};
use std::{io, process};

use socket2::{Domain, Socket, Type};

use super::spawn::lock_spawning;
use crate::error::RigError;

/// First port of the range that ports are allocated from.
///
/// The range lies below the system's ephemeral ports. An ephemeral port could be taken by an outgoing connection between
/// the check for a free port and the start of the child, which then occasionally fails to bind.
const FIRST_PORT: u16 = 12_000;

/// Number of ports in a block, the unit that a process reserves.
const BLOCK_SIZE: u16 = 200;

/// Number of blocks in the range.
const BLOCK_COUNT: u16 = 100;

/// Port allocator of this process.
///
/// Test programs run in parallel, and a port that was found free is bound only later, by a child. Two programs that check
/// the same port in between would both allocate it: a node then exits at startup, or a fleet reaches the target of another
/// fleet. Each program therefore keeps the first port of a block bound until it exits and allocates only the other ports.
static ALLOCATOR: Mutex<PortAllocator> = Mutex::new(PortAllocator {
    reservations: Vec::new(),
    next: 0,
    end: 0,
});

struct PortAllocator {
    reservations: Vec<TcpListener>,
    next: u16,
    end: u16,
}

impl PortAllocator {
    fn allocate(&mut self) -> Result<u16, RigError> {
        loop {
            if self.next == self.end {
                self.reserve_block()?;
            }
            let port = self.next;
            self.next += 1;
            if is_free(port) {
                return Ok(port);
            }
        }
    }

    fn reserve_block(&mut self) -> Result<(), RigError> {
        // The search starts at an offset derived from the process ID, so that programs rarely try the same block.
        let offset = process::id() % u32::from(BLOCK_COUNT);
        for n in 0..u32::from(BLOCK_COUNT) {
            let block = ((offset + n) % u32::from(BLOCK_COUNT)) as u16;
            let first = FIRST_PORT + block * BLOCK_SIZE;
            if let Ok(listener) = TcpListener::bind(loopback(first)) {
                self.reservations.push(listener);
                (self.next, self.end) = (first + 1, first + BLOCK_SIZE);
                return Ok(());
            }
        }
        Err(RigError::Settings("no free port".into()))
    }
}

/// Returns the first port of the block that contains `port`. The process that allocates from the block keeps it bound.
pub fn block_start(port: u16) -> u16 {
    port - (port - FIRST_PORT) % BLOCK_SIZE
}

/// Allocates a port that is free for TCP and UDP. This process never returns a port twice.
pub fn free_port() -> Result<u16, RigError> {
    let mut allocator = ALLOCATOR.lock().unwrap_or_else(PoisonError::into_inner);
    allocator.allocate()
}

/// Allocates several distinct free ports.
pub fn free_ports<const N: usize>() -> Result<[u16; N], RigError> {
    let mut ports = [0; N];
    for port in &mut ports {
        *port = free_port()?;
    }
    Ok(ports)
}

/// Returns the IPv4 loopback address with the given port.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Whether no process listens on this port at any address. Fleets use several loopback addresses with the same ports, and
/// a node that is left over from a killed program may hold a port at one of them.
fn is_free(port: u16) -> bool {
    let _guard = lock_spawning();
    can_bind(port, Type::STREAM).is_ok() && can_bind(port, Type::DGRAM).is_ok()
}

fn can_bind(port: u16, socket_type: Type) -> io::Result<()> {
    let socket = Socket::new(Domain::IPV4, socket_type, None)?;
    // Connections that have been closed do not hinder a new listener.
    socket.set_reuse_address(socket_type == Type::STREAM)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)).into())
}
