//! Keys and certificates in the format of the settings.

use std::fmt::Write;

use rand::RngCore;
use serde::{Deserialize, Serialize};

/// Length of a fleet secret in bytes, equal to the output length of the MAC's hash function.
const SECRET_BYTES: usize = 32;

/// Fleet secrets, each identified by a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetFragment {
    /// The secrets.
    pub fleet_keys: Vec<SecretFragment>,
}

/// A fleet secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretFragment {
    /// Number of the secret, incremented at each rotation.
    pub id: u8,
    /// Secret bytes in hexadecimal.
    pub secret_hex: String,
}

/// Certificate authority of the fleet with its private key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthorityFragment {
    /// Certificates of the authorities that nodes trust, in PEM format.
    pub fleet_ca: Vec<String>,
    /// Private key of the authority, in PEM format; must not be put into the settings of any node.
    pub fleet_ca_key: String,
}

/// Fragment of node settings with the `tls` section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFragment {
    /// The `tls` section.
    pub tls: TlsFragment,
}

/// Certificate and key of a node, and the authorities that it trusts to identify its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TlsFragment {
    /// Certificates of the authorities that nodes trust, in PEM format.
    pub ca_pem: String,
    /// Certificate of the node, in PEM format.
    pub cert_pem: String,
    /// Private key of the node, in PEM format.
    pub key_pem: String,
}

impl FleetFragment {
    /// Generates a fragment with one new secret.
    pub fn generate(id: u8) -> Self {
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
