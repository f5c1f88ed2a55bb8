//! Conversion of drawing errors to errors of the rig.

use crate::error::RigError;

/// Converts a drawing error; drawing fails only if the file can't be written.
pub(super) fn draw_error<E>(e: E) -> RigError
where
    E: ToString,
{
    RigError::Settings(format!("failed to write plot: {}", e.to_string()))
}
