//! Free loopback ports for child processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error::RigError;

/// First port that is given out.
///
/// The range lies below the ports that the system gives to outgoing connections. A port from that range could be taken
/// by a connection between this look and the child's start, seen as a child that fails to bind now and then.
const FIRST: u16 = 12_000;

/// Number of ports that are given out.
const COUNT: u16 = 20_000;

/// Distance between the first ports of two processes with neighbouring ids.
const STRIDE: u32 = 131;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback port free for TCP and UDP, given out once by this process.
pub fn free_port() -> Result<u16, RigError> {
    // Test programs run side by side, so each begins at a place of its own.
    let offset = process::id().wrapping_mul(STRIDE) % u32::from(COUNT);
    for _ in 0..COUNT {
        let n = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST + ((offset + n) % u32::from(COUNT)) as u16;
        if is_free(port) && reserve(port) {
            return Ok(port);
        }
    }
    Err(RigError::Settings("no free port".into()))
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

/// Marks a port as given out for as long as this process lives; false where another process has marked it.
///
/// The port of a killed node is free until the node is started again. Test programs that run side by side would give it to
/// another fleet meanwhile, seen as a node that fails to bind when it is started again.
fn reserve(port: u16) -> bool {
    match UdpSocket::bind((MARKS, port)) {
        Ok(mark) => {
            std::mem::forget(mark);
            true
        }
        Err(_) => false,
    }
}

/// A loopback address that serves for nothing but marks.
const MARKS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

fn is_free(port: u16) -> bool {
    let addr = loopback(port);
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}
