//! The task that owns everything a node decides by: configuration, instances, levels, budgets and the target's gate.

mod admission;
mod authentication;
mod dispatch;
mod drain;
mod entries;
mod event;
mod guards;
mod handle;
mod publisher_updates;
mod quarantine;
mod quota_report;
mod quotas;
mod route_stats;
mod runs;
mod state;
mod task;

pub use event::{
    AdmitAsk, Admitted, AfterRun, ControllerEvent, Credential, Denied, EndedSend, EnterAsk,
    Granted, LeftSlot, NotGranted, OuterRun, RetryAsk, SendAsk, SendTo,
};
pub use guards::{SendGuard, SlotGuard};
pub use handle::ControllerHandle;
pub use state::{Controller, ControllerChannels, ControllerConfig};
pub use task::run_controller;
