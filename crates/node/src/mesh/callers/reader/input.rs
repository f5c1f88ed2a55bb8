//! Input from the socket.

use std::io::{ErrorKind, Read};
use std::pin::Pin;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use super::{ReadEnd, Reader, caller_left};
use crate::socket_input::has_hung_up;

/// Read size in bytes while a long body is received.
const LARGE_READ: usize = 16 * 1024;

/// Default read size in bytes, enough for typical heads. Every waiting connection holds a buffer of this size, and
/// there are hundreds of them under surge load.
pub(super) const SMALL_READ: usize = 1024;

/// Bytes that are read ahead of the requests in progress, to see whether the caller has disconnected behind them.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Interval between checks whether the caller has disconnected while nothing is read.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Reader {
    /// Waits for `ready` and reads ahead meanwhile, so that a caller that disconnects is noticed.
    pub(super) async fn while_connected<F>(
        &mut self,
        mut ready: Pin<&mut F>,
    ) -> Result<F::Output, ReadEnd>
    where
        F: Future,
    {
        loop {
            if self.may_read_ahead() {
                tokio::select! {
                    biased;
                    output = &mut ready => return Ok(output),
                    read = self.fill() => read?,
                }
            } else {
                tokio::select! {
                    biased;
                    output = &mut ready => return Ok(output),
                    () = sleep(PAUSE_CHECK_INTERVAL) => self.check_connected()?,
                }
            }
        }
    }

    /// Waits while the connection holds more than its part of the memory. A caller that disconnects meanwhile is noticed.
    pub(super) async fn wait_for_room(&self) -> Result<(), ReadEnd> {
        while !self.account.may_read() {
            self.check_connected()?;
            self.account.released(PAUSE_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn check_connected(&self) -> Result<(), ReadEnd> {
        match has_hung_up(self.read.as_ref()) {
            true => Err(caller_left()),
            false => Ok(()),
        }
    }

    fn may_read_ahead(&self) -> bool {
        self.buf.len() < MAX_READ_AHEAD && self.account.may_read()
    }

    /// Reads what the socket holds, without waiting. A request must not start if the close of its caller lies behind
    /// it, which the runtime reports only with its next event.
    pub(super) fn read_available(&mut self) -> Result<(), ReadEnd> {
        let mut chunk = [0; SMALL_READ];
        while self.may_read_ahead() {
            let read = (&*SockRef::from(self.read.as_ref())).read(&mut chunk);
            match read {
                Ok(0) => return Err(caller_left()),
                Ok(read) => {
                    self.buf.extend_from_slice(&chunk[..read]);
                    self.input.resize(self.buf.capacity());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(caller_left()),
            }
        }
        self.check_connected()
    }

    pub(super) async fn fill_when_room(&mut self) -> Result<(), ReadEnd> {
        self.wait_for_room().await?;
        self.fill().await
    }

    pub(super) async fn fill(&mut self) -> Result<(), ReadEnd> {
        self.buf.reserve(self.next_read);
        self.input.resize(self.buf.capacity());
        let read = match self.read.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => read,
            _ => return Err(caller_left()),
        };
        self.next_read = match read >= self.next_read {
            true => LARGE_READ,
            false => SMALL_READ,
        };
        Ok(())
    }
}
