//! What the review's cases share: workers, node processes and the record of a run.

mod client;
mod machine;
mod record;
mod scenario;
mod wire;
mod worker;

pub use client::{Client, Outcome};
pub use machine::{Fleet, FleetSpec, Machine};
pub use record::Record;
pub use scenario::{Verdict, run, trouble};
pub use wire::{Digest, header};
pub use worker::{Conduct, Ended, Rejected, Run, Worker, WorkerSpec};
