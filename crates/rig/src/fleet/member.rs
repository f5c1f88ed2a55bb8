//! An instance of a fleet: a target process and its node process.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::error::RigError;
use crate::http::Client;
use crate::process::{Output, Process, ProcessSpec, Signal, free_ports, loopback};
use crate::target::{Settings, TargetCounts};

use super::plan::ServicePlan;
use super::programs::Programs;
use super::running::READY_TIME;

/// Listen addresses of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Listener of the node for callers.
    pub callers: SocketAddr,
    /// Listener of the node for outgoing calls of its target.
    pub egress: SocketAddr,
    /// Listener of the node for other nodes.
    pub peers: SocketAddr,
    /// Listener of the node for operators.
    pub operators: SocketAddr,
    /// Listener of the target.
    pub target: SocketAddr,
}

/// An instance of a fleet: a target process and its node process.
#[derive(Debug)]
pub struct Member {
    /// Name of the node, unique in the fleet.
    pub name: SmolStr,
    /// Service that the target runs.
    pub service: SmolStr,
    /// Failure domain of the instance.
    pub domain: SmolStr,
    /// Listen addresses of both processes.
    pub addresses: Addresses,
    /// The node process; `None` while it is not running.
    pub node: Option<Process>,
    /// The target process; `None` while it is not running.
    pub target: Option<Process>,
    pub(super) settings: String,
    programs: Programs,
    output: Output,
}

impl Addresses {
    /// Picks free loopback ports for all listeners.
    pub(super) fn allocate() -> Result<Self, RigError> {
        let [callers, egress, peers, operators, target] = free_ports::<5>()?.map(loopback);
        Ok(Self {
            callers,
            egress,
            peers,
            operators,
            target,
        })
    }
}

impl Member {
    pub(super) fn new(
        name: SmolStr,
        service: &ServicePlan,
        domain: SmolStr,
        addresses: Addresses,
        programs: Programs,
        output: Output,
    ) -> Self {
        Self {
            name,
            service: service.name.clone(),
            domain,
            addresses,
            node: None,
            target: None,
            settings: String::new(),
            programs,
            output,
        }
    }

    /// Starts the target process, waits until it listens and applies `settings`.
    pub async fn start_target(
        &mut self,
        client: &Client,
        settings: &Settings,
    ) -> Result<(), RigError> {
        let args = [
            "target".to_owned(),
            "--listen".to_owned(),
            self.addresses.target.to_string(),
            "--service".to_owned(),
            self.service.to_string(),
            "--egress".to_owned(),
            self.addresses.egress.to_string(),
            "--seed".to_owned(),
            settings.seed.to_string(),
            "--cold-ms".to_owned(),
            settings.cold_ms.to_string(),
            "--cold-factor".to_owned(),
            settings.cold_factor.to_string(),
        ];
        let name = format!("target of {}", self.name);
        let mut process = Process::start(ProcessSpec::new(name, &self.programs.rig, args))?;
        process
            .wait_until_listening(self.addresses.target, READY_TIME)
            .await?;
        self.target = Some(process);
        self.set_target(client, settings).await
    }

    /// Replaces the settings of the running target.
    pub async fn set_target(&self, client: &Client, settings: &Settings) -> Result<(), RigError> {
        client
            .put_json(self.addresses.target, "/settings", settings)
            .await?;
        Ok(())
    }

    /// Starts or restarts the node process without waiting for it; use [`Member::ready`] to wait.
    pub fn start_node(&mut self) -> Result<(), RigError> {
        let spec = ProcessSpec {
            input: Some(self.settings.clone()),
            output: self.output.clone(),
            ..ProcessSpec::new(
                self.name.as_str(),
                &self.programs.node,
                ["node", "--settings", "-"],
            )
        };
        self.node = Some(Process::start(spec)?);
        Ok(())
    }

    /// Waits until the health check of the node succeeds.
    pub async fn ready(&mut self, client: &Client) -> Result<(), RigError> {
        let operators = self.addresses.operators;
        self.node()?
            .wait_until_ready(client, operators, "/health", READY_TIME)
            .await
    }

    /// Kills the node process without a graceful stop.
    pub fn kill_node(&mut self) -> Result<(), RigError> {
        self.node()?.kill()?;
        self.node = None;
        Ok(())
    }

    /// Stops the node gracefully; returns `false` if it is still running after `limit`.
    pub async fn stop_node(&mut self, limit: Duration) -> Result<bool, RigError> {
        let stopped = self.node()?.stop(limit).await;
        if matches!(stopped, Err(RigError::Timeout)) {
            return Ok(false);
        }
        stopped?;
        self.node = None;
        Ok(true)
    }

    /// Suspends the node process with `SIGSTOP`.
    pub fn freeze(&mut self) -> Result<(), RigError> {
        self.node()?.signal(Signal::STOP)
    }

    /// Resumes a suspended node process with `SIGCONT`.
    pub fn wake(&mut self) -> Result<(), RigError> {
        self.node()?.signal(Signal::CONT)
    }

    /// Reads the counters of the target.
    pub async fn counts(&self, client: &Client) -> Result<TargetCounts, RigError> {
        client.get(self.addresses.target, "/counts").await
    }

    /// Returns the node process, or [`RigError::NotReady`] if it is not running.
    pub fn node(&mut self) -> Result<&mut Process, RigError> {
        let name = &self.name;
        self.node
            .as_mut()
            .ok_or_else(|| RigError::NotReady(name.to_string()))
    }
}
