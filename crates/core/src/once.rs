//! Runs at most once without a store: tokens, the table of their home and the rules of an entry.
//!
//! A [`Token`] names one home, which is one incarnation of one node. A call that bears it runs at that incarnation or
//! nowhere, and the home's [`OnceTable`] keeps what became of it for longer than the home accepts the token.

mod answer_size;
mod arrival;
mod config;
mod identity;
mod key_ring;
mod minter;
mod record;
mod records;
mod refusal;
mod table;
mod tick;
mod token;
mod try_number;
mod watermarks;
mod wire;

pub use answer_size::AnswerSize;
pub use arrival::Arrival;
pub use config::OnceConfig;
pub use identity::Identity;
pub use key_ring::{FleetKey, KeyRing, KeyRingError};
pub use minter::Minter;
pub use record::RecordKey;
pub use refusal::Refusal;
pub use table::OnceTable;
pub use tick::Tick;
pub use token::Token;
pub use try_number::Try;
