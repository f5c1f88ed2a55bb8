//! Command line interface.

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
    /// Run a stand-in platform with a configuration service and an instance list
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Run a stand-in target with a number of slots, a service time and calls to downstream services
    #[bpaf(command)]
    Target(#[bpaf(external(target_options))] TargetOptions),
    /// Run a fault-injecting proxy for TCP and UDP links
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy_options))] ProxyOptions),
    /// Generate open-loop load and print a report as JSON
    #[bpaf(command)]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Inject random faults from a seed into a fleet of processes under load and check all guarantees after each round
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos_options))] ChaosOptions),
    /// Inject random faults from a seed into mesh nodes and check the records of callers and targets for violations
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakOptions),
    /// Run a load surge with faults on a small fleet of processes; exits with status 0 only if all guarantees held
    #[bpaf(command)]
    Demo,
    /// Run models of the users' fleets under overload and faults, with several variants of the policy
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment_args))] ExperimentArgs),
    /// Measure the latency that the nodes add to a call
    #[bpaf(command)]
    Latency(#[bpaf(external(latency_args))] LatencyArgs),
    /// Measure CPU time, memory, control traffic and platform calls as the load on the nodes grows
    #[bpaf(command)]
    Cost(#[bpaf(external(cost_args))] CostArgs),
}

/// Parses the command line; prints help or an error message and exits if there is no command to run.
pub fn parse() -> Command {
    options().run()
}

/// Runs a subcommand until it finishes or the process receives `SIGTERM` or `SIGINT`.
pub fn run(command: Command) -> Result<(), RigError> {
    // These commands run a whole fleet, with the proxy and the load generator in this process; the others are small.
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

/// Runs a command with child processes until it finishes or the process receives `SIGTERM` or `SIGINT`.
///
/// If the signal terminated the process directly, its children would be orphaned; nodes have been left running forever
/// this way. Dropping the command's future kills the children.
async fn until_stopped<F>(command: F) -> Result<(), RigError>
where
    F: Future<Output = Result<(), RigError>>,
{
    tokio::select! {
        result = command => result,
        received = stop_signal() => {
            received?;
            Err(RigError::Stopped)
        }
    }
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn stop_signal() -> Result<(), RigError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
