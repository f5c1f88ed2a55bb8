//! What a home does with a call that bears one of its tokens.

use crate::error_kind::ErrorKind;
use crate::once::RecordKey;

/// The home's decision on an arriving call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival<A> {
    /// The call is the one that may run: take it through admission, then
    /// [`dispatch`](crate::once::OnceTable::dispatch) it or report it as
    /// [`withdrawn`](crate::once::OnceTable::withdrawn).
    Run(RecordKey),
    /// The token's call waits or runs already: give this call the same answer or error.
    Join(RecordKey),
    /// The token's call ran; this is its answer.
    Replay(A),
    /// The call doesn't run; the outcome of the error kind is true for the token up to this try.
    Refused(ErrorKind),
}
