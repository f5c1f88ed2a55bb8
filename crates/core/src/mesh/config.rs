//! The complete configuration of a mesh, published as one version.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::collections::Set;
use crate::id::ServiceName;
use crate::mesh::{CallerLimits, Route, RouteTable};
use crate::workspace::{Directory, Workspace};

/// Version of a configuration; a higher number is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Index of a route within its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    version: ConfigVersion,
    routes: Vec<Route>,
    table: RouteTable,
    /// Distinct request ranks, least urgent first.
    ranks: Vec<u8>,
    services: Set<ServiceName>,
    limits: CallerLimits,
    directory: Option<Directory>,
    /// Rank of requests without a workspace.
    public_rank: u8,
    /// Words that this node does not know, each read in the safest way.
    unknown_words: Vec<UnknownWord>,
}

/// A word of a published configuration that comes from a newer publisher than this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownWord {
    /// Name of the route that it belongs to.
    pub route: SmolStr,
    /// Field that holds it.
    pub field: SmolStr,
    /// The word.
    pub word: SmolStr,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MeshConfigError {
    /// Two routes have the same name.
    #[error("two routes are named `{0}`")]
    DuplicateName(SmolStr),
    /// A prefix does not begin and end with a slash.
    #[error("route `{0}`: the prefix must begin and end with a slash")]
    Prefix(SmolStr),
    /// A route has no service with a positive weight, or a weight is negative or NaN.
    #[error("route `{0}`: no service with a positive weight")]
    Weights(SmolStr),
    /// A route allows no attempts.
    #[error("route `{0}`: at least one attempt must be allowed")]
    Attempts(SmolStr),
}

impl MeshConfig {
    /// Validates the routes and builds the routing table.
    ///
    /// # Errors
    ///
    /// Returns the first error found; an invalid configuration is rejected as a whole.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        limits: CallerLimits,
    ) -> Result<Self, MeshConfigError> {
        let mut names = Set::default();
        for route in &routes {
            validate_route(route)?;
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
            unknown_words: Vec::new(),
        };
        Ok(config.with_computed_ranks())
    }

    /// Sets the workspaces that may send requests. Without a directory, no keys are required.
    #[must_use]
    pub fn with_directory(mut self, directory: Directory) -> Self {
        let ranks = directory.workspaces().iter().map(|known| known.rank);
        self.public_rank = ranks.max().unwrap_or_default();
        self.directory = Some(directory);
        self.with_computed_ranks()
    }

    /// Records words that were read in the safest way because this node does not know them.
    #[must_use]
    pub fn with_unknown_words(mut self, words: Vec<UnknownWord>) -> Self {
        self.unknown_words = words;
        self
    }

    /// Words that this node does not know, each read in the safest way.
    pub fn unknown_words(&self) -> &[UnknownWord] {
        &self.unknown_words
    }

    /// The workspaces; `None` if no keys are required.
    pub fn directory(&self) -> Option<&Directory> {
        self.directory.as_ref()
    }

    /// Adds services that the configuration names in addition to those of its routes.
    #[must_use]
    pub fn with_services<I>(mut self, services: I) -> Self
    where
        I: IntoIterator<Item = ServiceName>,
    {
        self.services.extend(services);
        self
    }

    /// Whether the configuration names this service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Version of this configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route for a host name and path.
    pub fn find(&self, host: &str, path: &str) -> Option<(RouteKey, &Route)> {
        let key = self.table.find(host, path)?;
        Some((key, self.route(key)))
    }

    /// Returns the route with a key obtained from this configuration.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Rank of a request; requests of rank 0 are shed last. The rank of the workspace takes precedence over that of
    /// the route. Requests without a workspace, on public routes, get the rank of the least urgent workspace,
    /// because anyone can send them.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let outer = workspace.map_or(self.public_rank, |workspace| workspace.rank);
        outer.min(RANK_LEVELS - 1) * RANK_LEVELS + route.rank.min(RANK_LEVELS - 1)
    }

    /// Number of less urgent ranks in this configuration; 0 for the rank that is shed first.
    pub fn shed_order(&self, rank: u8) -> usize {
        self.ranks.iter().take_while(|other| **other > rank).count()
    }

    /// The highest value that [`MeshConfig::shed_order`] returns for a rank of this configuration.
    pub fn last_shed_order(&self) -> usize {
        self.ranks.len().saturating_sub(1)
    }

    /// Computes the ranks that requests can have.
    fn with_computed_ranks(mut self) -> Self {
        let workspaces = self.directory.iter().flat_map(Directory::workspaces);
        let mut owners: Vec<Option<&Workspace>> = workspaces.map(Some).collect();
        // Requests on public routes have no workspace.
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

    /// Limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

/// Number of distinct ranks of workspaces, and of routes; a pair of both fits into a byte.
const RANK_LEVELS: u8 = 16;

fn validate_route(route: &Route) -> Result<(), MeshConfigError> {
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
