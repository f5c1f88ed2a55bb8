//! Choice of hosts: a task that owns routing, the admission levels reported by hosts, retry budgets and token minting.

mod attempt_guard;
mod handle;
mod message;
mod task;

pub use attempt_guard::AttemptGuard;
pub use handle::RoutesHandle;
pub use message::{AttemptEnd, Choice, PeerLoad, PickRequest, Route, RoutesMessage};
pub use task::{Routes, RoutesSetup};
