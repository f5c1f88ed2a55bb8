//! A request as sent to the target.

use std::time::Duration;

use coltsfootport_core::mesh::Dialect;
use http::{HeaderName, HeaderValue};

use crate::h1::RequestHead;
use crate::mesh::call::HostedRequest;

/// Request head for the target, and the id against which its response is checked.
#[derive(Debug)]
pub struct WireRequest {
    /// Head including the headers set by the node.
    pub head: RequestHead,
    /// Request id that the response must carry; empty if the caller sent none.
    pub id: smol_str::SmolStr,
}

impl WireRequest {
    /// Sets the headers for the request id, the only permitted instance, the origin, the remaining time and the
    /// workspace.
    pub fn new(req: &HostedRequest, remaining: Duration, dialect: &Dialect) -> Self {
        let mut head = req.head.clone();
        let remaining = remaining.as_millis().max(1).to_string();
        let values = [
            (dialect.only_instance, req.instance.as_str()),
            (dialect.origin_service, req.origin.as_str()),
            (dialect.time_left_ms, remaining.as_str()),
        ];
        let id = (dialect.request_id, req.id.as_str());
        let id = Some(id).filter(|(_, id)| !id.is_empty());
        let workspace = req.workspace.as_deref();
        let workspace = workspace.map(|workspace| (dialect.workspace, workspace));
        for (name, value) in values.into_iter().chain(id).chain(workspace) {
            // Names are constants, and values come from validated settings or from plain-text entries. A value that is
            // not valid in a header is left out, and the target then rejects the request or ignores the omission.
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                head.headers.insert(HeaderName::from_static(name), value);
            }
        }
        Self {
            head,
            id: req.id.clone(),
        }
    }
}
