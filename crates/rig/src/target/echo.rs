//! Body of a target's answer, by which a caller tells that the answer is whole and its own.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// What a target saw of a call, with the answers of its calls to further services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service that answers.
    pub service: SmolStr,
    /// The call's `x-rig-key`, empty where it had none.
    pub key: SmolStr,
    /// The method.
    pub method: SmolStr,
    /// Path and query as the target saw them.
    pub path: String,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// CRC-32 of the request body.
    pub body_crc32: u32,
    /// Calls to further services in the order of the settings.
    pub downstream: Vec<DownstreamEcho>,
    /// Length that `padding` must have.
    pub padding_bytes: usize,
    /// Filler.
    pub padding: String,
}

/// How one call to a further service ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownstreamEcho {
    /// `/{service}/{path}` of the call.
    pub path: SmolStr,
    /// Times that the call was sent.
    pub sent: u32,
    /// Status of the last answer, 0 where there was none.
    pub status: u16,
    /// The `coltsfootport-outcome` header of the last answer.
    pub outcome: Option<SmolStr>,
    /// The further service's own echo, where it answered with success.
    pub echo: Option<Echo>,
}

impl DownstreamEcho {
    /// Whether the further service answered whole and with success.
    pub fn is_success(&self) -> bool {
        self.echo.is_some()
    }
}

impl Echo {
    /// The key that the call at `index` to a further service carries.
    pub fn downstream_key(key: &str, index: usize) -> SmolStr {
        match key {
            "" => SmolStr::default(),
            key => format_smolstr!("{key}.{index}"),
        }
    }

    /// Whether this answer, and each nested one, is whole and belongs to the call with this key.
    pub fn belongs_to(&self, key: &str) -> bool {
        let own = self.key == key && self.padding.len() == self.padding_bytes;
        own && self.downstream.iter().enumerate().all(|(index, nested)| {
            let key = Self::downstream_key(key, index);
            nested
                .echo
                .as_ref()
                .is_none_or(|echo| echo.belongs_to(&key))
        })
    }
}
