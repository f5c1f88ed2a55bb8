//! Selects the home to which an entry sends a claim.

use std::net::IpAddr;

use smol_str::SmolStr;

use super::homes::{HOMES, homes_of};
use super::{QuotaClaim, Verdict};
use crate::collections::Map;

/// A claim with the home that it is sent to, and the order in which the remaining homes are tried.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedClaim {
    /// The claim.
    pub claim: QuotaClaim,
    /// Index of the receiving home among the homes of the workspace.
    pub home_index: usize,
    /// Number of homes that have not answered it.
    failed_homes: usize,
    /// Difference between the indices of one home and the next one to try.
    stride: usize,
}

/// A verdict that a home broadcasts about a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNotice {
    /// Name of the workspace.
    pub workspace: SmolStr,
    /// Index of the home among the homes of the workspace.
    pub home_index: usize,
    /// Verdict of the home.
    pub verdict: Verdict,
}

/// Distributes the claims of an entry over the homes of each workspace.
#[derive(Clone, Debug, Default)]
pub struct QuotaRouter {
    nodes: Vec<(IpAddr, SmolStr)>,
    rotations: Map<SmolStr, HomeRotation>,
    initial_index: usize,
}

/// Round-robin state of the homes of one workspace.
///
/// A counter shared by all workspaces of an entry would let the claims of one workspace decide where those of another
/// go, possibly all to the same home, which has only a third of the quota.
#[derive(Clone, Debug)]
struct HomeRotation {
    homes: Vec<IpAddr>,
    last_index: usize,
}

impl QuotaRouter {
    /// Creates a router without nodes. `initial_index` should differ between entries, so that their first claims don't
    /// all go to the same home.
    pub fn new(initial_index: usize) -> Self {
        Self {
            initial_index,
            ..Self::default()
        }
    }

    /// Sets the published nodes with their failure domains, and returns whether they have changed.
    pub fn set_nodes(&mut self, mut nodes: Vec<(IpAddr, SmolStr)>) -> bool {
        nodes.sort_unstable();
        nodes.dedup();
        if nodes != self.nodes {
            self.nodes = nodes;
            self.rotations.clear();
            return true;
        }
        false
    }

    /// Returns the addresses of all nodes.
    pub fn nodes(&self) -> impl Iterator<Item = IpAddr> {
        self.nodes.iter().map(|(address, _)| *address)
    }

    /// Removes the state of all workspaces, so that none is kept that is no longer published.
    pub fn clear_workspaces(&mut self) {
        self.rotations.clear();
    }

    /// Returns the homes of a workspace.
    pub fn homes(&mut self, workspace: &SmolStr) -> &[IpAddr] {
        &self.rotation(workspace).homes
    }

    fn rotation(&mut self, workspace: &SmolStr) -> &mut HomeRotation {
        let (nodes, last_index) = (&self.nodes, self.initial_index);
        self.rotations
            .entry(workspace.clone())
            .or_insert_with(|| HomeRotation {
                homes: home_addresses(nodes, workspace),
                last_index,
            })
    }

    /// Selects the home for a new claim. Homes are used in turn, so that all of them receive a similar part of the
    /// demand.
    ///
    /// # Errors
    ///
    /// Returns the claim if no node is known.
    pub fn route(&mut self, claim: QuotaClaim) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        let rotation = self.rotation(&claim.usage.workspace);
        rotation.last_index = rotation.last_index.wrapping_add(1);
        let home_index = rotation.last_index;
        // Claims to a home that does not answer are spread over both others: if all went to one of them, they would
        // exhaust its part of the quota while the other's is unused.
        let stride = match rotation.homes.len() {
            HOMES => 1 + home_index / HOMES % 2,
            _ => 1,
        };
        self.resolve(RoutedClaim {
            claim,
            home_index,
            failed_homes: 0,
            stride,
        })
    }

    /// Selects the next home for a claim that its home has not answered.
    ///
    /// # Errors
    ///
    /// Returns the claim if no home has answered it.
    pub fn route_to_next(
        &mut self,
        routed: RoutedClaim,
    ) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        self.resolve(RoutedClaim {
            home_index: routed.home_index + routed.stride,
            failed_homes: routed.failed_homes + 1,
            ..routed
        })
    }

    /// Wraps the index of a claim to the number of homes and returns the address of the home, or the claim if all homes
    /// have been tried.
    fn resolve(&mut self, mut routed: RoutedClaim) -> Result<(IpAddr, RoutedClaim), QuotaClaim> {
        let homes = self.homes(&routed.claim.usage.workspace);
        if routed.failed_homes >= homes.len() {
            return Err(routed.claim);
        }
        routed.home_index %= homes.len();
        Ok((homes[routed.home_index], routed))
    }
}

fn home_addresses(nodes: &[(IpAddr, SmolStr)], workspace: &str) -> Vec<IpAddr> {
    let names: Vec<String> = nodes.iter().map(|(ip, _)| ip.to_string()).collect();
    let domains = nodes.iter().map(|(_, domain)| domain.as_str());
    let listed = names.iter().map(String::as_str).zip(domains);
    let found = homes_of(workspace, listed);
    let parsed = found.iter().filter_map(|name| name.parse().ok());
    parsed.collect()
}
