//! Reads the platform's configuration service and instance list.

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

use crate::http::read_whole;

/// Reads the platform; nothing is ever written to it.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
}

/// Why a read gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection or no answer in time.
    #[error("the platform can't be reached")]
    Unreachable,
    /// An answer other than 200.
    #[error("the platform answered {0}")]
    Status(StatusCode),
    /// An answer that can't be read.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Entries newer than a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigPage {
    /// Highest revision of the store.
    pub revision: u64,
    /// The entries.
    pub entries: Vec<ConfigEntry>,
}

/// One entry of the configuration service.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigEntry {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// Its value.
    pub value: String,
}

/// The whole list of instances, where it is newer than asked for.
#[derive(Clone, Debug, Deserialize)]
pub struct InstancePage {
    /// Revision of the list.
    pub revision: u64,
    /// The list; absent or empty where nothing is newer.
    #[serde(default)]
    pub instances: Vec<InstanceEntry>,
}

impl PlatformClient {
    /// A client of the platform at `address`, which waits `timeout` beyond what it asks the platform to wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Entries newer than `after`; waits up to `wait` for one.
    pub async fn config(&self, after: u64, wait: Duration) -> Result<ConfigPage, PlatformError> {
        self.get("config", after, wait).await
    }

    /// The list of instances where newer than `after`; waits up to `wait` for it.
    pub async fn instances(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<InstancePage, PlatformError> {
        self.get("instances", after, wait).await
    }

    async fn get<T>(&self, what: &str, after: u64, wait: Duration) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        let uri = format!("/{what}?after={after}&wait_ms={}", wait.as_millis());
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
        read_whole(res.into_body(), MAX_PAGE)
            .await
            .map_err(|_| PlatformError::Unreachable)
    }
}

/// Largest answer read, in bytes.
const MAX_PAGE: usize = 64 * 1024 * 1024;
