//! Input from the socket.

use std::io::{ErrorKind, Read};
use std::pin::Pin;

use socket2::SockRef;
use tokio::io::AsyncReadExt;

use super::{ReadEnd, Reader, caller_left};

/// Read size in bytes while a long body is received.
const LARGE_READ: usize = 16 * 1024;

/// Default read size in bytes, enough for typical heads. Every waiting connection holds a buffer of this size, and
/// there are hundreds of them under surge load.
pub(super) const SMALL_READ: usize = 1024;

/// Bytes that are read ahead of the requests in progress, to see whether the caller has disconnected behind them.
const MAX_READ_AHEAD: usize = 64 * 1024;

impl Reader {
    /// Waits for `ready` and reads ahead meanwhile, so that a caller that disconnects is noticed.
    pub(super) async fn while_connected<F>(
        &mut self,
        mut ready: Pin<&mut F>,
    ) -> Result<F::Output, ReadEnd>
    where
        F: Future,
    {
        while self.buf.len() < MAX_READ_AHEAD {
            tokio::select! {
                biased;
                output = &mut ready => return Ok(output),
                read = self.fill() => read?,
            }
        }
        Ok(ready.await)
    }

    /// Reads what the socket holds, without waiting. A request must not start if the close of its caller lies behind
    /// it, which the runtime reports only with its next event.
    pub(super) fn read_available(&mut self) -> Result<(), ReadEnd> {
        let mut chunk = [0; SMALL_READ];
        while self.buf.len() < MAX_READ_AHEAD {
            let read = (&*SockRef::from(self.read.as_ref())).read(&mut chunk);
            match read {
                Ok(0) => return Err(caller_left()),
                Ok(read) => self.buf.extend_from_slice(&chunk[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(caller_left()),
            }
        }
        Ok(())
    }

    pub(super) async fn fill(&mut self) -> Result<(), ReadEnd> {
        self.buf.reserve(self.next_read);
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
