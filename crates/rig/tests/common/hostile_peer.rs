//! A QUIC client that keeps none of the peers' rules.

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

use super::common::PATIENCE;

/// A connection to a node's listener for peers.
pub struct HostilePeer {
    pub connection: Connection,
    _endpoint: Endpoint,
}

impl HostilePeer {
    /// Connects with the certificate of a `tls` section, or with none; `None` where the handshake fails here.
    pub async fn connect(
        to: SocketAddr,
        node: &str,
        trust: &Value,
        own: Option<&Value>,
    ) -> Option<Self> {
        let mut roots = RootCertStore::empty();
        for cert in rustls_pemfile::certs(&mut pem(trust, "ca_pem").as_bytes()) {
            roots.add(cert.expect("a certificate")).expect("an anchor");
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("a protocol version")
            .with_root_certificates(roots);
        let mut tls = match own {
            None => tls.with_no_client_auth(),
            Some(own) => {
                let (chain, key) = pair(own);
                tls.with_client_auth_cert(chain, key).expect("a pair")
            }
        };
        tls.alpn_protocols = vec![b"coltsfootport/1".to_vec()];
        let tls = QuicClientConfig::try_from(tls).expect("a QUIC configuration");
        let mut cfg = ClientConfig::new(Arc::new(tls));
        cfg.transport_config(Arc::new(TransportConfig::default()));
        let mut endpoint = Endpoint::client(loopback(0)).expect("an endpoint");
        endpoint.set_default_client_config(cfg);
        let connecting = endpoint.connect(to, node).expect("a valid name");
        let connection = timeout(PATIENCE, connecting).await.ok()?.ok()?;
        Some(Self {
            connection,
            _endpoint: endpoint,
        })
    }

    /// Sends bytes on a stream of their own, ends it, and waits until the node has ended its side.
    pub async fn send(&self, bytes: &[u8]) -> Vec<u8> {
        let Ok((mut tx, mut rx)) = self.connection.open_bi().await else {
            return Vec::new();
        };
        let _ = tx.write_all(bytes).await;
        let _ = tx.finish();
        let reply = timeout(PATIENCE, rx.read_to_end(1 << 20)).await;
        reply.expect("the node ends the stream").unwrap_or_default()
    }

    /// Opens a stream, sends bytes and leaves it open.
    pub async fn hold(&self, bytes: &[u8]) -> Option<SendStream> {
        let (mut tx, _) = self.connection.open_bi().await.ok()?;
        tx.write_all(bytes).await.ok()?;
        Some(tx)
    }

    /// Sends a control request; `None` where no reply comes.
    pub async fn control(&self, request: ControlRequest) -> Option<ControlReply> {
        let (mut tx, mut rx) = self.connection.open_bi().await.ok()?;
        tx.write_all(&framed(&PeerRequest::Control(request)))
            .await
            .ok()?;
        tx.finish().ok()?;
        let head = timeout(PATIENCE, read_head(&mut rx, 1 << 20)).await;
        match head.expect("the node ends the stream").ok()?.value {
            PeerReply::Control(reply) => Some(reply),
            PeerReply::Call(_) => None,
        }
    }
}

/// Serves under the certificate of a `tls` section; each stream is answered by what `answer` makes of its request.
pub fn serve<A>(at: SocketAddr, own: &Value, answer: A) -> Endpoint
where
    A: Fn(PeerRequest) -> Option<Vec<u8>> + Clone + Send + 'static,
{
    let (chain, key) = pair(own);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("a protocol version")
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .expect("a pair");
    tls.alpn_protocols = vec![b"coltsfootport/1".to_vec()];
    let tls = QuicServerConfig::try_from(tls).expect("a QUIC configuration");
    let cfg = ServerConfig::with_crypto(Arc::new(tls));
    let endpoint = Endpoint::server(cfg, at).expect("an endpoint");
    tokio::spawn(accept(endpoint.clone(), answer));
    endpoint
}

async fn accept<A>(endpoint: Endpoint, answer: A)
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
                    let request = read_head(&mut rx, 1 << 20).await.expect("a head").value;
                    match answer(request) {
                        Some(bytes) => drop(tx.write_all(&bytes).await),
                        None => drop(tx.stopped().await),
                    }
                });
            }
        });
    }
}

fn pair(own: &Value) -> (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>) {
    let chain = rustls_pemfile::certs(&mut pem(own, "cert_pem").as_bytes())
        .collect::<Result<_, _>>()
        .expect("a chain");
    let key = rustls_pemfile::private_key(&mut pem(own, "key_pem").as_bytes());
    (chain, key.expect("a PEM text").expect("a key"))
}

/// A head as a node writes it.
pub fn framed<T>(head: &T) -> Vec<u8>
where
    T: Serialize,
{
    let head = postcard::to_allocvec(head).expect("an encodable head");
    let mut bytes = (head.len() as u32).to_be_bytes().to_vec();
    bytes.extend(head);
    bytes
}

fn pem<'a>(tls: &'a Value, key: &str) -> &'a str {
    tls["tls"][key].as_str().expect("a PEM text")
}
