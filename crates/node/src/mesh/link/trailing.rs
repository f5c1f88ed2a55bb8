//! Fields that were added to the end of a frame's first format.

use serde::{Deserialize, Deserializer, Serialize};

/// The last field of a frame, which is missing in frames of an earlier format; it has its default then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Trailing<T>(pub T);

impl<'de, T> Deserialize<'de> for Trailing<T>
where
    T: Deserialize<'de> + Default,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        Ok(Self(T::deserialize(deserializer).unwrap_or_default()))
    }
}
