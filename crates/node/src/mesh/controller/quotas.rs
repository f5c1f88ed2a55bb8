//! Workspace quotas. As an entry node, a node counts and limits requests and reports usage to the homes of a workspace.
//! As a home, it collects usage and decides which share of the requests entry nodes admit.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{MemberState, Refusal};
use coltsfootport_core::workspace::{
    QuotaClaim, QuotaNotice, QuotaUsage, RoutedClaim, Verdict, Workspace,
};
use slog::{info, warn};
use smol_str::SmolStr;

use super::admission::denial;
use super::{AdmissionRequest, Controller, Denial};
use crate::mesh::quotas::QuotaMessage;

/// A claim with the home to send it to, or the claim alone if no home is left to try.
type ClaimRoute = Result<(IpAddr, RoutedClaim), QuotaClaim>;

impl Controller {
    /// Counts a request against the quota of its workspace, or refuses it.
    pub(super) fn check_quota(
        &mut self,
        workspace: &Workspace,
        ask: &AdmissionRequest,
        now: Instant,
    ) -> Result<(), Denial> {
        let Some(quota) = workspace.quota else {
            return Ok(());
        };
        let Err(over) = self.entry_quotas.admit(&workspace.name, quota, now) else {
            return Ok(());
        };
        let age_ms = self.publisher_age_ms(now);
        self.journal
            .over_quota(&ask.id, workspace, quota, over, age_ms);
        Err(denial(Refusal::OverQuota, Some(over.retry_after)))
    }

    /// Gives back the quota used by a request that did not run.
    pub(super) fn release_quota(&mut self, workspace: &SmolStr) {
        let now = self.clock.now();
        self.entry_quotas.release(workspace, now);
    }

    /// Reports to the homes how many requests arrived and how many were admitted.
    pub(super) fn send_quota_claims(&mut self, now: Instant) {
        let claims = self.entry_quotas.take_claims(now);
        let routes = claims.into_iter();
        let routes = routes.map(|claim| self.quota_router.route(claim));
        let routes = routes.collect();
        self.send_routed_claims(routes, now);
    }

    /// Sends each claim to its home, and returns claims without a home to the entry node's accounts.
    fn send_routed_claims(&mut self, routes: Vec<ClaimRoute>, now: Instant) {
        let mut by_home: Map<IpAddr, Vec<RoutedClaim>> = Map::default();
        for route in routes {
            match route {
                Ok((home, routed)) => by_home.entry(home).or_default().push(routed),
                Err(claim) => self.entry_quotas.requeue_claim(&claim, now),
            }
        }
        for (home, claims) in by_home {
            if home != self.cfg.target.ip() {
                self.send_quota_message(QuotaMessage::Claims(home, claims));
                continue;
            }
            for routed in claims {
                let usage = &routed.claim.usage;
                let verdict = self.accept_claim(usage, now).unwrap_or(Verdict::UNLIMITED);
                self.entry_quotas
                    .confirm_claim(&routed.claim, routed.home_index, verdict, now);
            }
        }
    }

    /// Marks the home of each of these unanswered claims as unreachable and tries the next home.
    pub(super) fn reroute_claims(&mut self, claims: Vec<RoutedClaim>) {
        let now = self.clock.now();
        for routed in &claims {
            self.entry_quotas
                .discard_verdict(&routed.claim.usage.workspace, routed.home_index);
        }
        let routes = claims.into_iter();
        let routes = routes.map(|routed| self.quota_router.route_to_next(routed));
        let routes = routes.collect();
        self.send_routed_claims(routes, now);
    }

    /// Applies verdicts that homes sent without a claim.
    pub(super) fn apply_quota_notices(&mut self, notices: Vec<QuotaNotice>) {
        let now = self.clock.now();
        for notice in notices {
            self.entry_quotas.apply_verdict(
                &notice.workspace,
                notice.home_index,
                notice.verdict,
                now,
            );
        }
    }

    /// Confirms claims that homes accepted, and applies their verdicts.
    pub(super) fn confirm_claims(&mut self, confirmed: &[(RoutedClaim, Verdict)]) {
        let now = self.clock.now();
        self.entry_quotas.node_answered(now);
        for (routed, verdict) in confirmed {
            self.entry_quotas
                .confirm_claim(&routed.claim, routed.home_index, *verdict, now);
        }
    }

    /// As a home, accepts claims of another node and returns a verdict for each. The result is empty if this node does
    /// not know one of the workspaces yet, so that the entry node tries another home.
    pub(super) fn accept_claims(&mut self, claims: &[QuotaUsage]) -> Vec<Verdict> {
        let now = self.clock.now();
        let verdicts = claims.iter().map(|claim| self.accept_claim(claim, now));
        verdicts.collect::<Option<_>>().unwrap_or_default()
    }

    /// As a home, accounts a claim and returns the verdict, or `None` if the workspace is unknown.
    fn accept_claim(&mut self, claim: &QuotaUsage, now: Instant) -> Option<Verdict> {
        let directory = self.config.as_ref()?.directory()?;
        let Some(quota) = directory.find_by_name(&claim.workspace)?.quota else {
            return Some(Verdict::UNLIMITED);
        };
        let (asked, used) = (f64::from(claim.asked), f64::from(claim.used));
        let verdict = self
            .home_quotas
            .apply_claim(&claim.workspace, quota, asked, used, now);
        if self
            .home_quotas
            .begin_broadcast(&claim.workspace, &verdict, now)
        {
            self.notify_entries(&claim.workspace, verdict, now);
        }
        Some(verdict)
    }

    /// As a home, notifies all entry nodes that a workspace exceeds its quota.
    fn notify_entries(&mut self, workspace: &SmolStr, verdict: Verdict, now: Instant) {
        let own = self.cfg.target.ip();
        let homes = self.quota_router.homes(workspace);
        // Another node, whose list of instances differs for a moment, took this node for a home. It gets the verdict
        // in reply to its claim.
        let Some(place) = homes.iter().position(|home| *home == own) else {
            return;
        };
        self.entry_quotas
            .apply_verdict(workspace, place, verdict, now);
        let notice = QuotaNotice {
            workspace: workspace.clone(),
            home_index: place,
            verdict,
        };
        let others = self.quota_router.nodes().filter(|node| *node != own);
        let others = others.collect();
        self.send_quota_message(QuotaMessage::Notices(others, vec![notice]));
    }

    /// As a home, checks whether other nodes may have replaced this one as a home.
    pub(super) fn check_replaced(&mut self, nodes_silent: f64) {
        let now = self.clock.now();
        let publisher_silent = match (self.publisher_healthy, self.publisher_answered) {
            (false, Some(at)) => now.saturating_duration_since(at),
            _ => Duration::ZERO,
        };
        if self
            .home_quotas
            .check_replaced(publisher_silent, nodes_silent, now)
        {
            info!(self.journal.log(), "home of quotas may be replaced"; "replaced" => self.home_quotas.is_replaced(),
                "publisher_silent_ms" => publisher_silent.as_millis() as u64, "nodes_silent" => nodes_silent);
        }
    }

    /// Updates the candidate homes from the published instances, reachable or not, except draining ones.
    pub(super) fn update_quota_homes(&mut self) {
        let members = self.fleet.iter();
        let active = members.filter(|(_, state)| *state != MemberState::Draining);
        let nodes: Vec<_> = active
            .map(|(instance, _)| {
                let domain = SmolStr::new(instance.domain.as_str());
                (instance.address.ip(), domain)
            })
            .collect();
        self.entry_quotas.set_node_count(nodes.len());
        if self.quota_router.set_nodes(nodes) {
            self.home_quotas.node_list_changed(self.clock.now());
        }
    }

    /// Drops the accounts of workspaces that a new configuration does not contain.
    pub(super) fn prune_workspaces(&mut self) {
        let Some(directory) = self.config.as_ref().and_then(|config| config.directory()) else {
            return;
        };
        let known = |name: &SmolStr| directory.find_by_name(name).is_some();
        self.entry_quotas.retain(known);
        self.home_quotas.retain(known);
        self.quota_router.clear_workspaces();
    }

    fn send_quota_message(&self, message: QuotaMessage) {
        if self.quota_messages.send(message).is_err() {
            warn!(self.journal.log(), "cannot send quota message"; "reason" => "the sending task has ended");
        }
    }
}
