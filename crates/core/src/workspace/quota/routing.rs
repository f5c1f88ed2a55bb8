//! To which home an entry tells what.

use std::net::IpAddr;

use smol_str::SmolStr;

use super::homes::{HOMES, homes_of};
use super::{QuotaClaim, Verdict};
use crate::collections::Map;

/// A claim on its way to one home after the other.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedClaim {
    /// What is told.
    pub claim: QuotaClaim,
    /// Place, among the homes of the workspace, of the one that it is told to.
    pub place: usize,
    /// Homes that have not answered it.
    tried: usize,
    /// Places from one home to the next.
    step: usize,
}

/// The word of a home about a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNotice {
    /// The workspace.
    pub workspace: SmolStr,
    /// Place of the home among those of the workspace.
    pub place: usize,
    /// What it says.
    pub verdict: Verdict,
}

/// Homes of all workspaces that an entry has met, and whose turn it is.
#[derive(Clone, Debug, Default)]
pub struct QuotaRouter {
    nodes: Vec<(IpAddr, SmolStr)>,
    turns: Map<SmolStr, Turns>,
    first_turn: usize,
}

/// The homes of one workspace, each in turn.
///
/// With one turn for all workspaces of an entry, the rhythm of one would decide where the other's claims go: all of them to the
/// same home, which has a third of the quota.
#[derive(Clone, Debug)]
struct Turns {
    homes: Vec<IpAddr>,
    turn: usize,
}

impl QuotaRouter {
    /// A router whose first turn is this one; entries that all began with the same home would meet there.
    pub fn new(turn: usize) -> Self {
        Self {
            first_turn: turn,
            ..Self::default()
        }
    }

    /// Takes in the published nodes with their failure domains; whether they have changed.
    pub fn set_nodes(&mut self, mut nodes: Vec<(IpAddr, SmolStr)>) -> bool {
        nodes.sort_unstable();
        nodes.dedup();
        if nodes != self.nodes {
            self.nodes = nodes;
            self.turns.clear();
            return true;
        }
        false
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = IpAddr> {
        self.nodes.iter().map(|(address, _)| *address)
    }

    /// Forgets workspaces that are not published any more.
    pub fn forget_workspaces(&mut self) {
        self.turns.clear();
    }

    /// The homes of a workspace.
    pub fn homes(&mut self, workspace: &SmolStr) -> &[IpAddr] {
        &self.turns(workspace).homes
    }

    fn turns(&mut self, workspace: &SmolStr) -> &mut Turns {
        let (nodes, turn) = (&self.nodes, self.first_turn);
        self.turns
            .entry(workspace.clone())
            .or_insert_with(|| Turns {
                homes: find(nodes, workspace),
                turn,
            })
    }

    /// The home that a new claim is told to: each in turn, so that all of them see a like part of the demand.
    ///
    /// # Errors
    ///
    /// No node is known.
    pub fn first(&mut self, claim: QuotaClaim) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        let turns = self.turns(&claim.usage.workspace);
        turns.turn = turns.turn.wrapping_add(1);
        let place = turns.turn;
        // Claims of a home that does not answer are spread over both others: all of them at one would use up its part of the
        // quota while the other's is left over.
        let step = match turns.homes.len() {
            HOMES => 1 + place / HOMES % 2,
            _ => 1,
        };
        let routed = RoutedClaim {
            claim,
            place,
            tried: 0,
            step,
        };
        self.route(routed)
    }

    /// The next home after one that has not answered.
    ///
    /// # Errors
    ///
    /// None of them has answered.
    pub fn next(&mut self, routed: RoutedClaim) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        self.route(RoutedClaim {
            place: routed.place + routed.step,
            tried: routed.tried + 1,
            ..routed
        })
    }

    /// The home at a claim's place, counted on beyond the last one; the claim comes back once all have been tried.
    fn route(&mut self, mut routed: RoutedClaim) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        let homes = self.homes(&routed.claim.usage.workspace);
        if routed.tried >= homes.len() {
            return Err(routed.claim);
        }
        routed.place %= homes.len();
        Ok((homes[routed.place], routed))
    }
}

fn find(nodes: &[(IpAddr, SmolStr)], workspace: &str) -> Vec<IpAddr> {
    let names: Vec<String> = nodes.iter().map(|(ip, _)| ip.to_string()).collect();
    let domains = nodes.iter().map(|(_, domain)| domain.as_str());
    let listed = names.iter().map(String::as_str).zip(domains);
    let found = homes_of(workspace, listed);
    let parsed = found.iter().filter_map(|name| name.parse().ok());
    parsed.collect()
}
