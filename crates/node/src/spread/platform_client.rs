//! HTTP client of the platform's configuration service and instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::membership::InstanceEntry;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::http::read_to_end;

/// Read-only client of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
}

/// Why a read of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The connection failed, or no complete response arrived in time.
    #[error("platform unreachable")]
    Unreachable,
    /// The response status was not 200.
    #[error("platform responded with status {0}")]
    Status(StatusCode),
    /// The response body is not the expected JSON.
    #[error("malformed response from the platform: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Configuration entries newer than the requested revision.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigPage {
    /// Highest revision in the configuration store.
    pub revision: u64,
    /// Entries newer than the requested revision.
    pub entries: Vec<ConfigEntry>,
}

/// One entry of the configuration service.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigEntry {
    /// Key in the configuration store.
    pub key: String,
    /// Revision at which the value was written.
    pub revision: u64,
    /// Unparsed value.
    pub value: String,
}

/// The complete instance list, if it is newer than the requested revision.
#[derive(Clone, Debug, Deserialize)]
pub struct InstancePage {
    /// Revision of the instance list.
    pub revision: u64,
    /// All instances; absent or empty if the list has not changed since the requested revision.
    #[serde(default)]
    pub instances: Vec<InstanceEntry>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`. A request times out `timeout` after the wait it asks the platform for.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Returns entries newer than `after`; the platform holds the request for up to `wait` until there is one.
    pub async fn config(&self, after: u64, wait: Duration) -> Result<ConfigPage, PlatformError> {
        self.get("config", after, wait).await
    }

    /// Returns the instance list if it is newer than `after`; the platform holds the request for up to `wait` until it is.
    pub async fn instances(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<InstancePage, PlatformError> {
        self.get("instances", after, wait).await
    }

    async fn get<T>(&self, resource: &str, after: u64, wait: Duration) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        let uri = format!("/{resource}?after={after}&wait_ms={}", wait.as_millis());
        let body = tokio::time::timeout(self.timeout + wait, self.fetch(uri))
            .await
            .map_err(|_| PlatformError::Unreachable)??;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn fetch(&self, uri: String) -> Result<Bytes, PlatformError> {
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(self.timeout, connecting)
            .await
            .map_err(|_| PlatformError::Unreachable)?
            .map_err(|_| PlatformError::Unreachable)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| PlatformError::Unreachable)?;
        tokio::spawn(connection);
        let req = Request::get(uri)
            .header(header::HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(|_| PlatformError::Unreachable)?;
        let res = sender
            .send_request(req)
            .await
            .map_err(|_| PlatformError::Unreachable)?;
        if res.status() != StatusCode::OK {
            return Err(PlatformError::Status(res.status()));
        }
        read_to_end(res.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|_| PlatformError::Unreachable)
    }
}

/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
