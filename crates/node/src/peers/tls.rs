//! TLS both ways between nodes of one fleet.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Certificates and key of a node, as parsed from its settings.
#[derive(Debug)]
pub struct TlsMaterial {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Why certificates or the key can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A PEM text holds nothing usable.
    #[error("tls.{0}: no usable PEM block")]
    Pem(&'static str),
    /// The library refused them.
    #[error("tls: {0}")]
    Refused(String),
}

impl TlsMaterial {
    /// Parses the PEM texts of the settings.
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

    /// Settings of the accepting side: only peers with a certificate of the fleet get through.
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
            .map_err(refused)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(refused)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(tls).map_err(|e| TlsError::Refused(e.to_string()))
    }

    /// Settings of the connecting side, which shows its own certificate.
    pub fn client(&self) -> Result<QuicClientConfig, TlsError> {
        let mut tls = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(refused)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(refused)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(tls).map_err(|e| TlsError::Refused(e.to_string()))
    }
}

/// Protocol name and version between nodes.
const ALPN: &[u8] = b"coltsfootport/1";

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn refused(e: rustls::Error) -> TlsError {
    TlsError::Refused(e.to_string())
}

fn certs(pem: &str, key: &'static str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let found: Result<Vec<_>, _> = rustls_pemfile::certs(&mut pem.as_bytes()).collect();
    match found {
        Ok(found) if !found.is_empty() => Ok(found),
        _ => Err(TlsError::Pem(key)),
    }
}
