//! Response body of a target, which lets a caller verify that the response is complete and belongs to its call.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Call as received by a target, with the results of its calls to downstream services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service that responds.
    pub service: SmolStr,
    /// The call's `x-rig-key`, or empty if it has none.
    pub key: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query as received by the target.
    pub path: String,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// CRC-32 of the request body.
    pub body_crc32: u32,
    /// Calls to downstream services, in the order of the settings.
    pub downstream: Vec<DownstreamEcho>,
    /// Expected length of `padding`.
    pub padding_bytes: usize,
    /// Filler that brings the response to the configured size.
    pub padding: String,
}

/// Result of a call to a downstream service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownstreamEcho {
    /// `/{service}/{path}` of the call.
    pub path: SmolStr,
    /// Number of times the call was sent.
    pub sent: u32,
    /// Status of the last response, or 0 if there was none.
    pub status: u16,
    /// The `coltsfootport-outcome` header of the last response.
    pub outcome: Option<SmolStr>,
    /// Echo of the downstream service, if it responded successfully.
    pub echo: Option<Echo>,
}

impl DownstreamEcho {
    /// Whether the downstream service responded completely and successfully.
    pub fn is_success(&self) -> bool {
        self.echo.is_some()
    }
}

impl Echo {
    /// Returns the key of the downstream call at `index`.
    pub fn downstream_key(key: &str, index: usize) -> SmolStr {
        match key {
            "" => SmolStr::default(),
            key => format_smolstr!("{key}.{index}"),
        }
    }

    /// Whether this response and each nested one is complete and belongs to the call with this key.
    pub fn belongs_to(&self, key: &str) -> bool {
        let is_own = self.key == key && self.padding.len() == self.padding_bytes;
        is_own
            && self.downstream.iter().enumerate().all(|(index, nested)| {
                let key = Self::downstream_key(key, index);
                nested
                    .echo
                    .as_ref()
                    .is_none_or(|echo| echo.belongs_to(&key))
            })
    }
}
