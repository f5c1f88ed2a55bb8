//! Certificate authority of a fleet.

use std::io;
use std::net::IpAddr;

use rcgen::{
    BasicConstraints, Certificate, CertificateParams, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};
use rustls::pki_types::{CertificateDer, DnsName};

use super::fragment::{AuthorityFragment, NodeFragment, TlsFragment};

/// Common name of every authority; authorities differ only by their keys.
const AUTHORITY_NAME: &str = "coltsfootport fleet";

/// Error while generating a key or certificate.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The node name can't be used in a certificate.
    #[error("node name `{0}` is not a DNS name of letters, digits, `-` and `.`")]
    Name(String),
    /// The private key does not match any certificate of the authority.
    #[error("`fleet_ca_key` does not match any certificate in `fleet_ca`")]
    Mismatch,
    /// A certificate or key can't be encoded or decoded.
    #[error(transparent)]
    Certificate(#[from] rcgen::Error),
    /// The file with the authority can't be read.
    #[error("failed to read the authority: {0}")]
    Input(#[from] io::Error),
    /// The authority can't be parsed, or a fragment can't be encoded.
    #[error("the authority does not have the format printed by `keys ca`: {0}")]
    Json(#[from] serde_json::Error),
}

/// Certificate authority that signs node certificates.
pub struct Authority {
    certificate: Certificate,
    key: KeyPair,
    trusted_cas: Vec<String>,
}

impl Authority {
    /// Generates a new authority.
    ///
    /// # Errors
    ///
    /// Fails if the system's random number generator fails.
    pub fn generate() -> Result<Self, KeyError> {
        let key = KeyPair::generate()?;
        let certificate = authority_params().self_signed(&key)?;
        let trusted_cas = vec![certificate.pem()];
        Ok(Self {
            certificate,
            key,
            trusted_cas,
        })
    }

    /// Returns the authority with its private key, as needed to issue further certificates.
    pub fn fragment(&self) -> AuthorityFragment {
        let fleet_ca_key = self.key.serialize_pem();
        AuthorityFragment {
            fleet_ca: self.trusted_cas.clone(),
            fleet_ca_key,
        }
    }

    /// Issues a certificate with a new private key for a node, valid for its name and IP addresses.
    ///
    /// The certificate is valid for server and client authentication, since every node accepts and opens connections.
    ///
    /// # Errors
    ///
    /// Fails if the name is not a DNS name.
    pub fn issue(&self, name: &str, ips: &[IpAddr]) -> Result<NodeFragment, KeyError> {
        let key = KeyPair::generate()?;
        let certificate = node_params(name, ips)?.signed_by(&key, &self.certificate, &self.key)?;
        let tls = TlsFragment {
            ca_pem: self.trusted_cas.concat(),
            cert_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        };
        Ok(NodeFragment { tls })
    }
}

impl TryFrom<AuthorityFragment> for Authority {
    type Error = KeyError;

    /// Rebuilds the authority's certificate from its key alone. This is possible because every authority has the same
    /// name.
    fn try_from(fragment: AuthorityFragment) -> Result<Self, Self::Error> {
        let key = KeyPair::from_pem(&fragment.fleet_ca_key)?;
        // If the key matched none of the trusted certificates, `keys node` would issue certificates that every peer
        // rejects, which would only be noticed when the node can't connect to any peer.
        if !fragment
            .fleet_ca
            .iter()
            .any(|pem| contains_public_key(pem, &key))
        {
            return Err(KeyError::Mismatch);
        }
        let certificate = authority_params().self_signed(&key)?;
        Ok(Self {
            certificate,
            key,
            trusted_cas: fragment.fleet_ca,
        })
    }
}

fn contains_public_key(pem: &str, key: &KeyPair) -> bool {
    let public = key.public_key_raw();
    let mut pem = pem.as_bytes();
    let mut certificates = rustls_pemfile::certs(&mut pem).filter_map(Result::ok);
    let contains_key =
        |der: CertificateDer<'_>| der.windows(public.len()).any(|part| part == public);
    certificates.any(contains_key)
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
