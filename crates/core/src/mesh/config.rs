//! A whole configuration of a mesh, as published in one version.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::collections::Set;
use crate::id::ServiceName;
use crate::mesh::{CallerLimits, Route, RouteTable};
use crate::workspace::{Directory, Workspace};

/// Version of a configuration; versions compare as their numbers do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Place of a route within its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// A configuration that was checked as a whole.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    version: ConfigVersion,
    routes: Vec<Route>,
    table: RouteTable,
    ranks: Vec<u8>,
    services: Set<ServiceName>,
    limits: CallerLimits,
    directory: Option<Directory>,
    /// Rank of requests without a workspace.
    public_rank: u8,
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MeshConfigError {
    /// Two routes have the same name.
    #[error("two routes are named `{0}`")]
    DuplicateName(SmolStr),
    /// A prefix does not begin and end with a slash.
    #[error("route `{0}`: the prefix must begin and end with a slash")]
    Prefix(SmolStr),
    /// A route has no part with a positive weight, or a weight that is no number.
    #[error("route `{0}`: no service with a positive weight")]
    Weights(SmolStr),
    /// A route may be tried nowhere.
    #[error("route `{0}`: at least one attempt must be allowed")]
    Attempts(SmolStr),
}

impl MeshConfig {
    /// Checks the routes and builds their table.
    ///
    /// # Errors
    ///
    /// The first fault found; nothing of a faulty configuration is used.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        limits: CallerLimits,
    ) -> Result<Self, MeshConfigError> {
        let mut names = Set::default();
        for route in &routes {
            check(route)?;
            if !names.insert(route.name.clone()) {
                return Err(MeshConfigError::DuplicateName(route.name.clone()));
            }
        }
        let keyed = (0..).map(RouteKey).zip(&routes);
        let table = RouteTable::new(keyed);
        let parts = routes.iter().flat_map(|route| &route.services);
        let services = parts.map(|part| part.service.clone()).collect();
        let config = Self {
            version,
            table,
            ranks: Vec::new(),
            routes,
            services,
            limits,
            directory: None,
            public_rank: 0,
        };
        Ok(config.ranked())
    }

    /// Adds the workspaces whose requests may enter. Without a directory no keys are asked for.
    #[must_use]
    pub fn with_directory(mut self, directory: Directory) -> Self {
        let ranks = directory.workspaces().iter().map(|known| known.rank);
        self.public_rank = ranks.max().unwrap_or_default();
        self.directory = Some(directory);
        self.ranked()
    }

    /// The workspaces; `None` where no keys are asked for.
    pub fn directory(&self) -> Option<&Directory> {
        self.directory.as_ref()
    }

    /// Adds services that it names beside those of its routes.
    #[must_use]
    pub fn with_services<I>(mut self, services: I) -> Self
    where
        I: IntoIterator<Item = ServiceName>,
    {
        self.services.extend(services);
        self
    }

    /// Whether it names this service.
    pub fn names(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// The version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<(RouteKey, &Route)> {
        let key = self.table.find(host, path)?;
        Some((key, self.route(key)))
    }

    /// A route of this configuration.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Urgency of a request, 0 for what is shed last: its workspace's rank goes before its route's. Requests without a
    /// workspace, on public routes, go with the least urgent one: anyone can send them.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let outer = workspace.map_or(self.public_rank, |workspace| workspace.rank);
        outer.min(RANKS - 1) * RANKS + route.rank.min(RANKS - 1)
    }

    /// How many less urgent ranks this configuration has; 0 for the rank that is shed first.
    pub fn shed_order(&self, rank: u8) -> usize {
        self.ranks.iter().take_while(|other| **other > rank).count()
    }

    /// The highest order that [`MeshConfig::shed_order`] gives.
    pub fn last_shed_order(&self) -> usize {
        self.ranks.len().saturating_sub(1)
    }

    /// Lists the ranks that requests can have.
    fn ranked(mut self) -> Self {
        let workspaces = self.directory.iter().flat_map(Directory::workspaces);
        let mut owners: Vec<Option<&Workspace>> = workspaces.map(Some).collect();
        // Requests on public routes belong to no workspace.
        if owners.is_empty() || self.routes.iter().any(|route| route.public) {
            owners.push(None);
        }
        let mut ranks = BTreeSet::new();
        for route in &self.routes {
            ranks.extend(owners.iter().map(|owner| self.rank(route, *owner)));
        }
        self.ranks = ranks.into_iter().rev().collect();
        self
    }

    /// Bounds for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

/// Ranks of workspaces, and of routes, that are told apart; both together fill a byte.
const RANKS: u8 = 16;

fn check(route: &Route) -> Result<(), MeshConfigError> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(MeshConfigError::Prefix(name()));
    }
    let weights_are_numbers = route.services.iter().all(|part| part.weight >= 0.0);
    if !weights_are_numbers || !route.services.iter().any(|part| part.weight > 0.0) {
        return Err(MeshConfigError::Weights(name()));
    }
    if route.max_attempts == 0 {
        return Err(MeshConfigError::Attempts(name()));
    }
    Ok(())
}
