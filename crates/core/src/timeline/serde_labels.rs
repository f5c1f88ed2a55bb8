//! Serde adapters that write types of other modules as labels.

/// Serializes an error kind as the value of the `coltsfootport-error` header.
pub(super) mod error_kind {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use smol_str::SmolStr;

    use crate::error_kind::ErrorKind;

    pub fn serialize<S>(kind: &ErrorKind, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(kind.as_str())
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<ErrorKind, D::Error>
    where
        D: Deserializer<'de>,
    {
        let label = SmolStr::deserialize(deserializer)?;
        let kind = ErrorKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == label);
        kind.ok_or_else(|| D::Error::custom("unknown error kind"))
    }
}

/// Serializes an invariant as its label in metrics.
pub(super) mod invariant {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use smol_str::SmolStr;

    use crate::invariant::Invariant;

    pub fn serialize<S>(invariant: &Invariant, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(invariant.as_str())
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<Invariant, D::Error>
    where
        D: Deserializer<'de>,
    {
        let label = SmolStr::deserialize(deserializer)?;
        let invariant = Invariant::ALL
            .into_iter()
            .find(|invariant| invariant.as_str() == label);
        invariant.ok_or_else(|| D::Error::custom("unknown invariant"))
    }
}

/// Serializes a request ID as 32 hexadecimal digits, the format that callers see.
pub(super) mod request_id {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use smol_str::SmolStr;

    use crate::id::RequestId;

    pub fn serialize<S>(request: &Option<RequestId>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match request {
            Some(request) => serializer.collect_str(request),
            None => serializer.serialize_none(),
        }
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<Option<RequestId>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Option::<SmolStr>::deserialize(deserializer)?;
        text.map(|text| text.parse().map_err(D::Error::custom))
            .transpose()
    }
}
