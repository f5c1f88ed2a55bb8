//! One instance of a fleet: a target and the node beside it.

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

/// Addresses of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The node's listener for callers.
    pub callers: SocketAddr,
    /// The node's listener for its target.
    pub egress: SocketAddr,
    /// The node's listener for other nodes.
    pub peers: SocketAddr,
    /// The node's listener for operators.
    pub operators: SocketAddr,
    /// The target.
    pub target: SocketAddr,
}

/// One instance: a target and the node beside it.
#[derive(Debug)]
pub struct Member {
    /// Name of the node.
    pub name: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Where its processes listen.
    pub addresses: Addresses,
    /// The node's process; absent while it is stopped.
    pub node: Option<Process>,
    /// The target's process; absent while it is stopped.
    pub target: Option<Process>,
    pub(super) settings: String,
    programs: Programs,
    output: Output,
}

impl Addresses {
    pub(super) fn free() -> Result<Self, RigError> {
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

    /// Starts the target and sets its behaviour.
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

    /// Changes the behaviour of the running target.
    pub async fn set_target(&self, client: &Client, settings: &Settings) -> Result<(), RigError> {
        client
            .put_json(self.addresses.target, "/settings", settings)
            .await?;
        Ok(())
    }

    /// Starts the node, also again after it has ended; the caller waits for it with [`Member::ready`].
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

    /// Waits until the node serves.
    pub async fn ready(&mut self, client: &Client) -> Result<(), RigError> {
        let operators = self.addresses.operators;
        self.node()?
            .wait_until_ready(client, operators, "/health", READY_TIME)
            .await
    }

    /// Kills the node at once.
    pub fn kill_node(&mut self) -> Result<(), RigError> {
        self.node()?.kill()?;
        self.node = None;
        Ok(())
    }

    /// Stops the node gracefully; false where it had not ended in time.
    pub async fn stop_node(&mut self, limit: Duration) -> Result<bool, RigError> {
        let stopped = self.node()?.stop(limit).await;
        if matches!(stopped, Err(RigError::Timeout)) {
            return Ok(false);
        }
        stopped?;
        self.node = None;
        Ok(true)
    }

    /// Pauses the node as a whole.
    pub fn freeze(&mut self) -> Result<(), RigError> {
        self.node()?.signal(Signal::STOP)
    }

    /// Lets a paused node go on.
    pub fn wake(&mut self) -> Result<(), RigError> {
        self.node()?.signal(Signal::CONT)
    }

    /// What the target has counted.
    pub async fn counts(&self, client: &Client) -> Result<TargetCounts, RigError> {
        client.get(self.addresses.target, "/counts").await
    }

    /// The node's process.
    pub fn node(&mut self) -> Result<&mut Process, RigError> {
        let name = &self.name;
        self.node
            .as_mut()
            .ok_or_else(|| RigError::NotReady(name.to_string()))
    }
}
