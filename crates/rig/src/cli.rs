//! The command line.

mod chaos;
mod cost;
mod experiment;
mod latency;
mod load;
mod platform;
mod proxy;
mod soak;
mod target;

use bpaf::Bpaf;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::chaos::{ChaosOptions, chaos_options};
use crate::cli::cost::{CostArgs, cost_args};
use crate::cli::experiment::{ExperimentArgs, experiment_args};
use crate::cli::latency::{LatencyArgs, latency_args};
use crate::cli::load::{LoadOptions, load_options};
use crate::cli::platform::{PlatformOptions, platform_options};
use crate::cli::proxy::{ProxyOptions, proxy_options};
use crate::cli::soak::{SoakOptions, soak_options};
use crate::cli::target::{TargetOptions, target_options};
use crate::demo;
use crate::error::RigError;

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
    /// Fault-injecting proxy for TCP and UDP links
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy_options))] ProxyOptions),
    /// Open-loop load generator; prints its report as JSON
    #[bpaf(command)]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Random faults from a seed under load on real processes; checks every promise after each round
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos_options))] ChaosOptions),
    /// Random faults from a seed on real mesh nodes; callers' and targets' own view is checked against every promise
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakOptions),
    /// A surge with faults on a small fleet of real processes; ends with 0 only if every promise held
    #[bpaf(command)]
    Demo,
    /// Both users' fleets under overload and faults, in several variants of the policy
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment_args))] ExperimentArgs),
    /// Latency that the nodes add to a call
    #[bpaf(command)]
    Latency(#[bpaf(external(latency_args))] LatencyArgs),
    /// Processor, memory, control bytes and platform calls against what the nodes have to carry
    #[bpaf(command)]
    Cost(#[bpaf(external(cost_args))] CostArgs),
}

/// Parses the command line of this process; prints help or the fault and ends it where there is nothing to run.
pub fn parse() -> Command {
    options().run()
}

/// Runs a subcommand until it ends or the process is told to stop.
pub fn run(command: Command) -> Result<(), RigError> {
    // The commands that run a whole fleet carry proxy and load in this one process; the others are one small process each.
    let mut builder = match command {
        Command::Soak(_)
        | Command::Demo
        | Command::Experiment(_)
        | Command::Latency(_)
        | Command::Cost(_) => runtime::Builder::new_multi_thread(),
        _ => runtime::Builder::new_current_thread(),
    };
    let runtime = builder.enable_all().build()?;
    runtime.block_on(async {
        match command {
            Command::Platform(options) => platform::run(options).await,
            Command::Target(options) => target::run(options).await,
            Command::Proxy(options) => proxy::run(options).await,
            Command::Load(options) => load::run(options).await,
            Command::Chaos(options) => chaos::run(options).await,
            Command::Soak(options) => until_stopped(soak::run(options)).await,
            Command::Demo => until_stopped(demo::run()).await,
            Command::Experiment(args) => until_stopped(experiment::run(args)).await,
            Command::Latency(args) => until_stopped(latency::run(args)).await,
            Command::Cost(args) => until_stopped(cost::run(args)).await,
        }
    })
}

/// Runs a command with child processes until its end or until the process is told to stop.
///
/// A signal that ended the process at once would leave its children behind, seen as nodes that run on for ever; dropping
/// the command's future ends them.
async fn until_stopped<F>(command: F) -> Result<(), RigError>
where
    F: Future<Output = Result<(), RigError>>,
{
    tokio::select! {
        result = command => result,
        stopped = stopped() => {
            stopped?;
            Err(RigError::Stopped)
        }
    }
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
