//! A sending half that is reset unless it was ended.

use std::future::Future;

use quinn::{SendStream, VarInt};

/// Code of a reset; the other end only needs to know that the body is not whole.
const CUT: VarInt = VarInt::from_u32(1);

/// A stream that ends with a reset unless [`ResetGuard::finish`] was called.
///
/// The library ends a dropped stream in order. A task that is dropped in the middle of a body would so make the part that
/// was sent look like all of it.
#[derive(Debug)]
pub struct ResetGuard {
    stream: SendStream,
    finished: bool,
}

impl ResetGuard {
    /// Guards a stream.
    pub fn new(stream: SendStream) -> Self {
        Self {
            stream,
            finished: false,
        }
    }

    /// The stream, to write to.
    pub fn stream(&mut self) -> &mut SendStream {
        &mut self.stream
    }

    /// Resolves when the other end does not read any more, or the connection is lost.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + use<> {
        let stopped = self.stream.stopped();
        async move { drop(stopped.await) }
    }

    /// Ends the stream in order.
    pub fn finish(mut self) {
        self.finished = true;
        // An error means that it was closed before, by the other end.
        let _ = self.stream.finish();
    }
}

impl Drop for ResetGuard {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.stream.reset(CUT);
        }
    }
}
