//! JSON types of the platform's interface.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One key of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The key, such as `documents/bidding`.
    pub key: SmolStr,
    /// The revision at which the value was written.
    pub revision: u64,
    /// The value.
    pub value: SmolStr,
}

/// Answer of `GET /config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The highest revision of the store.
    pub revision: u64,
    /// Every key above the revision that the reader named.
    pub entries: Vec<ConfigEntry>,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance takes work.
    Live,
    /// The instance is about to go.
    Leaving,
}

/// One instance of the list.
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
    /// Live or leaving.
    pub state: InstanceState,
}

/// Answer of `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesAnswer {
    /// The revision of the list.
    pub revision: u64,
    /// The whole list, empty where the reader already has this revision.
    pub instances: Vec<Instance>,
}

/// Answer of an accepted write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The revision of the write.
    pub revision: u64,
}

/// Which reads a fault touches.
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
    /// The fault from now on.
    pub mode: super::FaultMode,
    /// Which reads it touches.
    #[serde(default)]
    pub scope: FaultScope,
    /// Whether `down` closes connections without an answer in place of `503`.
    #[serde(default)]
    pub drop: bool,
}

/// Answer of `GET /counts`: read calls by kind; writes and control calls aren't counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All read calls, also those that met a fault; a waiting watch counts as one.
    pub calls: u64,
    /// Calls without `wait_ms`.
    pub reads: u64,
    /// Calls with `wait_ms`.
    pub watches: u64,
    /// Calls of `GET /config`.
    pub config: u64,
    /// Calls of `GET /instances`.
    pub instances: u64,
    /// Calls that were answered `503` or dropped.
    pub failed: u64,
}
