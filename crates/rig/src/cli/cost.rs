//! Options of `cost`.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use crate::cost::{self, CostOptions, Dimension};
use crate::error::RigError;

/// Options of `cost`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CostArgs {
    /// Dimension to vary: nodes, documents, tokens, calls or changes (repeatable; default: all)
    #[bpaf(argument("DIMENSION"))]
    vary: Vec<Dimension>,
    /// Maximum number of nodes in a fleet
    #[bpaf(argument("N"), fallback(120), display_fallback)]
    most_nodes: usize,
    /// Duration of each measurement in seconds
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    seconds: f64,
    /// Output file for the results as JSON
    #[bpaf(argument("FILE"), optional)]
    out: Option<PathBuf>,
}

/// Measures the given dimensions and prints a table for each.
pub async fn run(args: CostArgs) -> Result<(), RigError> {
    let dimensions = match args.vary.is_empty() {
        true => Dimension::ALL.to_vec(),
        false => args.vary,
    };
    let options = CostOptions {
        dimensions,
        most_nodes: args.most_nodes,
        window: Duration::from_secs_f64(args.seconds.max(0.0)),
        out: args.out,
    };
    cost::run(&options).await
}
