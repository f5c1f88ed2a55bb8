//! Keyed fingerprints that identify a request across nodes, attempts and caller retries.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Maximum number of body bytes covered by a [`BodyDigest`], because requests with longer bodies are forwarded before
/// their body is complete.
pub const MAX_DIGESTED_BODY_BYTES: usize = 64 * 1024;

/// Key of the fingerprints. Every node of a fleet must have the same key.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct FingerprintKey(pub SmolStr);

/// The first 128 bits of an HMAC-SHA-256 over the parts of a request that do not change when it is retried.
///
/// Printed as its first 32 bits: enough to search logs for, too few to guess the request from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

/// SHA-256 digest of the first [`MAX_DIGESTED_BODY_BYTES`] of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest([u8; 32]);

/// The parts of a request that do not change when it is retried, unlike ids, time limits and framing.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host, compared case-insensitively.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Workspace of the caller, or of the external request on whose behalf this one is made; `None` if there is none.
    pub workspace: Option<&'a str>,
    /// Digest of the body.
    pub body: BodyDigest,
}

/// Computes fingerprints. Holds an HMAC state initialized with the key.
#[derive(Clone)]
pub struct Fingerprinter(Hmac<Sha256>);

impl BodyDigest {
    /// Computes the digest of a body, or of its first [`MAX_DIGESTED_BODY_BYTES`] if it is longer.
    pub fn of(body: &[u8]) -> Self {
        let prefix = &body[..body.len().min(MAX_DIGESTED_BODY_BYTES)];
        Self(Sha256::digest(prefix).into())
    }
}

impl Fingerprinter {
    /// Creates a fingerprinter with the given key.
    pub fn new(key: &FingerprintKey) -> Self {
        let mac = Hmac::new_from_slice(key.0.as_bytes());
        Self(mac.expect("HMAC accepts keys of any length"))
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, parts: &RequestParts<'_>) -> Fingerprint {
        let mut mac = self.0.clone();
        let host = parts.host.to_ascii_lowercase();
        let fields = [parts.method, host.as_str(), parts.target];
        for field in fields.into_iter().chain(parts.workspace) {
            // Length prefixes keep different lists of parts from hashing to the same input.
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field.as_bytes());
        }
        mac.update(&parts.body.0);
        let digest = mac.finalize().into_bytes();
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&digest[..16]);
        Fingerprint(u128::from_be_bytes(prefix))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(..)")
    }
}

impl fmt::Debug for Fingerprinter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Fingerprinter(..)")
    }
}
