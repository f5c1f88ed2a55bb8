//! The certificate authority of a fleet.

use std::io;
use std::net::IpAddr;

use rcgen::{
    BasicConstraints, Certificate, CertificateParams, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};
use rustls::pki_types::{CertificateDer, DnsName};

use super::fragment::{AuthorityFragment, NodeFragment, TlsFragment};

/// Name of every authority; authorities differ by their keys.
const AUTHORITY_NAME: &str = "coltsfootport fleet";

/// A key or certificate can't be made.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The name of a node does not fit into a certificate.
    #[error("the node's name `{0}` is not a DNS name of letters, digits, `-` and `.`")]
    Name(String),
    /// The authority's certificate and private key are not a pair.
    #[error("`fleet_ca_key` belongs to no certificate in `fleet_ca`")]
    Mismatch,
    /// A certificate or key can't be encoded or decoded.
    #[error(transparent)]
    Certificate(#[from] rcgen::Error),
    /// The authority can't be read.
    #[error("the authority: {0}")]
    Input(#[from] io::Error),
    /// The authority is not what `keys ca` prints.
    #[error("the authority is not what `keys ca` prints: {0}")]
    Json(#[from] serde_json::Error),
}

/// A certificate authority, which signs the certificates of nodes.
pub struct Authority {
    certificate: Certificate,
    key: KeyPair,
    trusted: Vec<String>,
}

impl Authority {
    /// A fresh authority.
    ///
    /// # Errors
    ///
    /// The system gives no random numbers.
    pub fn random() -> Result<Self, KeyError> {
        let key = KeyPair::generate()?;
        let certificate = authority_params().self_signed(&key)?;
        let trusted = vec![certificate.pem()];
        Ok(Self {
            certificate,
            key,
            trusted,
        })
    }

    /// The authority with its private key, for later certificates.
    pub fn fragment(&self) -> AuthorityFragment {
        let fleet_ca_key = self.key.serialize_pem();
        AuthorityFragment {
            fleet_ca: self.trusted.clone(),
            fleet_ca_key,
        }
    }

    /// A fresh certificate and private key for a node, valid for its name and addresses.
    ///
    /// The certificate serves both ends of a connection, since every node both calls and is called.
    ///
    /// # Errors
    ///
    /// The name is no DNS name.
    pub fn issue(&self, name: &str, ips: &[IpAddr]) -> Result<NodeFragment, KeyError> {
        let key = KeyPair::generate()?;
        let certificate = node_params(name, ips)?.signed_by(&key, &self.certificate, &self.key)?;
        let tls = TlsFragment {
            ca_pem: self.trusted.concat(),
            cert_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        };
        Ok(NodeFragment { tls })
    }
}

impl TryFrom<AuthorityFragment> for Authority {
    type Error = KeyError;

    /// Every authority has the same name, so its certificate can be rebuilt from its key alone.
    fn try_from(fragment: AuthorityFragment) -> Result<Self, Self::Error> {
        let key = KeyPair::from_pem(&fragment.fleet_ca_key)?;
        // With a key that fits none of the trusted certificates, `keys node` would print certificates which every peer
        // refuses; one would notice only when the node finds no peers.
        if !fragment.fleet_ca.iter().any(|pem| holds_key(pem, &key)) {
            return Err(KeyError::Mismatch);
        }
        let certificate = authority_params().self_signed(&key)?;
        Ok(Self {
            certificate,
            key,
            trusted: fragment.fleet_ca,
        })
    }
}

fn holds_key(pem: &str, key: &KeyPair) -> bool {
    let public = key.public_key_raw();
    let mut pem = pem.as_bytes();
    let mut certificates = rustls_pemfile::certs(&mut pem).filter_map(Result::ok);
    let holds = |der: CertificateDer<'_>| der.windows(public.len()).any(|part| part == public);
    certificates.any(holds)
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name(AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

fn node_params(name: &str, ips: &[IpAddr]) -> Result<CertificateParams, KeyError> {
    DnsName::try_from(name).map_err(|_| KeyError::Name(name.to_owned()))?;
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name(name);
    params.subject_alt_names = vec![SanType::DnsName(name.try_into()?)];
    params
        .subject_alt_names
        .extend(ips.iter().copied().map(SanType::IpAddress));
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}
