//! Replies to requests that the node does not run.

use coltsfootport_core::mesh::Refusal;

use super::super::frames::ReplyFrame;
use crate::mesh::call::{HostReply, Refused, Report};
use crate::mesh::host::Host;

/// Reply of a node that is stopping.
pub(super) fn stopping_reply() -> ReplyFrame {
    ReplyFrame::from(&HostReply {
        result: Err(Refused::from(Refusal::Stopping)),
        report: Report {
            stopping: true,
            ..Default::default()
        },
    })
}

/// Reply to a request for which there is no room.
pub(super) async fn busy_reply(host: &Host) -> HostReply {
    HostReply {
        result: Err(Refused::from(Refusal::Busy)),
        report: host.controller.report().await,
    }
}
