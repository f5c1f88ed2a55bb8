//! Node lifecycle: starting, serving, leaving and stopped, with a graceful shutdown.

mod config;
mod event;
mod machine;
mod phase;

pub use config::LifecycleConfig;
pub use event::LifecycleEvent;
pub use machine::Lifecycle;
pub use phase::Phase;
