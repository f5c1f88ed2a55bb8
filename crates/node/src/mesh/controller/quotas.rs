//! Quotas of workspaces: as an entry, and as a home.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::mesh::{MemberState, Refusal};
use coltsfootport_core::workspace::{
    QuotaClaim, QuotaNotice, QuotaUsage, RoutedClaim, Verdict, Workspace,
};
use slog::{info, warn};
use smol_str::SmolStr;

use super::admission::denied;
use super::{AdmitAsk, Controller, Denied};
use crate::mesh::quotas::QuotaWord;

/// A claim with the home that it goes to, or by itself where none is left.
type Routed = Result<(IpAddr, RoutedClaim), QuotaClaim>;

impl Controller {
    /// Counts a request towards the quota of its workspace, or refuses it.
    pub(super) fn within_quota(
        &mut self,
        workspace: &Workspace,
        ask: &AdmitAsk,
        now: Instant,
    ) -> Result<(), Denied> {
        let Some(quota) = workspace.quota else {
            return Ok(());
        };
        let Err(over) = self.entry_quotas.admit(&workspace.name, quota, now) else {
            return Ok(());
        };
        let age_ms = self.publisher_age_ms(now);
        self.journal
            .over_quota(&ask.id, workspace, quota, over, age_ms);
        Err(denied(Refusal::OverQuota, Some(over.retry_after)))
    }

    /// A request that counted towards a quota has not run.
    pub(super) fn quota_unused(&mut self, workspace: &SmolStr) {
        let now = self.clock.now();
        self.entry_quotas.release(workspace, now);
    }

    /// Tells homes what was asked and used.
    pub(super) fn tell_homes(&mut self, now: Instant) {
        let claims = self.entry_quotas.take_claims(now);
        let routed = claims.into_iter();
        let routed = routed.map(|claim| self.quota_router.route(claim));
        let routed = routed.collect();
        self.send_claims(routed, now);
    }

    /// Sends claims to the homes that were found for them, and puts back those for which there is none.
    fn send_claims(&mut self, routed: Vec<Routed>, now: Instant) {
        let mut by_home: Map<IpAddr, Vec<RoutedClaim>> = Map::default();
        for routed in routed {
            match routed {
                Ok((home, routed)) => by_home.entry(home).or_default().push(routed),
                Err(claim) => self.entry_quotas.requeue_claim(&claim, now),
            }
        }
        for (home, claims) in by_home {
            if home != self.cfg.target.ip() {
                self.say(QuotaWord::Claims(home, claims));
                continue;
            }
            for routed in claims {
                let usage = &routed.claim.usage;
                let verdict = self.claimed(usage, now).unwrap_or(Verdict::UNLIMITED);
                self.entry_quotas
                    .confirm_claim(&routed.claim, routed.home_index, verdict, now);
            }
        }
    }

    /// A home has not answered: the next one is asked.
    pub(super) fn quota_untold(&mut self, claims: Vec<RoutedClaim>) {
        let now = self.clock.now();
        for routed in &claims {
            self.entry_quotas
                .discard_verdict(&routed.claim.usage.workspace, routed.home_index);
        }
        let next = claims.into_iter();
        let next = next.map(|routed| self.quota_router.route_to_next(routed));
        let next = next.collect();
        self.send_claims(next, now);
    }

    /// Homes have told their verdicts.
    pub(super) fn quota_heard(&mut self, notices: Vec<QuotaNotice>) {
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

    /// Homes have taken in claims.
    pub(super) fn quota_confirmed(&mut self, confirmed: &[(RoutedClaim, Verdict)]) {
        let now = self.clock.now();
        self.entry_quotas.node_answered(now);
        for (routed, verdict) in confirmed {
            self.entry_quotas
                .confirm_claim(&routed.claim, routed.home_index, *verdict, now);
        }
    }

    /// As a home: takes in claims of another node. Empty where this node does not know one of the workspaces yet, so that the
    /// entry asks another home.
    pub(super) fn quota_claimed(&mut self, claims: &[QuotaUsage]) -> Vec<Verdict> {
        let now = self.clock.now();
        let verdicts = claims.iter().map(|claim| self.claimed(claim, now));
        verdicts.collect::<Option<_>>().unwrap_or_default()
    }

    fn claimed(&mut self, claim: &QuotaUsage, now: Instant) -> Option<Verdict> {
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
            self.tell_entries(&claim.workspace, verdict, now);
        }
        Some(verdict)
    }

    /// As a home: tells all entries that a workspace is beyond its quota.
    fn tell_entries(&mut self, workspace: &SmolStr, verdict: Verdict, now: Instant) {
        let own = self.cfg.target.ip();
        let homes = self.quota_router.homes(workspace);
        // Another node took this one for a home by a list that differs for a moment; it has its verdict.
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
        self.say(QuotaWord::Notices(others, vec![notice]));
    }

    /// As a home: checks whether others may have been made homes in the place of this node.
    pub(super) fn check_replaced(&mut self, nodes_silent: f64) {
        let now = self.clock.now();
        let publisher_silent = match (self.publisher_sound, self.publisher_answered) {
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

    /// Takes in who is published, reached or not.
    pub(super) fn refresh_quota_homes(&mut self) {
        let listed = self.fleet.iter();
        let staying = listed.filter(|(_, state)| *state != MemberState::Draining);
        let nodes: Vec<_> = staying
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

    /// Forgets workspaces that a new configuration does not name.
    pub(super) fn forget_old_workspaces(&mut self) {
        let Some(directory) = self.config.as_ref().and_then(|config| config.directory()) else {
            return;
        };
        let known = |name: &SmolStr| directory.find_by_name(name).is_some();
        self.entry_quotas.retain(known);
        self.home_quotas.retain(known);
        self.quota_router.clear_workspaces();
    }

    fn say(&self, word: QuotaWord) {
        if self.quota_words.send(word).is_err() {
            warn!(self.journal.log(), "quotas are not told"; "reason" => "the task that tells them has ended");
        }
    }
}
