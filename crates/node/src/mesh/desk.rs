//! The task that owns everything a node decides by: configuration, instances, levels, budgets and the target's gate.

mod entering;
mod entries;
mod event;
mod guards;
mod handle;
mod hosting;
mod news;
mod route_stats;
mod runs;
mod state;
mod task;

pub use event::{
    AdmitAsk, Admitted, AgainAsk, Denied, DeskEvent, EndedSend, EnterAsk, Granted, NotGranted,
    OuterRun, SendAsk, SendTo,
};
pub use guards::{SendGuard, SlotGuard};
pub use handle::DeskHandle;
pub use state::{Desk, DeskConfig};
pub use task::run_desk;
