//! Error type of the rig.

use std::io;

use thiserror::Error;

/// Errors of the rig's commands, stand-ins and test harness.
#[derive(Debug, Error)]
pub enum RigError {
    /// A socket, file or process operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// JSON text is invalid or doesn't match the expected type.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// An HTTP request can't be built from its parts.
    #[error("malformed request: {0}")]
    Request(#[from] ::http::Error),
    /// The connection can't be established, or it broke before the response was complete.
    #[error("connection failed: {0}")]
    Connection(String),
    /// A response or the exit of a process did not arrive within its time limit.
    #[error("timeout")]
    Timeout,
    /// The response status is not 2xx.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Response body as text.
        body: String,
    },
    /// An option, plan or setting is invalid, or an auxiliary step of a run failed.
    #[error("{0}")]
    Settings(String),
    /// A guarantee was violated in a `chaos` or `soak` run.
    #[error("guarantees violated: {0}")]
    Breach(String),
    /// A child process is not running or did not become ready in time.
    #[error("{0} did not become ready in time or is not running")]
    NotReady(String),
    /// The run was stopped before completion, usually by a signal.
    #[error("stopped before completion")]
    Stopped,
    /// Number of guarantees that were violated in the demo.
    #[error("{0} of the guarantees did not hold")]
    Broken(usize),
}
