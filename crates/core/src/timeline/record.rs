//! One entry of the time line.

use serde::{Deserialize, Serialize};

use crate::id::{NodeName, RequestId};

use super::event::Event;
use super::label;
use super::stamp::Stamp;

/// An event with its place and time, and the request on whose behalf it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When it happened.
    pub at: Stamp,
    /// The node at which it happened.
    pub node: NodeName,
    /// The request, where the event belongs to one.
    #[serde(
        default,
        with = "label::request_id",
        skip_serializing_if = "Option::is_none"
    )]
    pub request: Option<RequestId>,
    /// What happened.
    pub event: Event,
}
