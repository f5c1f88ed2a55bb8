//! Keyed digests of API keys, so that a directory holds no keys in memory.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Secret for the digests of a directory; generated for each directory and never sent.
///
/// With an unkeyed hash, digests in a memory dump of a node could be compared with precomputed digests of guessed keys,
/// and callers could choose keys that collide in one bucket of the table.
#[derive(Clone, Copy)]
pub struct DirectorySecret(pub [u8; 32]);

/// Digest of a key: 128 bits of an HMAC-SHA-256, which makes accidental collisions within a directory negligible.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct KeyDigest([u8; 16]);

/// Computes digests. Holds the HMAC state that is already initialized with the secret, to clone for each digest.
#[derive(Clone)]
pub(super) struct KeyHasher(Hmac<Sha256>);

impl KeyHasher {
    /// Creates a hasher with the given secret.
    pub(super) fn new(secret: DirectorySecret) -> Self {
        let mac = Hmac::new_from_slice(&secret.0);
        Self(mac.expect("HMAC accepts a secret of any length"))
    }

    /// Returns the digest of a key.
    pub(super) fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut mac = self.0.clone();
        mac.update(key);
        let full = mac.finalize().into_bytes();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        KeyDigest(truncated)
    }
}

impl std::fmt::Debug for DirectorySecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DirectorySecret(..)")
    }
}
