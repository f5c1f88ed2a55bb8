//! A running fleet.

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

/// Time in which a process must become ready.
pub const READY_TIME: Duration = Duration::from_secs(20);

/// A running fleet; its processes end with it.
#[derive(Debug)]
pub struct Fleet {
    /// The instances, by the names of their nodes.
    pub members: BTreeMap<SmolStr, Member>,
    /// Sends requests of tests and operators.
    pub client: Client,
    /// The fault proxy between the nodes, where the plan asks for it.
    pub proxy: Option<Proxy>,
    /// Keys and authority of the fleet.
    pub keys: FleetKeys,
    /// Faults between failure domains.
    faults: BTreeMap<DomainPair, LinkFaults>,
    /// Platforms by failure domain; one for all under the empty name where there is no proxy.
    platforms: BTreeMap<SmolStr, Platform>,
}

/// Nodes of one failure domain that send to those of another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainPair {
    from: SmolStr,
    to: SmolStr,
}

/// A stand-in platform, read by the nodes of one failure domain.
#[derive(Debug)]
struct Platform {
    address: SocketAddr,
    _process: Process,
}

impl Fleet {
    /// Starts every process of the plan and waits until all nodes serve.
    pub async fn start(plan: FleetPlan) -> Result<Self, RigError> {
        let programs = Programs::beside_this()?;
        Self::start_with(plan, programs).await
    }

    /// Starts the plan with programs from elsewhere, such as an earlier build.
    pub async fn start_with(plan: FleetPlan, programs: Programs) -> Result<Self, RigError> {
        let client = plan.client();
        let keys = FleetKeys::random(&programs.node)?;
        let mut members = BTreeMap::new();
        for service in &plan.services {
            for (i, domain) in service.domains.iter().enumerate() {
                let name = SmolStr::from(format!("{}-{}", service.name, i + 1));
                let (programs, output) = (programs.clone(), node_output(&plan.output, &name));
                let addresses = Addresses::free()?;
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
        fleet.publish_all(&plan.services).await?;
        for service in &plan.services {
            fleet.start_service(service, &plan, &programs).await?;
        }
        fleet.all_ready().await?;
        Ok(fleet)
    }

    /// An instance by the name of its node.
    pub fn member(&self, name: &str) -> &Member {
        self.members.get(name).expect("a node of the plan")
    }

    /// An instance by the name of its node.
    pub fn member_mut(&mut self, name: &str) -> &mut Member {
        self.members.get_mut(name).expect("a node of the plan")
    }

    /// The callers' listeners of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.members
            .values()
            .map(|member| member.addresses.callers)
            .collect()
    }

    /// The instances of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members
            .values()
            .filter(move |member| member.service == service)
    }

    /// Publishes a document on every platform; returns its revision.
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

    /// Publishes the list of instances on every platform, in the given states; absent ones are not listed.
    pub async fn publish_instances<F>(&self, state: F) -> Result<(), RigError>
    where
        F: Fn(&Member) -> Option<InstanceState>,
    {
        for platform in self.platforms.values() {
            let listed = self
                .members
                .values()
                .filter_map(|member| Some(self.instance(member, state(member)?)));
            let listed: Vec<Instance> = listed.collect();
            self.client
                .put_json(platform.address, "/instances", &listed)
                .await?;
        }
        Ok(())
    }

    /// Sets the fault of every platform.
    pub async fn platform_fault(&self, mode: FaultMode, scope: FaultScope) -> Result<(), RigError> {
        for domain in self.platforms.keys() {
            self.platform_fault_in(domain, mode, scope).await?;
        }
        Ok(())
    }

    /// Sets the fault of the platform that one failure domain reads; without a proxy there is one under the empty name.
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

    /// Calls that the platforms have seen.
    pub async fn platform_counts(&self) -> Result<Vec<Counts>, RigError> {
        let mut counts = Vec::new();
        for platform in self.platforms.values() {
            counts.push(self.client.get(platform.address, "/counts").await?);
        }
        Ok(counts)
    }

    /// Cuts every link between two failure domains, both ways.
    pub fn cut(&mut self, one: &str, other: &str, cut: Cut) {
        let faults = LinkFaults::both(DirectionFaults::cut(cut));
        self.set_links(one, other, &faults);
        self.set_links(other, one, &faults);
    }

    /// Heals every link.
    pub fn heal(&mut self) {
        self.faults.clear();
        if let Some(proxy) = &self.proxy {
            proxy.set("*", &LinkFaults::default());
        }
    }

    /// Sets the faults of all links from the nodes of one failure domain to those of another.
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

    /// What the targets of a service have counted, by node.
    pub async fn counts(&self, service: &str) -> Result<Vec<TargetCounts>, RigError> {
        let mut counts = Vec::new();
        for member in self.of_service(service) {
            counts.push(member.counts(&self.client).await?);
        }
        Ok(counts)
    }

    /// How often calls with this `x-rig-key` were started at the targets of a service.
    pub async fn runs(&self, service: &str, key: &str) -> Result<u64, RigError> {
        let counts = self.counts(service).await?;
        let runs = counts.iter().filter_map(|counts| counts.keys.get(key));
        Ok(runs.map(|runs| runs.started).sum())
    }

    /// The `/status` of a node.
    pub async fn status(&self, name: &str) -> Result<Value, RigError> {
        self.client
            .get(self.member(name).addresses.operators, "/status")
            .await
    }

    /// Every breach of an invariant that a running node has counted; empty where all is well.
    pub async fn breaches(&self) -> Result<Vec<String>, RigError> {
        let mut found = Vec::new();
        for member in self.members.values().filter(|member| member.node.is_some()) {
            let status: Value = self
                .client
                .get(member.addresses.operators, "/status")
                .await?;
            let counts = status["invariants"].as_array().cloned().unwrap_or_default();
            for count in counts.iter().filter(|count| count["breaches"] != 0) {
                found.push(format!("{}: {count}", member.name));
            }
        }
        Ok(found)
    }

    /// Waits until every running node serves.
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

    async fn publish_all(&self, services: &[ServicePlan]) -> Result<(), RigError> {
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
            .map(|(domain, one)| (domain.clone(), one.address))
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

    fn instance(&self, member: &Member, state: InstanceState) -> Instance {
        let proxied = self.proxy.as_ref();
        let proxied = proxied.and_then(|proxy| proxy.addr(&member.name));
        let peer = proxied.unwrap_or(member.addresses.peers);
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

/// The output of a node, each into a file of its own where the plan names a folder.
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
