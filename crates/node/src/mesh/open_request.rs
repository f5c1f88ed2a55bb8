//! Counts requests whose responses may not have reached their callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Guard that counts a request from its head until its response is written, or a closing connection until its last
/// response can no longer be lost. Requests from callers and from other nodes are counted.
///
/// A stopping node exits when the count reaches zero. Counting only from the end of the request body to the start of
/// the response is not enough: a planned stop would cut off requests with slow bodies and responses that are long or
/// read slowly. It would also lose responses that the caller has not read yet, because exiting with unread bytes on a
/// connection resets it.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<AtomicUsize>);

impl OpenRequestGuard {
    /// Increments `open` until the guard is dropped.
    pub fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
