//! Decision of a home on a call that carries a token.

use crate::error_kind::ErrorKind;
use crate::once::RecordKey;

/// Decision of the home on an incoming call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival<A> {
    /// This call may run. Pass it through admission, then
    /// [`dispatch`](crate::once::OnceTable::dispatch) it or report it as
    /// [`withdrawn`](crate::once::OnceTable::withdrawn).
    Run(RecordKey),
    /// A call with this token is already waiting or running. Return its answer or error to this call too.
    Join(RecordKey),
    /// The call has already run; contains its stored answer.
    Replay(A),
    /// The call is not run. The outcome of the error kind holds for all tries of the token up to this one.
    Refused(ErrorKind),
}
