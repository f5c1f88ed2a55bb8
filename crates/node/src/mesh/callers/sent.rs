//! Waits until written data has left the socket.

use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Interval between checks of the socket.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the system has sent all data that was written to `stream`, or the connection has failed. Input that
/// arrives after a close is answered by a reset, which discards unsent data.
pub async fn wait_until_sent(stream: &TcpStream) {
    // With this limit, the socket counts as writable only if it holds no unsent data. Without support for it, there is
    // nothing to wait for.
    if SockRef::from(stream).set_tcp_notsent_lowat(1).is_err() {
        return;
    }
    while !is_writable(stream) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether the socket is writable or has failed.
fn is_writable(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::OUT)];
    !matches!(poll(&mut fds, Some(&Timespec::default())), Ok(0))
}
