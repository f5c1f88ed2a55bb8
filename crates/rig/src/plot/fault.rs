//! Faults of drawing as errors of the rig.

use crate::error::RigError;

/// Drawing fails only where its file can't be written.
pub(super) fn fault<E>(e: E) -> RigError
where
    E: ToString,
{
    RigError::Settings(format!("a plot can't be written: {}", e.to_string()))
}
