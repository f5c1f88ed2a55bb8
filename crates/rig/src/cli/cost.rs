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
    /// nodes, documents, tokens, calls or changes (repeatable, all)
    #[bpaf(argument("DIMENSION"))]
    vary: Vec<Dimension>,
    /// Most nodes of a fleet
    #[bpaf(argument("N"), fallback(120), display_fallback)]
    most_nodes: usize,
    /// Seconds over which each point is measured
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    seconds: f64,
    /// File for the results as JSON
    #[bpaf(argument("FILE"), optional)]
    out: Option<PathBuf>,
}

/// Measures and prints tables.
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
