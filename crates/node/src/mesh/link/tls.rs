//! Encryption between nodes without identities.
//!
//! A platform that gives nodes no common secret leaves nothing to prove an identity by. Each node makes a certificate at
//! its start; others accept any. Links are safe from listeners, not from a process of the same network that speaks to a
//! node's port.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::{ClientConfig, DigitallySignedStruct, Error, ServerConfig, SignatureScheme};

use super::LinkError;

/// Protocol name and version between mesh nodes.
const ALPN: &[u8] = b"coltsfootport-mesh/1";

/// Name in every certificate; nobody compares it.
pub const SERVER_NAME: &str = "coltsfootport";

/// Settings of the accepting side, with a certificate made now.
pub fn server() -> Result<QuicServerConfig, LinkError> {
    let made = rcgen::generate_simple_self_signed(vec![String::from(SERVER_NAME)])?;
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(made.key_pair.serialize_der()));
    let mut tls = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![made.cert.der().clone()], key)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    QuicServerConfig::try_from(tls).map_err(|e| LinkError::Cipher(e.to_string()))
}

/// Settings of the connecting side.
pub fn client() -> Result<QuicClientConfig, LinkError> {
    let provider = provider();
    let mut tls = ClientConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN.to_vec()];
    QuicClientConfig::try_from(tls).map_err(|e| LinkError::Cipher(e.to_string()))
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Accepts every certificate whose holder has its key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General(String::from("only TLS 1.3 is spoken")))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
