//! Sealing of tokens under the keys of the fleet.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::error_kind::ErrorKind;
use crate::once::Token;
use crate::once::wire::WireToken;

/// Longest text that [`KeyRing::open`] reads, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// Length of an HMAC-SHA256 tag.
const TAG_BYTES: usize = 32;

/// Shortest secret that is taken as a key.
const MIN_SECRET_BYTES: usize = 16;

/// Separates tags of tokens from any other use of the same secret, and names the format.
const CONTEXT: &[u8] = b"coltsfootport token 1";

/// A secret that all nodes of the fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    /// Number by which a token names its key.
    pub id: u8,
    /// The secret, at least 16 random bytes.
    pub secret: Vec<u8>,
}

/// Leaves the secret out, so that it can't reach a log.
impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A list of keys can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// No key to seal with.
    #[error("the fleet has no key")]
    Empty,
    /// Two keys have the same id.
    #[error("fleet key {0} is given twice")]
    Twice(u8),
    /// A secret can be guessed.
    #[error("the secret of fleet key {0} is shorter than {MIN_SECRET_BYTES} bytes")]
    Short(u8),
}

/// The keys of the fleet: the first one seals, all of them open.
///
/// A key is rotated in three steps, each once the one before is in force on all nodes: add the new key at the end, move
/// it to the front, remove the old one after the retention has passed.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<FleetKey>,
}

impl KeyRing {
    /// A ring of `keys`, of which the first one seals.
    pub fn new(keys: Vec<FleetKey>) -> Result<Self, KeyRingError> {
        if keys.is_empty() {
            return Err(KeyRingError::Empty);
        }
        for (index, key) in keys.iter().enumerate() {
            if key.secret.len() < MIN_SECRET_BYTES {
                return Err(KeyRingError::Short(key.id));
            }
            if keys[..index].iter().any(|other| other.id == key.id) {
                return Err(KeyRingError::Twice(key.id));
            }
        }
        Ok(Self { keys })
    }

    /// The text of `token`, URL-safe.
    ///
    /// A token whose names are so long that the text passes 1,024 bytes can't be opened again.
    pub fn seal(&self, token: &Token) -> SmolStr {
        let key = &self.keys[0];
        let start = vec![key.id];
        let mut buf = postcard::to_extend(&WireToken::from(token), start)
            .expect("numbers and text always serialise into a growing buffer");
        let tag = mac(key, &buf).finalize().into_bytes();
        buf.extend_from_slice(&tag);
        SmolStr::from(URL_SAFE_NO_PAD.encode(buf))
    }

    /// The token that `text` was sealed from.
    ///
    /// Fails with [`ErrorKind::BadToken`] if the text is forged, cut, too long or sealed by a key which isn't in the
    /// ring.
    pub fn open(&self, text: &str) -> Result<Token, ErrorKind> {
        self.open_sealed(text).ok_or(ErrorKind::BadToken)
    }

    fn open_sealed(&self, text: &str) -> Option<Token> {
        if text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let buf = URL_SAFE_NO_PAD.decode(text).ok()?;
        let tag_start = buf.len().checked_sub(TAG_BYTES)?;
        let (sealed, tag) = buf.split_at(tag_start);
        let (key_id, body) = sealed.split_first()?;
        let key = self.keys.iter().find(|key| key.id == *key_id)?;
        mac(key, sealed).verify_slice(tag).ok()?;
        postcard::from_bytes::<WireToken>(body)
            .ok()
            .map(Token::from)
    }
}

fn mac(key: &FleetKey, sealed: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes any key length");
    mac.update(CONTEXT);
    mac.update(sealed);
    mac
}
