//! Looks at a socket's unread input by asking the kernel; the runtime learns of a close only with its next event.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing; the connection is open.
    Nothing,
    /// Data.
    Data,
    /// The end of the stream, or the connection is broken.
    End,
}

/// Returns what lies unread in a socket, without waiting.
pub fn unread(stream: &TcpStream) -> Unread {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => Unread::End,
        Ok(_) => Unread::Data,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
        Err(_) => Unread::End,
    }
}
