//! Faults that can be injected into a fleet.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::platform::FaultMode;

/// Traffic direction that is cut between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Requests and answers are lost.
    Both,
    /// Requests are lost.
    Requests,
    /// Answers are lost.
    Answers,
}

/// A fault, which is reverted when it ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Kills a node and restarts it when the fault ends.
    Kill {
        /// Name of the node.
        node: SmolStr,
    },
    /// Tells a node to stop and restarts it when the fault ends.
    Stop {
        /// Name of the node.
        node: SmolStr,
    },
    /// Kills a node and restarts it at once.
    Restart {
        /// Name of the node.
        node: SmolStr,
    },
    /// Suspends a node until the fault ends.
    Freeze {
        /// Name of the node.
        node: SmolStr,
    },
    /// Cuts the links between two failure domains.
    Cut {
        /// Failure domain of the callers of the links.
        from: SmolStr,
        /// Failure domain of the nodes that the links lead to.
        to: SmolStr,
        /// Direction that is lost.
        direction: Direction,
    },
    /// Duplicates, reorders and drops datagrams between two failure domains.
    Scramble {
        /// Failure domain of the callers of the links.
        from: SmolStr,
        /// Failure domain of the nodes that the links lead to.
        to: SmolStr,
    },
    /// Makes the platform of a failure domain unreadable or stale.
    Platform {
        /// Name of the failure domain.
        domain: SmolStr,
        /// Failure mode of the platform.
        mode: FaultMode,
    },
    /// Slows a target down and makes it fail some calls.
    Target {
        /// Node that the target belongs to.
        node: SmolStr,
        /// Service time in milliseconds.
        service_ms: u32,
        /// Ratio of calls that fail.
        fail_ratio: f64,
    },
    /// Removes a running node from the platform's list.
    Unlist {
        /// Name of the node.
        node: SmolStr,
    },
    /// Publishes a changed document, and the original one when the fault ends.
    Publish {
        /// Retry allowance in the changed document.
        retry_allowance: u16,
    },
}

/// A fault with its start and end times, relative to the start of the round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Begin in milliseconds.
    pub at_ms: u64,
    /// End in milliseconds.
    pub until_ms: u64,
    /// The fault to inject.
    pub fault: Fault,
}
