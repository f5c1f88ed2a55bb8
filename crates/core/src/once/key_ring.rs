//! Authentication of tokens with the shared keys of the fleet.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::error_kind::ErrorKind;
use crate::once::Token;
use crate::once::wire::WireToken;

/// Maximum length of a text accepted by [`KeyRing::open`], in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// Length of an HMAC-SHA256 tag in bytes.
const TAG_BYTES: usize = 32;

/// Minimum length of a secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Domain separation from other uses of the same secret; also identifies the version of the format.
const TAG_CONTEXT: &[u8] = b"coltsfootport token 1";

/// Secret key shared by all nodes of the fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    /// Key id, stored in the sealed token.
    pub id: u8,
    /// The secret, at least 16 random bytes.
    pub secret: Vec<u8>,
}

/// Omits the secret, so that it can't be written to a log.
impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Error for an invalid list of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// The list contains no key to seal with.
    #[error("the fleet has no key")]
    NoKeys,
    /// Two keys have the same id.
    #[error("fleet key {0} is given twice")]
    DuplicateId(u8),
    /// A secret is too short to resist guessing.
    #[error("the secret of fleet key {0} is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort(u8),
}

/// Keys of the fleet. The first key seals tokens; every key can open them.
///
/// Key rotation takes three steps, each of which must be in force on all nodes before the next: append the new key,
/// move it to the front, and remove the old key after the retention has passed.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<FleetKey>,
}

impl KeyRing {
    /// Creates a key ring from `keys`, of which the first one seals.
    pub fn new(keys: Vec<FleetKey>) -> Result<Self, KeyRingError> {
        if keys.is_empty() {
            return Err(KeyRingError::NoKeys);
        }
        for (index, key) in keys.iter().enumerate() {
            if key.secret.len() < MIN_SECRET_BYTES {
                return Err(KeyRingError::SecretTooShort(key.id));
            }
            if keys[..index].iter().any(|other| other.id == key.id) {
                return Err(KeyRingError::DuplicateId(key.id));
            }
        }
        Ok(Self { keys })
    }

    /// Encodes and signs `token` as URL-safe text.
    ///
    /// If the names in the token are so long that the text exceeds 1,024 bytes, it can't be opened again.
    pub fn seal(&self, token: &Token) -> SmolStr {
        let key = &self.keys[0];
        let start = vec![key.id];
        let mut buf = postcard::to_extend(&WireToken::from(token), start)
            .expect("numbers and text always serialise into a growing buffer");
        let tag = token_mac(key, &buf).finalize().into_bytes();
        buf.extend_from_slice(&tag);
        SmolStr::from(URL_SAFE_NO_PAD.encode(buf))
    }

    /// Verifies and decodes a sealed token.
    ///
    /// Fails with [`ErrorKind::BadToken`] if the text is forged, truncated, too long or sealed by a key that isn't in
    /// the ring.
    pub fn open(&self, text: &str) -> Result<Token, ErrorKind> {
        self.decode_verified(text).ok_or(ErrorKind::BadToken)
    }

    fn decode_verified(&self, text: &str) -> Option<Token> {
        if text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let buf = URL_SAFE_NO_PAD.decode(text).ok()?;
        let tag_start = buf.len().checked_sub(TAG_BYTES)?;
        let (sealed, tag) = buf.split_at(tag_start);
        let (key_id, body) = sealed.split_first()?;
        let key = self.keys.iter().find(|key| key.id == *key_id)?;
        token_mac(key, sealed).verify_slice(tag).ok()?;
        postcard::from_bytes::<WireToken>(body)
            .ok()
            .map(Token::from)
    }
}

fn token_mac(key: &FleetKey, sealed: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes any key length");
    mac.update(TAG_CONTEXT);
    mac.update(sealed);
    mac
}
