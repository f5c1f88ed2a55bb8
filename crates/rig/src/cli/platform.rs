//! Options of `platform`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::http;
use crate::platform::{Platform, Seed};

/// Options of `platform`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PlatformOptions {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Document file or directory of documents; NAME.* is published as documents/NAME (repeatable)
    #[bpaf(argument("PATH"))]
    documents: Vec<PathBuf>,
    /// JSON file with the instance list
    #[bpaf(argument("FILE"), optional)]
    instances: Option<PathBuf>,
}

/// Runs the platform until the process receives `SIGTERM` or `SIGINT`.
pub async fn run(options: PlatformOptions) -> Result<(), RigError> {
    let seed = Seed::read(&options.documents, options.instances.as_deref())?;
    let _platform = Platform::start(http::bind(options.listen).await?, seed)?;
    super::stop_signal().await
}
