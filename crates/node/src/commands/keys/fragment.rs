//! Keys and certificates in the form in which settings hold them.

use std::fmt::Write;

use rand::RngCore;
use serde::{Deserialize, Serialize};

/// Bytes of a fleet secret: the length of the MAC's hash.
const SECRET_BYTES: usize = 32;

/// The fleet's secrets, each known by its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetFragment {
    /// The secrets.
    pub fleet_keys: Vec<SecretFragment>,
}

/// One secret of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretFragment {
    /// Its number, raised at each rotation.
    pub id: u8,
    /// Its bytes in hexadecimal.
    pub secret_hex: String,
}

/// The certificate authority of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthorityFragment {
    /// Certificates of the authorities that nodes trust, as PEM.
    pub fleet_ca: Vec<String>,
    /// Private key of the authority, as PEM; it belongs into no node's settings.
    pub fleet_ca_key: String,
}

/// Section `tls` of a node's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFragment {
    /// The section.
    pub tls: TlsFragment,
}

/// What a node shows to its peers and what it asks of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TlsFragment {
    /// Certificates of the authorities that nodes trust, as PEM.
    pub ca_pem: String,
    /// Certificate of the node, as PEM.
    pub cert_pem: String,
    /// Private key of the node, as PEM.
    pub key_pem: String,
}

impl FleetFragment {
    /// One fresh secret.
    pub fn random(id: u8) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        rand::rng().fill_bytes(&mut bytes);
        Self {
            fleet_keys: vec![SecretFragment {
                id,
                secret_hex: hex(&bytes),
            }],
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
