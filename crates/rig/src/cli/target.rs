//! Options of `target`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use smol_str::SmolStr;

use crate::error::RigError;
use crate::http::{self, MethodPath};
use crate::target::{DownstreamMode, Placement, ServiceTime, Settings, Target};

/// Options of `target`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TargetOptions {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Name of the service that the target implements
    #[bpaf(argument::<String>("NAME"), map(SmolStr::from))]
    service: SmolStr,
    /// Maximum number of concurrent calls (default: 10)
    #[bpaf(argument("N"), optional)]
    slots: Option<usize>,
    /// Service time in milliseconds (default: 5)
    #[bpaf(argument("MS"), optional)]
    service_ms: Option<f64>,
    /// Draw service times from an exponential distribution
    exponential: bool,
    /// Duration of the cold start in milliseconds
    #[bpaf(argument("MS"), optional)]
    cold_ms: Option<u64>,
    /// Multiplier for the service time during the cold start
    #[bpaf(argument("FACTOR"), optional)]
    cold_factor: Option<f64>,
    /// Seed for service times and failures
    #[bpaf(argument("N"), optional)]
    seed: Option<u64>,
    /// Address of the node's egress listener
    #[bpaf(argument("ADDR"), optional)]
    egress: Option<SocketAddr>,
    /// Call to a downstream service, as "METHOD /service/path" (repeatable)
    #[bpaf(argument("CALL"))]
    downstream: Vec<MethodPath>,
    /// Make the downstream calls in parallel
    parallel: bool,
    /// Immediate retries of each downstream call (default: 0)
    #[bpaf(argument("N"), optional)]
    downstream_retries: Option<u32>,
    /// Additional settings as a JSON object, in the format of PUT /settings
    #[bpaf(argument("JSON"), optional)]
    settings: Option<String>,
}

impl TargetOptions {
    fn settings(&self) -> Result<Settings, RigError> {
        let default = Settings::default();
        let settings = Settings {
            slots: self.slots.unwrap_or(default.slots),
            service_ms: self.service_ms.unwrap_or(default.service_ms),
            service_time: match self.exponential {
                true => ServiceTime::Exponential,
                false => ServiceTime::Fixed,
            },
            cold_ms: self.cold_ms.unwrap_or(default.cold_ms),
            cold_factor: self.cold_factor.unwrap_or(default.cold_factor),
            seed: self.seed.unwrap_or(default.seed),
            downstream: self.downstream.clone(),
            downstream_mode: match self.parallel {
                true => DownstreamMode::Parallel,
                false => DownstreamMode::Sequential,
            },
            downstream_retries: self
                .downstream_retries
                .unwrap_or(default.downstream_retries),
            ..default
        };
        settings.with_patch(self.settings.as_deref().unwrap_or("{}").as_bytes())
    }
}

/// Runs the target until the process receives `SIGTERM` or `SIGINT`.
pub async fn run(options: TargetOptions) -> Result<(), RigError> {
    let settings = options.settings()?;
    let placement = Placement {
        service: options.service,
        egress: options.egress,
    };
    let _target = Target::start(http::bind(options.listen).await?, placement, settings)?;
    super::stop_signal().await
}
