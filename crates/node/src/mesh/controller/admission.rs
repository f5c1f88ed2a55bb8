//! Requests that enter the mesh at this node: admission, instance selection and retries.

use std::iter;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    InstanceKey, MeshConfig, Refusal, RouteKey, SendOutcome, WeightedRoundRobin,
};
use coltsfootport_core::quarantine::SuspicionLevel;
use rand::Rng;
use smol_str::SmolStr;

use super::authentication::key_for_recheck;
use super::route_stats::RouteStats;
use super::{
    AdmissionRequest, AdmittedRequest, CompletedSend, Controller, Credential, Denial,
    InstanceGrant, InstanceRequest, RetryRequest, SendGuard,
};
use crate::mesh::call::Report;

/// Retry delay announced by a node that has no configuration or no instances.
pub(super) const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(500);

/// Share of the saved retry budget that the least urgent rank has to leave to the others.
const MAX_RETRY_RESERVE: f64 = 0.6;

/// Share of the retry budget for downstream calls that the nodes sending those calls use themselves.
const INNER_BUDGET_SHARE: f64 = 0.35;

impl Controller {
    /// Admits a request and selects its service, or denies it.
    pub(super) fn admit(&mut self, req: &AdmissionRequest) -> Result<AdmittedRequest, Denial> {
        let in_force = self.config.as_ref();
        let config_version = in_force.map_or(0, |config| config.version().0);
        self.evaluate_admission(req).map_err(|denied| Denial {
            config_version,
            ..denied
        })
    }

    fn evaluate_admission(&mut self, req: &AdmissionRequest) -> Result<AdmittedRequest, Denial> {
        let now = self.clock.now();
        // Targets have no keys: a request with a key comes from an external caller, whatever its id.
        let keyless = matches!(req.credential, Credential::Missing);
        let parent = self.runs.find_parent(&req.id).filter(|_| keyless);
        let Some(config) = self.config.clone() else {
            return Err(denial(Refusal::NoConfig, Some(RETRY_AFTER_NOT_READY)));
        };
        let Some((key, route)) = config.find(&req.host, &req.path) else {
            return Err(self.route_not_found(now));
        };
        let drain_admits = match &parent {
            Some(parent) => self.drain_admits_call(route, req, parent, now),
            None => self.drain_admits_caller(route, req, now),
        };
        if !drain_admits {
            return Err(denial(Refusal::Stopping, Some(RETRY_AFTER_NOT_READY)));
        }
        let (rank, workspace, admitted_share) = match &parent {
            // Not subject to quotas or shedding: refusing it would waste the work already done by its parent run and by
            // the runs above that one.
            Some(parent) => {
                self.metrics.inner.inc();
                (parent.rank, parent.workspace.clone(), parent.admitted_share)
            }
            None => {
                let workspace = self.authenticate(&config, route, req, now)?;
                let rank = config.rank(route, workspace);
                if let Some(workspace) = workspace {
                    self.check_quota(workspace, req, now)?;
                }
                let share = self.check_shedding(&config, key, rank, req, now);
                if let (Err(_), Some(workspace)) = (&share, workspace) {
                    self.release_quota(&workspace.name);
                }
                let share = share?;
                (rank, workspace.map(|known| known.name.clone()), share)
            }
        };
        let service = self
            .next_service(&config, key)
            .ok_or(denial(Refusal::NoInstance, Some(RETRY_AFTER_NOT_READY)))?;
        Ok(AdmittedRequest {
            config,
            route: key,
            service,
            rank,
            key: key_for_recheck(req, workspace.is_some() && parent.is_none()),
            workspace,
            admitted_share,
            parent,
        })
    }

    /// Denies a request that matches no route. An outdated configuration may lack a route that exists, so only a fresh
    /// one justifies `NoRoute`.
    fn route_not_found(&self, now: Instant) -> Denial {
        match self.is_config_fresh(now) {
            true => denial(Refusal::NoRoute, None),
            false => denial(Refusal::NoConfig, Some(RETRY_AFTER_NOT_READY)),
        }
    }

    /// Whether the configuration is recent enough to conclude that whatever it lacks does not exist.
    pub(super) fn is_config_fresh(&self, now: Instant) -> bool {
        let answered = self
            .publisher_answered
            .is_some_and(|at| now.saturating_duration_since(at) <= self.cfg.max_publisher_age);
        answered && self.publisher_healthy
    }

    /// Applies load shedding. Returns the share of similar requests that is currently admitted, or a denial.
    fn check_shedding(
        &mut self,
        config: &Arc<MeshConfig>,
        key: RouteKey,
        rank: u8,
        req: &AdmissionRequest,
        now: Instant,
    ) -> Result<f64, Denial> {
        let route = config.route(key);
        let order = config.shed_order(rank);
        let by_cost = self
            .cost_shedder
            .as_mut()
            .and_then(|shedder| shedder.share(&route.name, order, now));
        let judged = match by_cost {
            Some(share) => self.shedder.admit_share(share, &req.host, &req.path, now),
            None => self
                .shedder
                .admit(&route.name, order, &req.host, &req.path, now),
        };
        match judged {
            Ok(admitted) => Ok(admitted),
            Err(shed) => {
                let shedder = self.cost_shedder.as_ref().filter(|_| by_cost.is_some());
                let binding = shedder.and_then(|shedder| shedder.binding_service(&route.name));
                self.journal.shed(&req.id, route, rank, shed, binding);
                if shed.by_cost {
                    self.metrics.shed_by_cost.inc();
                }
                Err(denial(Refusal::Shed, Some(shed.retry_after)))
            }
        }
    }

    fn next_service(&mut self, config: &MeshConfig, key: RouteKey) -> Option<ServiceName> {
        let route = config.route(key);
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let phase = self.rng.random::<f64>();
        let split = get_or_insert(&mut self.splits, &route.name, || {
            WeightedRoundRobin::new(&route.services, phase)
        });
        split.next(&route.services).cloned()
    }

    /// Selects an instance for a request, unless the quarantine refuses it.
    pub(super) fn select_instance(
        &mut self,
        req: InstanceRequest,
    ) -> Result<InstanceGrant, Refusal> {
        let now = self.clock.now();
        if !self.drain_allows_attempt(&req, now) {
            return Err(Refusal::Stopping);
        }
        if !req.tried.is_empty() && !self.is_key_valid(req.key.as_ref()) {
            return Err(Refusal::NoInstance);
        }
        let chosen = match self
            .quarantine
            .registry
            .suspicion_level(req.fingerprint, now)
        {
            SuspicionLevel::Refused => {
                self.log_refused(req.fingerprint, now);
                return Err(Refusal::CrashesTargets);
            }
            SuspicionLevel::Isolated => {
                self.fleet
                    .select_by_hash(&req.service, req.fingerprint, &req.tried, now)
            }
            SuspicionLevel::Suspected | SuspicionLevel::Unsuspected => {
                self.fleet
                    .select(&req.service, &req.tried, now, &mut self.rng)
            }
        };
        let chosen = chosen.ok_or(Refusal::NoInstance)?;
        self.fleet.request_sent(chosen.key, now);
        if let Some(parent) = &req.parent {
            self.runs.call_sent(parent, now);
        }
        if req.tried.is_empty() {
            self.earn_retry_budget(&req, now);
        }
        let guard = SendGuard {
            first_attempt: req.tried.is_empty(),
            key: chosen.key,
            service: req.service,
            route: req.route,
            kind: req.kind,
            fingerprint: req.fingerprint,
            answer_complete: false,
            target_leaving: false,
            parent: req.parent,
            since: now,
            clock: Arc::clone(&self.clock),
            tx: self.tx.clone(),
            reported: false,
        };
        Ok(InstanceGrant {
            is_local: chosen.address == self.cfg.target,
            cut_off: self.cut_off_instance(),
            chosen,
            guard,
        })
    }

    /// Adds a first attempt to the retry budget of its service.
    fn earn_retry_budget(&mut self, req: &InstanceRequest, now: Instant) {
        let share = match req.parent.is_some() {
            true => INNER_BUDGET_SHARE,
            false => 1.0,
        };
        self.budget.deposit(&req.service, share, now);
    }

    /// Adds the downstream calls of an external request's first attempt to the retry budgets of their services.
    ///
    /// Retrying an external request repeats calls at every downstream service, so its entry node needs budget there,
    /// although other nodes send those calls. They use the rest of that budget to retry single calls.
    ///
    /// The calls are counted when they have been made. Counted in advance from successful requests, the deposits would
    /// exceed the bound where most requests fail early.
    fn earn_downstream_budget(&mut self, report: Option<&Report>, now: Instant) {
        for calls in report.into_iter().flat_map(|report| &report.downstream) {
            let share = f64::from(calls.count) * (1.0 - INNER_BUDGET_SHARE);
            self.budget.deposit(&calls.service, share, now);
        }
    }

    /// Updates instance, route and shedding statistics after an attempt to send a request.
    pub(super) fn complete_send(&mut self, key: InstanceKey, ended: CompletedSend) {
        let now = self.clock.now();
        if ended.answer_complete {
            self.record_answer(ended.fingerprint, now);
        }
        if ended.first_attempt && ended.parent.is_none() {
            self.earn_downstream_budget(ended.report.as_ref(), now);
        }
        let stats = get_or_insert(&mut self.route_stats, &ended.route, RouteStats::default);
        let outcome = match ended.outcome {
            SendOutcome::Answered { .. } => SendOutcome::Answered {
                relative_latency: stats.latency.record(ended.took),
            },
            other => other,
        };
        if let Some(report) = &ended.report {
            if let Some(finding) = &report.finding {
                self.quarantine.registry.merge(finding, now);
            }
            let answered = matches!(outcome, SendOutcome::Answered { .. });
            if answered {
                let below = report.downstream.iter();
                stats
                    .downstream
                    .record(below.map(|below| (&below.service, below.count)));
            }
            self.shedder.report(&ended.route, report.max_level(), now);
            self.fleet
                .service_time_reported(key, ended.kind, report.service_time, now);
            self.record_costs(&ended, report, answered, now);
            if report.stopping {
                self.fleet.host_stopping(key, now);
            }
            if report.cut_off {
                self.fleet.mark_partitioned(key, now);
            }
        }
        if ended.target_leaving {
            self.note_leaving(key);
        }
        let busy = ended.report.as_ref().map(|report| report.busy);
        self.fleet.request_ended(key, outcome, busy, now);
        if let Some(parent) = &ended.parent {
            self.runs
                .record_call(parent, &ended.service, ended.report.as_ref(), now);
        }
    }

    /// Records the levels that a reply reports and, if the request was answered, its slot time at each service. Services
    /// that the configuration does not name are ignored.
    fn record_costs(
        &mut self,
        ended: &CompletedSend,
        report: &Report,
        answered: bool,
        now: Instant,
    ) {
        let (Some(shedder), Some(config)) = (&mut self.cost_shedder, &self.config) else {
            return;
        };
        let below = report.downstream.iter();
        let below = below.filter(|calls| config.has_service(&calls.service));
        shedder.report(&ended.service, report.level, now);
        for calls in below.clone() {
            shedder.report(&calls.service, calls.level, now);
        }
        if answered {
            let own = iter::once((&ended.service, report.held.as_secs_f64()));
            let below = below.map(|calls| (&calls.service, calls.work));
            shedder.record_answered(&ended.route, own.chain(below));
        }
    }

    /// Share of the saved retry budget that a retry of this rank has to leave to more urgent ones.
    fn retry_reserve(&self, rank: u8) -> f64 {
        let Some(config) = &self.config else {
            return 0.0;
        };
        let last = config.last_shed_order();
        let urgent = last.saturating_sub(config.shed_order(rank).min(last));
        MAX_RETRY_RESERVE * urgent as f64 / last.max(1) as f64
    }

    /// Decides whether a failed request may be retried, and takes the cost from the retry budget.
    pub(super) fn allow_retry(&mut self, req: &RetryRequest) -> bool {
        let now = self.clock.now();
        let overloaded = self.shedder.level(&req.route, now) > self.cfg.no_repeat_level;
        if overloaded && !req.inner {
            self.metrics.repeat("overloaded");
            return false;
        }
        let mut costs = vec![(req.service.clone(), 1.0)];
        // A run in a second attempt counts as a repeat with all its calls, even if the first target rejected the
        // request.
        if let Some(stats) = self.route_stats.get(&req.route) {
            for (service, count) in stats.downstream.iter() {
                costs.push((service.clone(), count));
            }
        }
        let reserve = self.retry_reserve(req.rank);
        let affordable = self.budget.try_withdraw(&costs, reserve, now);
        self.metrics
            .repeat(if affordable { "sent" } else { "no-budget" });
        affordable
    }
}

pub(super) fn denial(refusal: Refusal, retry_after: Option<Duration>) -> Denial {
    Denial {
        refusal,
        retry_after,
        config_version: 0,
    }
}

/// Returns the value of `key`, inserting it first if it is missing.
fn get_or_insert<'m, T, F>(map: &'m mut Map<SmolStr, T>, key: &SmolStr, default: F) -> &'m mut T
where
    F: FnOnce() -> T,
{
    if !map.contains_key(key) {
        map.insert(key.clone(), default());
    }
    map.get_mut(key).expect("inserted above")
}
