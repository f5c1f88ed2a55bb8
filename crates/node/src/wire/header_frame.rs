//! HTTP headers as they travel between nodes.

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use super::FrameError;

/// One end-to-end HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderFrame {
    /// The name in lower case.
    pub name: String,
    /// The value as received.
    pub value: Vec<u8>,
}

impl HeaderFrame {
    /// All headers of a map, in its order.
    pub fn from_map(headers: &HeaderMap) -> Vec<Self> {
        headers.iter().map(Self::from_pair).collect()
    }

    /// A map of all frames; a malformed name or value is refused.
    pub fn into_map(frames: Vec<Self>) -> Result<HeaderMap, FrameError> {
        let mut headers = HeaderMap::with_capacity(frames.len());
        for frame in frames {
            let name = HeaderName::try_from(frame.name).map_err(|_| FrameError::Malformed)?;
            let value = HeaderValue::try_from(frame.value).map_err(|_| FrameError::Malformed)?;
            headers.append(name, value);
        }
        Ok(headers)
    }

    fn from_pair((name, value): (&HeaderName, &HeaderValue)) -> Self {
        Self {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        }
    }
}
