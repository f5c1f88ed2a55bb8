//! Entry of `fleet_keys`: a key that authenticates tokens and contexts.

use coltsfootport_core::jsonc::{Item, Section};

use super::Secret;

/// Key shared by all nodes of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetKey {
    /// Id of the key, unique in the fleet.
    pub id: u8,
    /// Secret of 16 to 64 bytes.
    pub secret: Secret<Vec<u8>>,
}

impl FleetKey {
    /// Minimum length of a key in bytes, long enough to prevent brute-force attacks.
    const MIN_BYTES: usize = 16;

    /// Maximum length of a key in bytes: the block size of SHA-256. HMAC hashes longer keys first.
    const MAX_BYTES: usize = 64;

    pub(super) fn read(mut section: Section<'_, '_>) -> Option<Self> {
        let id = section
            .required("id")
            .and_then(|item| item.integer(1..=255));
        let secret = section.required("secret_hex").and_then(read_secret);
        section.finish();
        Some(Self {
            id: id?,
            secret: secret?,
        })
    }
}

fn read_secret(item: Item<'_, '_>) -> Option<Secret<Vec<u8>>> {
    item.parsed(|text| {
        let lengths = FleetKey::MIN_BYTES..=FleetKey::MAX_BYTES;
        match decode_hex(text).filter(|bytes| lengths.contains(&bytes.len())) {
            Some(bytes) => Ok(Secret::new(bytes)),
            None => Err(format!(
                "expected {} to {} bytes, each as two hexadecimal digits",
                FleetKey::MIN_BYTES,
                FleetKey::MAX_BYTES
            )),
        }
    })
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
