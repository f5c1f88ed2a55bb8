//! QUIC client and server that send arbitrary bytes and frames to the nodes of a fleet.

use std::future::IntoFuture;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootport::wire::{ControlReply, ControlRequest, PeerReply, PeerRequest, read_head};
use coltsfootport_rig::process::loopback;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, Endpoint, SendStream, ServerConfig, TransportConfig};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::Serialize;
use serde_json::Value;
use tokio::time::timeout;

use super::common::EVENT_TIMEOUT;

/// Client connection to a node's peer listener.
pub struct HostilePeer {
    pub connection: Connection,
    _endpoint: Endpoint,
}

impl HostilePeer {
    /// Connects with the client certificate of the `tls` section `identity`, or without one.
    ///
    /// `trusted` is the section whose CA verifies the node. Returns `None` if the handshake fails on this side.
    pub async fn connect(
        addr: SocketAddr,
        node: &str,
        trusted: &Value,
        identity: Option<&Value>,
    ) -> Option<Self> {
        let mut roots = RootCertStore::empty();
        for cert in rustls_pemfile::certs(&mut pem_text(trusted, "ca_pem").as_bytes()) {
            roots
                .add(cert.expect("valid CA certificate"))
                .expect("usable trust anchor");
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("TLS 1.3 is supported")
            .with_root_certificates(roots);
        let mut tls = match identity {
            None => tls.with_no_client_auth(),
            Some(identity) => {
                let (chain, key) = parse_identity(identity);
                tls.with_client_auth_cert(chain, key)
                    .expect("key matches the certificate")
            }
        };
        tls.alpn_protocols = vec![b"coltsfootport/1".to_vec()];
        let tls = QuicClientConfig::try_from(tls).expect("TLS configuration suits QUIC");
        let mut cfg = ClientConfig::new(Arc::new(tls));
        cfg.transport_config(Arc::new(TransportConfig::default()));
        let mut endpoint = Endpoint::client(loopback(0)).expect("failed to bind the QUIC endpoint");
        endpoint.set_default_client_config(cfg);
        let connecting = endpoint.connect(addr, node).expect("valid server name");
        let connection = timeout(EVENT_TIMEOUT, connecting).await.ok()?.ok()?;
        Some(Self {
            connection,
            _endpoint: endpoint,
        })
    }

    /// Sends bytes on a new stream, finishes it, and returns what the node sends until it closes its side.
    pub async fn send(&self, bytes: &[u8]) -> Vec<u8> {
        let Ok((mut tx, mut rx)) = self.connection.open_bi().await else {
            return Vec::new();
        };
        let _ = tx.write_all(bytes).await;
        let _ = tx.finish();
        let reply = timeout(EVENT_TIMEOUT, rx.read_to_end(1 << 20)).await;
        reply
            .expect("node did not close the stream in time")
            .unwrap_or_default()
    }

    /// Sends bytes on a new stream without finishing it.
    pub async fn send_unfinished(&self, bytes: &[u8]) -> Option<SendStream> {
        let (mut tx, _) = self.connection.open_bi().await.ok()?;
        tx.write_all(bytes).await.ok()?;
        Some(tx)
    }

    /// Sends a control request and returns the reply, or `None` if there is none.
    pub async fn send_control(&self, request: ControlRequest) -> Option<ControlReply> {
        let (mut tx, mut rx) = self.connection.open_bi().await.ok()?;
        tx.write_all(&encode_head(&PeerRequest::Control(request)))
            .await
            .ok()?;
        tx.finish().ok()?;
        let head = timeout(EVENT_TIMEOUT, read_head(&mut rx, 1 << 20)).await;
        match head
            .expect("node did not close the stream in time")
            .ok()?
            .value
        {
            PeerReply::Control(reply) => Some(reply),
            PeerReply::Call(_) => None,
        }
    }
}

/// Starts a server with the certificate of the `tls` section `identity`.
///
/// On each stream it sends the bytes that `answer` returns for the request; for `None` it keeps the stream open without a reply.
pub fn start_server<A>(addr: SocketAddr, identity: &Value, answer: A) -> Endpoint
where
    A: Fn(PeerRequest) -> Option<Vec<u8>> + Clone + Send + 'static,
{
    let (chain, key) = parse_identity(identity);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3 is supported")
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .expect("key matches the certificate");
    tls.alpn_protocols = vec![b"coltsfootport/1".to_vec()];
    let tls = QuicServerConfig::try_from(tls).expect("TLS configuration suits QUIC");
    let cfg = ServerConfig::with_crypto(Arc::new(tls));
    let endpoint = Endpoint::server(cfg, addr).expect("failed to bind the QUIC endpoint");
    tokio::spawn(accept_connections(endpoint.clone(), answer));
    endpoint
}

async fn accept_connections<A>(endpoint: Endpoint, answer: A)
where
    A: Fn(PeerRequest) -> Option<Vec<u8>> + Clone + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        let answer = answer.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.into_future().await else {
                return;
            };
            while let Ok((mut tx, mut rx)) = connection.accept_bi().await {
                let answer = answer.clone();
                tokio::spawn(async move {
                    let request = read_head(&mut rx, 1 << 20)
                        .await
                        .expect("valid frame head")
                        .value;
                    match answer(request) {
                        Some(bytes) => drop(tx.write_all(&bytes).await),
                        None => drop(tx.stopped().await),
                    }
                });
            }
        });
    }
}

/// Parses the certificate chain and private key of a `tls` section.
fn parse_identity(identity: &Value) -> (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>) {
    let chain = rustls_pemfile::certs(&mut pem_text(identity, "cert_pem").as_bytes())
        .collect::<Result<_, _>>()
        .expect("valid certificate chain");
    let key = rustls_pemfile::private_key(&mut pem_text(identity, "key_pem").as_bytes());
    (
        chain,
        key.expect("valid PEM")
            .expect("private key in the PEM text"),
    )
}

/// Encodes a frame head with its length prefix, as nodes do.
pub fn encode_head<T>(head: &T) -> Vec<u8>
where
    T: Serialize,
{
    let head = postcard::to_allocvec(head).expect("failed to encode the frame head");
    let mut bytes = (head.len() as u32).to_be_bytes().to_vec();
    bytes.extend(head);
    bytes
}

fn pem_text<'a>(tls: &'a Value, key: &str) -> &'a str {
    tls["tls"][key]
        .as_str()
        .expect("PEM text in the `tls` section")
}
