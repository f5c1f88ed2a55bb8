//! Mutual TLS between the nodes of a fleet.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Certificates and private key of a node, parsed from its settings.
#[derive(Debug)]
pub struct TlsMaterial {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Error in the TLS settings, or in the setup of the endpoint that uses them.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The named PEM setting contains no certificate or private key.
    #[error("tls.{0}: no usable PEM block")]
    Pem(&'static str),
    /// The TLS library rejected the certificates or key, or the endpoint could not be bound.
    #[error("tls: {0}")]
    Refused(String),
}

impl TlsMaterial {
    /// Parses the PEM settings.
    pub fn parse(ca_pem: &str, cert_pem: &str, key_pem: &str) -> Result<Self, TlsError> {
        let mut roots = RootCertStore::empty();
        for cert in certs(ca_pem, "ca_pem")? {
            roots
                .add(cert)
                .map_err(|e| TlsError::Refused(e.to_string()))?;
        }
        let chain = certs(cert_pem, "cert_pem")?;
        let key = rustls_pemfile::private_key(&mut key_pem.as_bytes())
            .ok()
            .flatten()
            .ok_or(TlsError::Pem("key_pem"))?;
        Ok(Self {
            roots: Arc::new(roots),
            chain,
            key,
        })
    }

    /// Returns the configuration for accepted connections, which requires a certificate signed by the fleet's CA.
    pub fn server(&self) -> Result<QuicServerConfig, TlsError> {
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.roots),
            Arc::new(rustls::crypto::ring::default_provider()),
        );
        let verifier = verifier
            .build()
            .map_err(|e| TlsError::Refused(e.to_string()))?;
        let mut tls = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(rustls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(rustls_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(tls).map_err(|e| TlsError::Refused(e.to_string()))
    }

    /// Returns the configuration for opened connections, which presents the certificate of this node.
    pub fn client(&self) -> Result<QuicClientConfig, TlsError> {
        let mut tls = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(rustls_error)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(rustls_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(tls).map_err(|e| TlsError::Refused(e.to_string()))
    }
}

/// Name and version of the protocol between nodes, negotiated with ALPN.
const ALPN: &[u8] = b"coltsfootport/1";

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn rustls_error(e: rustls::Error) -> TlsError {
    TlsError::Refused(e.to_string())
}

fn certs(pem: &str, key: &'static str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let parsed: Result<Vec<_>, _> = rustls_pemfile::certs(&mut pem.as_bytes()).collect();
    match parsed {
        Ok(certs) if !certs.is_empty() => Ok(certs),
        _ => Err(TlsError::Pem(key)),
    }
}
