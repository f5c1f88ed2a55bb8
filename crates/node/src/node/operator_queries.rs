//! Answers operator queries from the state of the node's tasks.

use std::sync::Arc;

use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::lifecycle::Phase;
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::{mpsc, watch};

use crate::config::{AdmissionMode, Settings};
use crate::gate::{GateHandle, GateStatus};
use crate::metrics::Metrics;
use crate::operators::{
    AdmissionStatus, DrainReply, HealthReport, InvariantCount, NodeAddress, OperatorQuery,
    PeerStatus, StatusReport, TokenStatus,
};
use crate::recorder::Recorder;
use crate::routes::{PeerLoad, RoutesHandle};
use crate::spread::{Published, SpreadHandle};

/// Dependencies of the query handler.
pub struct QueryHandlerSetup {
    /// Settings of the node.
    pub settings: Settings,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Source of the state of admission and tokens.
    pub gate: GateHandle,
    /// Source of the state of the peers.
    pub routes: RoutesHandle,
    /// Source of the state of documents and platform.
    pub spread: SpreadHandle,
    /// Recorder of timeline events.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Published snapshot.
    pub published: watch::Receiver<Arc<Published>>,
    /// Starts a graceful shutdown when set to true.
    pub stop: watch::Sender<bool>,
    /// Incoming operator queries.
    pub queries: mpsc::Receiver<OperatorQuery>,
}

/// Task that answers operator queries.
pub struct QueryHandler {
    setup: QueryHandlerSetup,
}

impl QueryHandler {
    /// Creates the task.
    pub fn new(setup: QueryHandlerSetup) -> Self {
        Self { setup }
    }

    /// Runs until the operators' listener has stopped.
    pub async fn run(mut self) {
        while let Some(query) = self.setup.queries.recv().await {
            self.handle(query).await;
        }
    }

    async fn handle(&self, query: OperatorQuery) {
        match query {
            OperatorQuery::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            OperatorQuery::Timeline { filter, reply } => {
                let _ = reply.send(self.setup.recorder.select(filter).await);
            }
            OperatorQuery::Nodes(reply) => {
                let _ = reply.send(self.nodes());
            }
            OperatorQuery::Health(reply) => {
                let _ = reply.send(self.health().await);
            }
            OperatorQuery::Drain(reply) => {
                let _ = reply.send(self.drain().await);
            }
        }
    }

    async fn status(&self) -> StatusReport {
        let setup = &self.setup;
        let node = &setup.settings.node;
        let gate = setup.gate.status().await;
        StatusReport {
            node: node.name.clone(),
            incarnation: setup.incarnation.to_smolstr(),
            service: node.service.clone(),
            domain: node.domain.clone(),
            phase: gate.map_or_else(SmolStr::default, |gate| phase_name(gate.phase)),
            documents: setup.spread.document_status().await,
            platform: setup.spread.platform_status().await,
            peers: setup
                .routes
                .peers()
                .await
                .into_iter()
                .map(PeerStatus::from)
                .collect(),
            admission: self.admission(gate),
            tokens: self.tokens(gate),
            invariants: self.invariants(),
        }
    }

    fn admission(&self, gate: Option<GateStatus>) -> AdmissionStatus {
        let mode = match self.setup.settings.admission.mode {
            AdmissionMode::Off => "off",
            AdmissionMode::Static => "static",
            AdmissionMode::Adaptive => "adaptive",
        };
        let mode = SmolStr::new_static(mode);
        let Some(gate) = gate else {
            return AdmissionStatus {
                mode,
                ..Default::default()
            };
        };
        AdmissionStatus {
            mode,
            limit: gate.limit,
            in_flight: gate.in_flight,
            queued: gate.queued,
            level: gate.level.position().into(),
        }
    }

    fn tokens(&self, gate: Option<GateStatus>) -> TokenStatus {
        let capacity = u64::from(self.setup.settings.once.capacity);
        TokenStatus {
            kept: gate.map_or(0, |gate| gate.records as u64),
            capacity,
        }
    }

    fn invariants(&self) -> Vec<InvariantCount> {
        let faults = &self.setup.metrics.faults;
        Invariant::ALL
            .into_iter()
            .map(|invariant| InvariantCount {
                invariant: SmolStr::new_static(invariant.as_str()),
                breaches: faults.breaches(invariant),
            })
            .collect()
    }

    fn nodes(&self) -> Vec<NodeAddress> {
        let published = self.setup.published.borrow();
        let listed = published.nodes.iter().map(|node| NodeAddress {
            node: node.view.node.clone(),
            service: node.view.service.clone(),
            operators: node.operators,
        });
        let own = &self.setup.settings.node;
        let mut nodes: Vec<_> = listed.filter(|listed| listed.node != own.name).collect();
        nodes.push(NodeAddress {
            node: own.name.clone(),
            service: own.service.clone(),
            operators: self.setup.settings.advertised_operators(),
        });
        nodes
    }

    async fn health(&self) -> HealthReport {
        let phase = self
            .setup
            .gate
            .status()
            .await
            .map_or(Phase::Stopped, |gate| gate.phase);
        HealthReport {
            ready: phase == Phase::Serving,
            phase: phase_name(phase),
        }
    }

    async fn drain(&self) -> DrainReply {
        let status = self.setup.gate.status().await;
        let begun = status.is_some_and(|gate| gate.phase < Phase::Leaving);
        let _ = self.setup.stop.send(true);
        let in_flight = status.map_or(0, |gate| u64::from(gate.in_flight + gate.queued));
        DrainReply { begun, in_flight }
    }
}

fn phase_name(phase: Phase) -> SmolStr {
    SmolStr::new_static(match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Stopped => "stopped",
    })
}

impl From<PeerLoad> for PeerStatus {
    fn from(load: PeerLoad) -> Self {
        let state = if load.leaving { "leaving" } else { "live" };
        Self {
            node: load.node,
            service: load.service,
            state: SmolStr::new_static(state),
            in_flight: load.in_flight,
            ejected: load.ejected,
        }
    }
}
