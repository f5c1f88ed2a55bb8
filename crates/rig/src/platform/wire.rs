//! JSON types of the platform's HTTP interface.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Entry of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The key, such as `documents/bidding`.
    pub key: SmolStr,
    /// The revision at which the value was written.
    pub revision: u64,
    /// The value.
    pub value: SmolStr,
}

/// Response to `GET /config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The highest revision of the store.
    pub revision: u64,
    /// Every entry that is newer than the revision given by the reader.
    pub entries: Vec<ConfigEntry>,
}

/// State of an instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance accepts calls.
    Live,
    /// The instance is about to shut down.
    Leaving,
}

/// Instance in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance's node.
    pub node: SmolStr,
    /// The service that the instance runs.
    pub service: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Address of the node's `peers` listener.
    pub peer: SmolStr,
    /// Address of the node's `operators` listener.
    pub operators: SmolStr,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

/// Response to `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesAnswer {
    /// The revision of the list.
    pub revision: u64,
    /// The complete list, or empty if the reader already has this revision.
    pub instances: Vec<Instance>,
}

/// Response to an accepted write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The revision of the write.
    pub revision: u64,
}

/// Reads that a fault applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultScope {
    /// Both the configuration service and the instance list.
    #[default]
    All,
    /// Only the configuration service.
    Config,
    /// Only the instance list.
    Instances,
}

/// Body of `POST /fault`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Fault to apply from now on.
    pub mode: super::FaultMode,
    /// Reads that the fault applies to.
    #[serde(default)]
    pub scope: FaultScope,
    /// Whether `down` closes connections without a response instead of answering with `503`.
    #[serde(default)]
    pub drop: bool,
}

/// Response to `GET /counts`: read calls by kind. Writes and control calls are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All read calls, including those affected by a fault. A watch counts once, however long it waits.
    pub calls: u64,
    /// Calls with `wait_ms` absent or zero.
    pub reads: u64,
    /// Calls with a non-zero `wait_ms`.
    pub watches: u64,
    /// Calls of `GET /config`.
    pub config: u64,
    /// Calls of `GET /instances`.
    pub instances: u64,
    /// Calls that were answered with `503` or whose connection was closed.
    pub failed: u64,
}
