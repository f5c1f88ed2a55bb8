//! The controller task. It owns the state that a node's decisions depend on: configuration, instances, overload levels,
//! retry budgets and the gate of the local target.

mod admission;
mod announcements;
mod answer_guard;
mod answers;
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
mod silence;
mod state;
mod task;
mod waiters;

pub use answer_guard::AnswerGuard;
pub use event::{
    AcquireSlotRequest, AdmissionRequest, AdmittedRequest, AnswerEnd, AnswerOf, CompletedSend,
    ControllerEvent, Credential, Denial, InstanceGrant, InstanceRequest, ParentRun, RetryRequest,
    RunOutcome, SlotGrant, SlotRefusal, SlotRelease,
};
pub use guards::{SendGuard, SlotGuard};
pub use handle::ControllerHandle;
pub use state::{Controller, ControllerChannels, ControllerConfig};
pub use task::run_controller;
