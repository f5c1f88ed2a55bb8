//! Options of `latency`.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::latency::{self, LatencyOptions};

/// Options of `latency`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct LatencyArgs {
    /// Duration of each run in seconds
    #[bpaf(argument("S"), fallback(20.0), display_fallback)]
    seconds: f64,
    /// Number of runs
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    repeat: u32,
    /// Output file for the results as JSON
    #[bpaf(argument("FILE"), optional)]
    out: Option<PathBuf>,
}

/// Measures the latency and prints a table.
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
