//! Requests that enter the mesh here: admission, choice of an instance, repeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{InstanceKey, MeshConfig, Refusal, RouteKey, SendOutcome, Split};
use coltsfootport_core::quarantine::Standing;
use rand::Rng;
use smol_str::SmolStr;

use super::authentication::needed_key;
use super::route_stats::RouteStats;
use super::{
    AdmitAsk, Admitted, Controller, Credential, Denied, EndedSend, RetryAsk, SendAsk, SendGuard,
    SendTo,
};

/// When to come back to a node without configuration or instances.
pub(super) const BACK_NOT_READY: Duration = Duration::from_millis(500);

/// Share of the saved budget that the least urgent rank leaves to the others.
const MOST_RESERVE: f64 = 0.6;

/// Share of the budget for calls below that the nodes which send them use themselves.
const INNER_SHARE: f64 = 0.35;

impl Controller {
    /// Decides whether a request goes on, and at which service.
    pub(super) fn admit(&mut self, ask: &AdmitAsk) -> Result<Admitted, Denied> {
        let in_force = self.config.as_ref();
        let config = in_force.map_or(0, |config| config.version().0);
        self.judge(ask)
            .map_err(|denied| Denied { config, ..denied })
    }

    fn judge(&mut self, ask: &AdmitAsk) -> Result<Admitted, Denied> {
        let now = self.clock.now();
        // Targets have no keys: a request with one is a caller's, whatever its id.
        let keyless = matches!(ask.credential, Credential::Missing);
        let outer = self.runs.outer_of(&ask.id).filter(|_| keyless);
        let Some(config) = self.config.clone() else {
            return Err(denied(Refusal::NoConfig, Some(BACK_NOT_READY)));
        };
        let Some((key, route)) = config.find(&ask.host, &ask.path) else {
            return Err(self.no_route(now));
        };
        if outer.is_none() && !self.drain_admits_caller(route, ask, now) {
            return Err(denied(Refusal::Stopping, Some(BACK_NOT_READY)));
        }
        let (rank, workspace, share) = match &outer {
            // Work has been done for it above; refused here it would be lost, and more than this request with it.
            Some(outer) => {
                self.metrics.inner.inc();
                (outer.rank, outer.workspace.clone(), outer.admitted)
            }
            None => {
                let workspace = self.authenticate(&config, route, ask, now)?;
                let rank = config.rank(route, workspace);
                if let Some(workspace) = workspace {
                    self.within_quota(workspace, ask, now)?;
                }
                let share = self.shed(&config, key, rank, ask, now);
                if let (Err(_), Some(workspace)) = (&share, workspace) {
                    self.quota_unused(&workspace.name);
                }
                let share = share?;
                (rank, workspace.map(|known| known.name.clone()), share)
            }
        };
        let service = self
            .next_part(&config, key)
            .ok_or(denied(Refusal::NoInstance, Some(BACK_NOT_READY)))?;
        Ok(Admitted {
            config,
            route: key,
            service,
            rank,
            key: needed_key(ask, workspace.is_some() && outer.is_none()),
            workspace,
            share,
            outer,
        })
    }

    /// A route may be missing since the configuration in hand is old: only a fresh one says that it does not exist.
    fn no_route(&self, now: Instant) -> Denied {
        match self.is_fresh(now) {
            true => denied(Refusal::NoRoute, None),
            false => denied(Refusal::NoConfig, Some(BACK_NOT_READY)),
        }
    }

    /// Whether what the configuration in hand lacks does not exist.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        let answered = self
            .publisher_answered
            .is_some_and(|at| now.saturating_duration_since(at) <= self.cfg.publisher_fresh);
        answered && self.publisher_sound
    }

    /// The share of its like that is admitted with it, or its refusal.
    fn shed(
        &self,
        config: &Arc<MeshConfig>,
        key: RouteKey,
        rank: u8,
        ask: &AdmitAsk,
        now: Instant,
    ) -> Result<f64, Denied> {
        let route = config.route(key);
        let order = config.shed_order(rank);
        let judged = self
            .shedder
            .judge(&route.name, order, &ask.host, &ask.path, now);
        match judged {
            Ok(admitted) => Ok(admitted),
            Err(shed) => {
                self.journal.shed(&ask.id, route, rank, shed);
                Err(denied(Refusal::Shed, Some(shed.retry_after)))
            }
        }
    }

    fn next_part(&mut self, config: &MeshConfig, key: RouteKey) -> Option<ServiceName> {
        let route = config.route(key);
        if let [only] = route.parts.as_slice() {
            return Some(only.service.clone());
        }
        let phase = self.rng.random::<f64>();
        let split = entry(&mut self.splits, &route.name, || {
            Split::new(&route.parts, phase)
        });
        split.next(&route.parts).cloned()
    }

    /// Chooses an instance for a request.
    pub(super) fn send(&mut self, ask: SendAsk) -> Result<SendTo, Refusal> {
        let now = self.clock.now();
        if !ask.tried.is_empty() && !self.still_holds(ask.key.as_ref()) {
            return Err(Refusal::NoInstance);
        }
        let chosen = match self.quarantine.register.standing(ask.fingerprint, now) {
            Standing::Refused => {
                self.log_refused(ask.fingerprint, now);
                return Err(Refusal::CrashesTargets);
            }
            Standing::Isolated => {
                self.fleet
                    .select_by_hash(&ask.service, ask.fingerprint, &ask.tried, now)
            }
            Standing::Suspected | Standing::Unsuspected => {
                self.fleet
                    .select(&ask.service, &ask.tried, now, &mut self.rng)
            }
        };
        let chosen = chosen.ok_or(Refusal::NoInstance)?;
        self.fleet.request_sent(chosen.key, now);
        if ask.tried.is_empty() {
            self.earn(&ask, now);
        }
        let guard = SendGuard {
            key: chosen.key,
            service: ask.service,
            route: ask.route,
            fingerprint: ask.fingerprint,
            answered_whole: false,
            outer: ask.outer,
            since: now,
            clock: Arc::clone(&self.clock),
            tx: self.tx.clone(),
            ended: false,
        };
        Ok(SendTo {
            own: chosen.address == self.cfg.target,
            cut_off: self.own_cut_off(),
            chosen,
            guard,
        })
    }

    /// Counts a first request towards the budgets of all services that it reaches.
    ///
    /// A repeat of a request from outside costs at every service downstream, so its entry needs budget there, although the
    /// calls to them leave from other nodes. Those nodes use the rest for repeats of single calls.
    fn earn(&mut self, ask: &SendAsk, now: Instant) {
        if ask.outer.is_some() {
            return self.budget.earn(&ask.service, INNER_SHARE, now);
        }
        self.budget.earn(&ask.service, 1.0, now);
        if let Some(stats) = self.stats.get(&ask.route) {
            for (service, count) in stats.downstream.iter() {
                self.budget.earn(service, count * (1.0 - INNER_SHARE), now);
            }
        }
    }

    /// Learns from a sending that has ended.
    pub(super) fn send_ended(&mut self, key: InstanceKey, ended: EndedSend) {
        let now = self.clock.now();
        if ended.answered_whole {
            self.answered(ended.fingerprint, now);
        }
        let stats = entry(&mut self.stats, &ended.route, RouteStats::new);
        let outcome = match ended.outcome {
            SendOutcome::Answered { .. } => SendOutcome::Answered {
                relative: stats.answered(ended.took),
            },
            other => other,
        };
        if let Some(report) = &ended.report {
            if let Some(finding) = &report.finding {
                self.quarantine.register.hear(finding, now);
            }
            if matches!(outcome, SendOutcome::Answered { .. }) {
                let below = report.downstream.iter();
                stats
                    .downstream
                    .learn(below.map(|below| (&below.service, below.count)));
            }
            self.shedder.report(&ended.route, report.highest(), now);
            if report.stopping {
                self.fleet.host_stopping(key, now);
            }
            if report.cut_off {
                self.fleet.mark_partitioned(key, now);
            }
        }
        let busy = ended.report.as_ref().map(|report| report.busy);
        self.fleet.request_ended(key, outcome, busy, now);
        if let Some(outer) = &ended.outer {
            self.runs
                .caused(outer, &ended.service, ended.report.as_ref());
        }
    }

    /// Share of the saved budget that a repeat of this rank leaves to more urgent ones.
    fn reserve(&self, rank: u8) -> f64 {
        let Some(config) = &self.config else {
            return 0.0;
        };
        let last = config.last_shed_order();
        let urgent = last.saturating_sub(config.shed_order(rank).min(last));
        MOST_RESERVE * urgent as f64 / last.max(1) as f64
    }

    /// Decides whether a failed request may be sent again, and takes what it costs from the budget.
    pub(super) fn retry(&mut self, ask: &RetryAsk) -> bool {
        let now = self.clock.now();
        let overloaded = self.shedder.level(&ask.route, now) > self.cfg.no_repeat_level;
        if overloaded && !ask.inner {
            self.metrics.repeat("overloaded");
            return false;
        }
        let mut costs = vec![(ask.service.clone(), 1.0)];
        if let Some(stats) = self.stats.get(&ask.route).filter(|_| ask.may_have_run) {
            for (service, count) in stats.downstream.iter() {
                costs.push((service.clone(), count));
            }
        }
        let reserve = self.reserve(ask.rank);
        let affordable = self.budget.spend(&costs, reserve, now);
        self.metrics
            .repeat(if affordable { "sent" } else { "no-budget" });
        affordable
    }
}

pub(super) fn denied(refusal: Refusal, retry_after: Option<Duration>) -> Denied {
    Denied {
        refusal,
        retry_after,
        config: 0,
    }
}

/// The value of a key, made where it is missing.
fn entry<'m, T, F>(map: &'m mut Map<SmolStr, T>, key: &SmolStr, make: F) -> &'m mut T
where
    F: FnOnce() -> T,
{
    if !map.contains_key(key) {
        map.insert(key.clone(), make());
    }
    map.get_mut(key).expect("was inserted above")
}
