//! Section `tls`: certificates of the fleet, given as PEM text because instances have no disks.

use coltsfootport_core::jsonc::{FaultKind, Item, Presence, Section};
use rustls::crypto::ring::sign::any_supported_type;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use rustls::{Error, InconsistentKeys, RootCertStore};

use super::Secret;

/// Certificates and key for connections between nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificates of the authorities that the fleet trusts. During a rotation there are several.
    pub ca_pem: String,
    /// Certificate of this node, followed by the intermediate certificates.
    pub cert_pem: String,
    /// Private key of the certificate.
    pub key_pem: Secret<String>,
}

impl TlsSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let ca_pem = section.required("ca_pem").and_then(read_authorities);
        let cert_pem = section.required("cert_pem").and_then(read_certificates);
        let key_pem = section.required("key_pem").and_then(read_private_key);
        if let (Some(cert_pem), Some(key_pem)) = (&cert_pem, &key_pem)
            && !is_key_pair(cert_pem, key_pem)
        {
            // Otherwise the node would start, but every peer would refuse its connections.
            let message = "the private key does not match the certificate";
            section.fault("key_pem", Presence::Required, FaultKind::Invalid, message);
        }
        section.finish();
        let key_pem = Secret::new(key_pem?.to_owned());
        Some(Self {
            ca_pem: ca_pem?.to_owned(),
            cert_pem: cert_pem?.to_owned(),
            key_pem,
        })
    }
}

fn read_authorities<'t>(item: Item<'t, '_>) -> Option<&'t str> {
    item.parsed(|text| {
        let authorities = parse_certificates(text)?;
        let mut store = RootCertStore::empty();
        let (_, refused) = store.add_parsable_certificates(authorities);
        match refused {
            0 => Ok(text),
            _ => Err(format!(
                "{refused} of the certificates can't be used as a certificate authority"
            )),
        }
    })
}

fn read_certificates<'t>(item: Item<'t, '_>) -> Option<&'t str> {
    item.parsed(|text| parse_certificates(text).map(|_| text))
}

fn read_private_key<'t>(item: Item<'t, '_>) -> Option<&'t str> {
    item.parsed(|text| {
        let key = parse_private_key(text)?;
        match any_supported_type(&key) {
            Ok(_) => Ok(text),
            Err(_) => Err("unsupported type of private key".to_owned()),
        }
    })
}

fn parse_certificates(text: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let list: Result<Vec<_>, _> = rustls_pemfile::certs(&mut text.as_bytes()).collect();
    match list {
        Ok(list) if !list.is_empty() => Ok(list),
        _ => Err("no certificate in PEM format found".to_owned()),
    }
}

fn parse_private_key(text: &str) -> Result<PrivateKeyDer<'static>, String> {
    match rustls_pemfile::private_key(&mut text.as_bytes()) {
        Ok(Some(key)) => Ok(key),
        _ => Err("no private key in PEM format found".to_owned()),
    }
}

/// Returns whether a private key matches the first certificate.
fn is_key_pair(cert_pem: &str, key_pem: &str) -> bool {
    let (Ok(chain), Ok(key)) = (parse_certificates(cert_pem), parse_private_key(key_pem)) else {
        return false;
    };
    let Ok(key) = any_supported_type(&key) else {
        return false;
    };
    match CertifiedKey::new(chain, key).keys_match() {
        Ok(()) | Err(Error::InconsistentKeys(InconsistentKeys::Unknown)) => true,
        Err(_) => false,
    }
}
