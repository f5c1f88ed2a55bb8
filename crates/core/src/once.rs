//! At-most-once execution without persistent storage: tokens, the token table of a home and the rules for an entry.
//!
//! A [`Token`] names one home, that is, one incarnation of one node. A call that carries the token runs at that
//! incarnation or not at all. The home's [`OnceTable`] keeps the result of the call for longer than the home accepts
//! the token.

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
