//! The error type of the rig.

use std::io;

use thiserror::Error;

/// Anything that can stop a part of the rig.
#[derive(Debug, Error)]
pub enum RigError {
    /// A socket, file or process operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A JSON text doesn't have the expected form.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A request can't be built from its parts.
    #[error("malformed request: {0}")]
    Request(#[from] ::http::Error),
    /// No connection, or the connection broke before the answer was whole.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The answer did not come within its time limit.
    #[error("timeout")]
    Timeout,
    /// A stand-in answered with another status than success.
    #[error("status {status}: {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The answer body as text.
        body: String,
    },
    /// An option or plan can't be used.
    #[error("{0}")]
    Settings(String),
    /// A promise was broken in a run.
    #[error("broken promises with {0}")]
    Breach(String),
    /// A child process did not become ready in time.
    #[error("{0} is not ready in time")]
    NotReady(String),
    /// The process was told to stop.
    #[error("stopped before the end")]
    Stopped,
    /// Promises of the demo did not hold.
    #[error("{0} of the promises did not hold")]
    Broken(usize),
}
