//! Timeline records.

use serde::{Deserialize, Serialize};

use crate::id::{NodeName, RequestId};

use super::event::Event;
use super::serde_labels;
use super::stamp::Stamp;

/// Event with its time, node and request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event.
    pub at: Stamp,
    /// Node at which the event occurred.
    pub node: NodeName,
    /// Request that the event belongs to, if any.
    #[serde(
        default,
        with = "serde_labels::request_id",
        skip_serializing_if = "Option::is_none"
    )]
    pub request: Option<RequestId>,
    /// The event itself.
    pub event: Event,
}
