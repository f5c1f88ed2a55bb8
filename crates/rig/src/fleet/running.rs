//! Starts and controls the processes of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use smol_str::SmolStr;

use crate::error::RigError;
use crate::http::Client;
use crate::platform::{Counts, FaultMode, FaultRequest, FaultScope, Instance, InstanceState};
use crate::process::{Output, Process, ProcessSpec, free_port, loopback};
use crate::proxy::{
    Cut, DirectionFaults, LinkFaults, LinkPlan, Plan, Protocol, Proxy, SenderFaults,
};
use crate::target::TargetCounts;

use super::keys::FleetKeys;
use super::member::{Addresses, Member};
use super::plan::{FleetPlan, ServicePlan};
use super::programs::Programs;
use super::settings::{REGION, node_settings};

/// Time limit for a process to become ready.
pub const READY_TIME: Duration = Duration::from_secs(20);

/// A running fleet; dropping it terminates its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Instances by node name.
    pub members: BTreeMap<SmolStr, Member>,
    /// HTTP client for requests of tests and of the operators' interface.
    pub client: Client,
    /// Fault proxy between the nodes, if [`FleetPlan::proxied`] is set.
    pub proxy: Option<Proxy>,
    /// Keys and certificate authority of the fleet.
    pub keys: FleetKeys,
    /// Link faults by sending and receiving failure domain.
    faults: BTreeMap<DomainPair, LinkFaults>,
    /// Platform stand-ins by failure domain; without a proxy, a single one with an empty name serves all nodes.
    platforms: BTreeMap<SmolStr, Platform>,
}

/// Direction of traffic between two failure domains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainPair {
    from: SmolStr,
    to: SmolStr,
}

/// A platform stand-in.
#[derive(Debug)]
struct Platform {
    address: SocketAddr,
    _process: Process,
}

impl Fleet {
    /// Starts all processes of the plan and waits until all nodes are ready.
    pub async fn start(plan: FleetPlan) -> Result<Self, RigError> {
        let programs = Programs::beside_this()?;
        Self::start_with(plan, programs).await
    }

    /// Like [`Fleet::start`], with other binaries, such as those of an earlier build.
    pub async fn start_with(plan: FleetPlan, programs: Programs) -> Result<Self, RigError> {
        let client = plan.client();
        let keys = FleetKeys::random(&programs.node)?;
        let mut members = BTreeMap::new();
        for service in &plan.services {
            for (i, domain) in service.domains.iter().enumerate() {
                let name = SmolStr::from(format!("{}-{}", service.name, i + 1));
                let (programs, output) = (programs.clone(), node_output(&plan.output, &name));
                let addresses = Addresses::allocate()?;
                let member = Member::new(
                    name.clone(),
                    service,
                    domain.clone(),
                    addresses,
                    programs,
                    output,
                );
                members.insert(name, member);
            }
        }
        let proxy = match plan.proxied {
            true => Some(start_proxy(&members, plan.seed).await?),
            false => None,
        };
        let mut fleet = Self {
            members,
            client,
            proxy,
            keys,
            platforms: BTreeMap::new(),
            faults: BTreeMap::new(),
        };
        fleet.start_platforms(&programs).await?;
        fleet.publish_initial_config(&plan.services).await?;
        for service in &plan.services {
            fleet.start_service(service, &plan, &programs).await?;
        }
        fleet.all_ready().await?;
        Ok(fleet)
    }

    /// Returns an instance by node name; panics if the plan has no such node.
    pub fn member(&self, name: &str) -> &Member {
        self.members.get(name).expect("a node of the plan")
    }

    /// Returns an instance by node name; panics if the plan has no such node.
    pub fn member_mut(&mut self, name: &str) -> &mut Member {
        self.members.get_mut(name).expect("a node of the plan")
    }

    /// Returns the caller listener addresses of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.members
            .values()
            .map(|member| member.addresses.callers)
            .collect()
    }

    /// Iterates over the instances of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members
            .values()
            .filter(move |member| member.service == service)
    }

    /// Publishes a document on all platform stand-ins and returns its revision.
    pub async fn publish(&self, service: &str, document: &str) -> Result<u64, RigError> {
        let mut revision = 0;
        for platform in self.platforms.values() {
            let path = format!("/config/documents/{service}");
            let body = document.to_owned();
            let answer = self.client.put(platform.address, &path, body).await?;
            let written: Value = serde_json::from_slice(&answer.body)?;
            revision = written["revision"].as_u64().unwrap_or(0);
        }
        Ok(revision)
    }

    /// Publishes the instance list on all platform stand-ins; instances for which `state` returns `None` are left out.
    pub async fn publish_instances<F>(&self, state: F) -> Result<(), RigError>
    where
        F: Fn(&Member) -> Option<InstanceState>,
    {
        for platform in self.platforms.values() {
            let instances = self
                .members
                .values()
                .filter_map(|member| Some(self.instance_entry(member, state(member)?)));
            let instances: Vec<Instance> = instances.collect();
            self.client
                .put_json(platform.address, "/instances", &instances)
                .await?;
        }
        Ok(())
    }

    /// Sets the fault of all platform stand-ins.
    pub async fn platform_fault(&self, mode: FaultMode, scope: FaultScope) -> Result<(), RigError> {
        for domain in self.platforms.keys() {
            self.platform_fault_in(domain, mode, scope).await?;
        }
        Ok(())
    }

    /// Sets the fault of the platform stand-in of one failure domain; without a proxy, `domain` must be empty.
    pub async fn platform_fault_in(
        &self,
        domain: &str,
        mode: FaultMode,
        scope: FaultScope,
    ) -> Result<(), RigError> {
        let platform = self
            .platforms
            .get(domain)
            .expect("a failure domain of the plan");
        let fault = FaultRequest {
            mode,
            scope,
            drop: false,
        };
        self.client
            .post_json(platform.address, "/fault", &fault)
            .await?;
        Ok(())
    }

    /// Reads the request counters of all platform stand-ins.
    pub async fn platform_counts(&self) -> Result<Vec<Counts>, RigError> {
        let mut counts = Vec::new();
        for platform in self.platforms.values() {
            counts.push(self.client.get(platform.address, "/counts").await?);
        }
        Ok(counts)
    }

    /// Cuts all links between two failure domains in both directions.
    pub fn cut(&mut self, one: &str, other: &str, cut: Cut) {
        let faults = LinkFaults::both(DirectionFaults::cut(cut));
        self.set_links(one, other, &faults);
        self.set_links(other, one, &faults);
    }

    /// Removes the faults of all links.
    pub fn heal(&mut self) {
        self.faults.clear();
        if let Some(proxy) = &self.proxy {
            proxy.set("*", &LinkFaults::default());
        }
    }

    /// Sets the faults of all links from nodes of the failure domain `from` to nodes of `to`.
    pub fn set_links(&mut self, from: &str, to: &str, faults: &LinkFaults) {
        let pair = DomainPair {
            from: SmolStr::new(from),
            to: SmolStr::new(to),
        };
        self.faults.insert(pair, faults.clone());
        let Some(proxy) = &self.proxy else { return };
        for member in self.members.values().filter(|member| member.domain == to) {
            let senders = self.members.values();
            let senders = senders.filter_map(|sender| self.sender_faults(sender, member));
            let faults = LinkFaults {
                senders: senders.collect(),
                ..LinkFaults::default()
            };
            proxy.set(&member.name, &faults);
        }
    }

    fn sender_faults(&self, sender: &Member, to: &Member) -> Option<SenderFaults> {
        let pair = DomainPair {
            from: sender.domain.clone(),
            to: to.domain.clone(),
        };
        let faults = self.faults.get(&pair)?;
        Some(SenderFaults {
            sender: sender.addresses.peers,
            forward: faults.forward,
            backward: faults.backward,
        })
    }

    /// Reads the counters of all targets of a service, in order of node name.
    pub async fn counts(&self, service: &str) -> Result<Vec<TargetCounts>, RigError> {
        let mut counts = Vec::new();
        for member in self.of_service(service) {
            counts.push(member.counts(&self.client).await?);
        }
        Ok(counts)
    }

    /// Returns how many times the targets of a service started a call with this `x-rig-key`.
    pub async fn runs(&self, service: &str, key: &str) -> Result<u64, RigError> {
        let counts = self.counts(service).await?;
        let runs = counts.iter().filter_map(|counts| counts.keys.get(key));
        Ok(runs.map(|runs| runs.started).sum())
    }

    /// Reads `/status` of a node.
    pub async fn status(&self, name: &str) -> Result<Value, RigError> {
        self.client
            .get(self.member(name).addresses.operators, "/status")
            .await
    }

    /// Returns the invariants with a non-zero breach count of all running nodes.
    pub async fn breaches(&self) -> Result<Vec<String>, RigError> {
        let mut breaches = Vec::new();
        for member in self.members.values().filter(|member| member.node.is_some()) {
            let status: Value = self
                .client
                .get(member.addresses.operators, "/status")
                .await?;
            let counts = status["invariants"].as_array().cloned().unwrap_or_default();
            for count in counts.iter().filter(|count| count["breaches"] != 0) {
                breaches.push(format!("{}: {count}", member.name));
            }
        }
        Ok(breaches)
    }

    /// Waits until all running nodes are ready.
    pub async fn all_ready(&mut self) -> Result<(), RigError> {
        let client = self.client.clone();
        for member in self
            .members
            .values_mut()
            .filter(|member| member.node.is_some())
        {
            member.ready(&client).await?;
        }
        Ok(())
    }

    async fn start_platforms(&mut self, programs: &Programs) -> Result<(), RigError> {
        let mut domains: Vec<SmolStr> = match self.proxy {
            Some(_) => self
                .members
                .values()
                .map(|member| member.domain.clone())
                .collect(),
            None => vec![SmolStr::default()],
        };
        domains.sort_unstable();
        domains.dedup();
        for domain in domains {
            let address = loopback(free_port()?);
            let args = [
                "platform".to_owned(),
                "--listen".to_owned(),
                address.to_string(),
            ];
            let mut process = Process::start(ProcessSpec::new("platform", &programs.rig, args))?;
            process.wait_until_listening(address, READY_TIME).await?;
            self.platforms.insert(
                domain,
                Platform {
                    address,
                    _process: process,
                },
            );
        }
        Ok(())
    }

    async fn publish_initial_config(&self, services: &[ServicePlan]) -> Result<(), RigError> {
        for service in services {
            self.publish(&service.name, &service.document).await?;
        }
        self.publish_instances(|_| Some(InstanceState::Live)).await
    }

    async fn start_service(
        &mut self,
        service: &ServicePlan,
        plan: &FleetPlan,
        programs: &Programs,
    ) -> Result<(), RigError> {
        let platforms: BTreeMap<SmolStr, SocketAddr> = self
            .platforms
            .iter()
            .map(|(domain, platform)| (domain.clone(), platform.address))
            .collect();
        let proxied = self.proxy.is_some();
        let members = self
            .members
            .values_mut()
            .filter(|member| member.service == service.name);
        for member in members {
            let domain = if proxied { member.domain.as_str() } else { "" };
            let mut overrides = self.keys.sections(&programs.node, &member.name)?;
            overrides.push(plan.node.clone());
            overrides.push(service.node.clone());
            let settings = node_settings(
                &member.name,
                &member.domain,
                service,
                &member.addresses,
                platforms[domain],
                &overrides,
            );
            member.settings = settings.to_string();
            member.start_target(&self.client, &service.target).await?;
            member.start_node()?;
        }
        Ok(())
    }

    /// Builds the instance list entry of a member; the peer address is that of the proxy, if there is one.
    fn instance_entry(&self, member: &Member, state: InstanceState) -> Instance {
        let proxy = self.proxy.as_ref();
        let proxy_addr = proxy.and_then(|proxy| proxy.addr(&member.name));
        let peer = proxy_addr.unwrap_or(member.addresses.peers);
        Instance {
            node: member.name.clone(),
            service: member.service.clone(),
            domain: member.domain.clone(),
            region: SmolStr::new(REGION),
            peer: SmolStr::from(peer.to_string()),
            operators: SmolStr::from(member.addresses.operators.to_string()),
            state,
        }
    }
}

/// Returns the output destination of a node; file output goes to a separate log file per node.
fn node_output(output: &Output, name: &str) -> Output {
    match output {
        Output::File(folder) => Output::File(folder.join(format!("{name}.log"))),
        other => other.clone(),
    }
}

async fn start_proxy(members: &BTreeMap<SmolStr, Member>, seed: u64) -> Result<Proxy, RigError> {
    let links = members.values().map(|member| LinkPlan {
        seed,
        ..LinkPlan::new(member.name.clone(), Protocol::Udp, member.addresses.peers)
    });
    let links = links.collect();
    Proxy::start(Plan {
        control: None,
        links,
    })
    .await
}
