//! The entry's side of a call: what it is, where it goes, and what its caller is told.

mod course;
mod dispatcher;
mod inbound;
mod origin;
mod outcome;
mod pinned;
mod prepare;
mod retry_budget;
mod service;
mod token_endpoint;
mod tokens;

pub use dispatcher::{Dispatcher, DispatcherSetup};
pub use inbound::Inbound;
pub use origin::Origin;
pub use outcome::Outgoing;
pub use retry_budget::RetryBudget;
pub use service::{EntryLimits, EntryService};
pub use tokens::TokenIssuer;
