//! Messages between nodes and their framing on QUIC streams.

mod call_frame;
mod control;
mod frame;
mod header_frame;
mod reply_frame;

pub use call_frame::{CallFrame, OnceFrame};
pub use control::{
    ControlReply, ControlRequest, DigestFrame, EntryFrame, HelloFrame, NewsFrame, RefusalFrame,
    StateReportFrame, VersionFrame,
};
pub use frame::{
    FrameError, Head, PeerReply, PeerRequest, checksum, read_body, read_head, write_frame,
    write_head,
};
pub use header_frame::HeaderFrame;
pub use reply_frame::{ReplyFrame, ReportFrame, VerdictFrame};
