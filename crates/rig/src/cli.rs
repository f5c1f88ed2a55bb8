//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use smol_str::SmolStr;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::RigError;
use crate::http;
use crate::platform::{Platform, Seed};
use crate::target::{Downstream, DownstreamMode, Placement, ServiceTime, Settings, Target};

/// Stand-ins, fault proxy and load generator for testing coltsfootport
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(options), version)]
pub enum Command {
    /// Stand-in platform: configuration service and instance list
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Stand-in target: slots, service time and calls to further services
    #[bpaf(command)]
    Target(#[bpaf(external(target_options))] TargetOptions),
}

/// Options of `platform`.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformOptions {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Document file, or directory of them; NAME.* is written as documents/NAME (repeatable)
    #[bpaf(argument("PATH"))]
    pub documents: Vec<PathBuf>,
    /// JSON file with the instance list
    #[bpaf(argument("FILE"), optional)]
    pub instances: Option<PathBuf>,
}

/// Options of `target`.
#[derive(Clone, Debug, Bpaf)]
pub struct TargetOptions {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Service that the target runs
    #[bpaf(argument::<String>("NAME"), map(SmolStr::from))]
    pub service: SmolStr,
    /// Calls that run at once
    #[bpaf(argument("N"), fallback(10))]
    pub slots: usize,
    /// Service time in milliseconds
    #[bpaf(argument("MS"), fallback(5.0))]
    pub service_ms: f64,
    /// Draw service times from an exponential distribution
    pub exponential: bool,
    /// Length of the cold start in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    pub cold_ms: u64,
    /// Factor on the service time during the cold start
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub cold_factor: f64,
    /// Seed of service times and failures
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Address of the node's egress listener
    #[bpaf(argument("ADDR"), optional)]
    pub egress: Option<SocketAddr>,
    /// Call to a further service, as "METHOD /service/path" (repeatable)
    #[bpaf(argument("CALL"))]
    pub downstream: Vec<Downstream>,
    /// Make the calls to further services all at once
    pub parallel: bool,
    /// Naive retries of each call to a further service
    #[bpaf(argument("N"), fallback(0))]
    pub downstream_retries: u32,
}

/// Parses the command line of this process; prints help or the fault and ends it where there is nothing to run.
pub fn parse() -> Command {
    options().run()
}

/// Runs a subcommand until it ends or the process is told to stop.
pub fn run(command: Command) -> Result<(), RigError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match command {
            Command::Platform(options) => run_platform(options).await,
            Command::Target(options) => run_target(options).await,
        }
    })
}

async fn run_platform(options: PlatformOptions) -> Result<(), RigError> {
    let seed = Seed::read(&options.documents, options.instances.as_deref())?;
    let _platform = Platform::start(http::bind(options.listen).await?, seed)?;
    stopped().await
}

async fn run_target(options: TargetOptions) -> Result<(), RigError> {
    let settings = Settings {
        slots: options.slots,
        service_ms: options.service_ms,
        service_time: match options.exponential {
            true => ServiceTime::Exponential,
            false => ServiceTime::Fixed,
        },
        cold_ms: options.cold_ms,
        cold_factor: options.cold_factor,
        seed: options.seed,
        downstream: options.downstream,
        downstream_mode: match options.parallel {
            true => DownstreamMode::Parallel,
            false => DownstreamMode::Sequential,
        },
        downstream_retries: options.downstream_retries,
        ..Settings::default()
    };
    settings.check()?;
    let placement = Placement {
        service: options.service,
        egress: options.egress,
    };
    let _target = Target::start(http::bind(options.listen).await?, placement, settings)?;
    stopped().await
}

/// Waits for the first of the signals that ask a process to stop.
async fn stopped() -> Result<(), RigError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
