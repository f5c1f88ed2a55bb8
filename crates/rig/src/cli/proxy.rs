//! Options of `proxy`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::proxy::{Plan, Proxy};

/// Options of `proxy`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ProxyOptions {
    /// JSON file with the links: {"links": [{"name", "protocol", "listen", "to", "faults", "seed"}]}
    #[bpaf(argument("FILE"))]
    plan: PathBuf,
    /// Address of the control interface; overrides the plan
    #[bpaf(argument("ADDR"), optional)]
    control: Option<SocketAddr>,
}

/// Runs the proxy until the process receives `SIGTERM` or `SIGINT`.
pub async fn run(options: ProxyOptions) -> Result<(), RigError> {
    let mut plan: Plan = serde_json::from_slice(&fs::read(&options.plan)?)?;
    plan.control = options.control.or(plan.control);
    let _proxy = Proxy::start(plan).await?;
    super::stop_signal().await
}
