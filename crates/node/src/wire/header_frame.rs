//! HTTP headers as sent between nodes.

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use super::FrameError;

/// One end-to-end HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderFrame {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

impl HeaderFrame {
    /// Converts all headers of a map, in iteration order.
    pub fn from_map(headers: &HeaderMap) -> Vec<Self> {
        headers.iter().map(Self::from_pair).collect()
    }

    /// Builds a header map; fails if a name or value is malformed.
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
