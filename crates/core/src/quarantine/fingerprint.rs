//! Identity of a request over attempts, callers' retries and nodes.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Bytes of a body that count towards its digest, as requests with longer bodies are sent on before they are complete.
pub const DIGESTED_BODY: usize = 64 * 1024;

/// Key of all fingerprints of a fleet; every node must have the same.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct FingerprintKey(pub SmolStr);

/// 128 bits of an HMAC-SHA-256 over what stays the same when a request is sent again.
///
/// Prints as its first 32 bits, which is enough to find it in logs and too little to guess a request from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

/// Digest of the beginning of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest([u8; 32]);

/// What stays the same when a request is sent again. Ids, time limits and framing do not.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its host; case does not matter.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// The workspace of its caller, or of the request from outside that it serves; `None` where there are none.
    pub workspace: Option<&'a str>,
    /// Its body.
    pub body: BodyDigest,
}

/// Makes fingerprints; holds the state of the HMAC after its key.
#[derive(Clone)]
pub struct Fingerprinter(Hmac<Sha256>);

impl BodyDigest {
    /// The digest of a body, or of its first [`DIGESTED_BODY`] bytes where it is longer.
    pub fn of(body: &[u8]) -> Self {
        let counted = &body[..body.len().min(DIGESTED_BODY)];
        Self(Sha256::digest(counted).into())
    }
}

impl Fingerprinter {
    /// Makes fingerprints with this key.
    pub fn new(key: &FingerprintKey) -> Self {
        let mac = Hmac::new_from_slice(key.0.as_bytes());
        Self(mac.expect("an HMAC takes a key of any length"))
    }

    /// The fingerprint of a request.
    pub fn fingerprint(&self, parts: &RequestParts<'_>) -> Fingerprint {
        let mut mac = self.0.clone();
        let host = parts.host.to_ascii_lowercase();
        let texts = [parts.method, host.as_str(), parts.target];
        for text in texts.into_iter().chain(parts.workspace) {
            // With lengths, so that no two lists of parts read the same.
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
        mac.update(&parts.body.0);
        let whole = mac.finalize().into_bytes();
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Fingerprint(u128::from_be_bytes(half))
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
