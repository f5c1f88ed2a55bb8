//! What the receive buffer of a socket holds.

use std::io::ErrorKind;
use std::mem::MaybeUninit;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::net::TcpStream;

/// What can be read from a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketInput {
    /// Nothing at the moment.
    Empty,
    /// Unread bytes.
    Unread,
    /// Nothing any more: the peer has closed its side, or the connection has failed.
    Ended,
}

impl SocketInput {
    /// Peeks at the socket. Asks the kernel, since the runtime learns of a close only with its next event.
    pub fn peek(stream: &TcpStream) -> Self {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(stream).peek(&mut byte) {
            Ok(0) => Self::Ended,
            Ok(_) => Self::Unread,
            Err(e) if e.kind() == ErrorKind::WouldBlock => Self::Empty,
            Err(_) => Self::Ended,
        }
    }
}

/// Whether the peer has closed its side or the connection has failed, even if there are unread bytes. Returns `false` if
/// the system can't tell.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    matches!(poll(&mut fds, Some(&Timespec::default())), Ok(ready) if ready > 0)
}
