//! Options of `latency`.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::latency::{self, LatencyOptions};

/// Options of `latency`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct LatencyArgs {
    /// Seconds of each run
    #[bpaf(argument("S"), fallback(20.0), display_fallback)]
    seconds: f64,
    /// Runs
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    repeat: u32,
    /// File for the results as JSON
    #[bpaf(argument("FILE"), optional)]
    out: Option<PathBuf>,
}

/// Measures and prints a table.
pub async fn run(args: LatencyArgs) -> Result<(), RigError> {
    let LatencyArgs {
        seconds,
        repeat,
        out,
    } = args;
    let options = LatencyOptions {
        seconds,
        repeat,
        out,
    };
    latency::run(&options).await
}
