//! Section `tls`: certificates of the fleet, as PEM text because instances have no disks.

use coltsfootport_core::jsonc::{Item, Section};

use super::Secret;

/// Certificates for the connections between nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificates of the authorities that the fleet trusts; several during a rotation.
    pub ca_pem: String,
    /// Certificate of this node, with the chain below the authority.
    pub cert_pem: String,
    /// Private key of the certificate.
    pub key_pem: Secret<String>,
}

impl TlsSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let ca_pem = section.required("ca_pem").and_then(read_certificates);
        let cert_pem = section.required("cert_pem").and_then(read_certificates);
        let key_pem = section.required("key_pem").and_then(read_private_key);
        section.finish();
        Some(Self {
            ca_pem: ca_pem?,
            cert_pem: cert_pem?,
            key_pem: key_pem?,
        })
    }
}

fn read_certificates(item: Item<'_, '_>) -> Option<String> {
    item.parsed(|text| {
        let certificates: Result<Vec<_>, _> = rustls_pemfile::certs(&mut text.as_bytes()).collect();
        match certificates {
            Ok(list) if !list.is_empty() => Ok(text.to_owned()),
            _ => Err("the text holds no certificate in PEM form".to_owned()),
        }
    })
}

fn read_private_key(item: Item<'_, '_>) -> Option<Secret<String>> {
    item.parsed(
        |text| match rustls_pemfile::private_key(&mut text.as_bytes()) {
            Ok(Some(_)) => Ok(Secret::new(text.to_owned())),
            _ => Err("the text holds no private key in PEM form".to_owned()),
        },
    )
}
