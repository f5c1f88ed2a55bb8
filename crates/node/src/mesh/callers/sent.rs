//! Tells whether written data has left a socket.

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
    while has_unsent(stream) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether the socket holds data that has not been sent. Returns `false` if the system can't tell.
pub fn has_unsent(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    // With this limit, the socket is writable only if it holds no unsent data.
    if socket.set_tcp_notsent_lowat(1).is_err() {
        return false;
    }
    let mut fds = [PollFd::new(stream, PollFlags::OUT)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    // The limit would slow down later writes. If it can't be lifted, they are slower but complete.
    let _ = socket.set_tcp_notsent_lowat(u32::MAX);
    matches!(polled, Ok(0))
}
