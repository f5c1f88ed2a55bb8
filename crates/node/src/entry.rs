//! Entry of calls: reads and classifies them, sends them to hosts and responds to their callers.

mod call_progress;
mod caller_response;
mod dispatcher;
mod inbound_call;
mod origin;
mod pinned;
mod prepare;
mod retry_budget;
mod service;
mod token_endpoint;
mod tokens;

pub use caller_response::CallerResponse;
pub use dispatcher::{Dispatcher, DispatcherSetup};
pub use inbound_call::InboundCall;
pub use origin::Origin;
pub use retry_budget::RetryBudget;
pub use service::{EntryLimits, EntryService};
pub use tokens::TokenIssuer;
