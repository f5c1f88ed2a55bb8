//! Shares of the requests of each route to shed, by the work that they cause at a constrained service.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::route_costs::RouteCosts;
use crate::collections::Map;
use crate::id::ServiceName;
use crate::mesh::{RouteWork, ServiceLevels, ShedShare, ShedderConfig, admitted_shares};

/// Interval between updates of the shares. Levels follow the load over 400 ms, so that shares computed more often would
/// hardly differ, and each request only needs a lookup.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Time over which the arrivals of a route are averaged. An entry node of a large fleet gets about one request per
/// second of a route, and the shares depend on the ratios between routes, which change more slowly than the load.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Decides which share of each route's requests an entry node sheds.
///
/// The level of a route is the highest among the services on its path. Of a rank that is shed in part, a share of the
/// *work* at that service is shed, taken from the requests that cost the most there. If each route lost the same share
/// of its requests, many cheap requests would be refused for the sake of a few expensive ones.
#[derive(Clone, Debug)]
pub struct CostShedder {
    cfg: ShedderConfig,
    levels: ServiceLevels,
    routes: Map<SmolStr, RouteLoad>,
    /// When the shares were last computed; `None` if a route has been added since.
    updated: Option<Instant>,
    /// When the arrivals were last decayed.
    decayed: Instant,
}

/// What is known about a route.
#[derive(Clone, Debug, Default)]
struct RouteLoad {
    costs: RouteCosts,
    binding: Option<BindingService>,
    /// Its requests by rank, which depends on the workspace of the caller.
    ranks: Vec<RankLoad>,
}

/// Requests of one route and rank.
#[derive(Clone, Copy, Debug)]
struct RankLoad {
    shed_order: usize,
    /// Number of recent arrivals, including shed ones.
    arrivals: f64,
    shed: f64,
}

/// The service that determines the level of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct BindingService {
    /// Name of the service.
    pub service: ServiceName,
    /// Overload level of the service.
    pub level: f64,
    /// Mean slot time of a request of the route at the service, in seconds; `None` if no reply has told it.
    pub cost: Option<f64>,
}

impl CostShedder {
    /// Creates a shedder that knows no levels and no costs.
    pub fn new(cfg: ShedderConfig, now: Instant) -> Self {
        Self {
            levels: ServiceLevels::new(cfg),
            routes: Map::default(),
            updated: None,
            decayed: now,
            cfg,
        }
    }

    /// Records the overload level that a reply reports for a service.
    pub fn report(&mut self, service: &ServiceName, level: f64, now: Instant) {
        self.levels.report(service, level, now);
    }

    /// Records an answered request of a route: each service that it used, with its slot time there in seconds, or 0 if
    /// the reply does not say.
    pub fn record_answered<'s, I>(&mut self, route: &SmolStr, used: I)
    where
        I: IntoIterator<Item = (&'s ServiceName, f64)>,
    {
        if let Some(load) = self.routes.get_mut(route) {
            return load.costs.record(used);
        }
        let mut load = RouteLoad::default();
        load.costs.record(used);
        self.routes.insert(route.clone(), load);
    }

    /// Counts the arrival of a request and returns the share of similar requests to shed. `None` if too few replies
    /// were received to know which services the route uses.
    pub fn share(&mut self, route: &SmolStr, shed_order: usize, now: Instant) -> Option<ShedShare> {
        self.count_arrival(route, shed_order);
        let age = self
            .updated
            .map(|updated| now.saturating_duration_since(updated));
        if age.is_none_or(|age| age >= UPDATE_INTERVAL) {
            self.update(now);
        }
        let load = self.routes.get(route)?;
        if !load.costs.is_known() {
            return None;
        }
        let rank = load.ranks.iter().find(|rank| rank.shed_order == shed_order);
        let level = load.binding.as_ref().map_or(0.0, |binding| binding.level);
        Some(ShedShare {
            level,
            share: rank.map_or(0.0, |rank| rank.shed),
            even_share: self.cfg.share(level, shed_order),
        })
    }

    /// The service with the highest level on the path of a route; `None` if no service on it is constrained.
    pub fn binding_service(&self, route: &SmolStr) -> Option<&BindingService> {
        self.routes.get(route)?.binding.as_ref()
    }

    /// Removes what is known about routes and services that `keep_route` and `keep_service` reject.
    pub fn retain<R, S>(&mut self, mut keep_route: R, mut keep_service: S)
    where
        R: FnMut(&SmolStr) -> bool,
        S: FnMut(&ServiceName) -> bool,
    {
        self.routes.retain(|route, _| keep_route(route));
        for load in self.routes.values_mut() {
            load.costs.retain(&mut keep_service);
        }
        self.levels.retain(keep_service);
        self.updated = None;
    }

    fn count_arrival(&mut self, route: &SmolStr, shed_order: usize) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteLoad::default());
        }
        let load = self.routes.get_mut(route).expect("inserted above");
        let mut ranks = load.ranks.iter_mut();
        match ranks.find(|rank| rank.shed_order == shed_order) {
            Some(rank) => rank.arrivals += 1.0,
            None => {
                load.ranks.push(RankLoad {
                    shed_order,
                    arrivals: 1.0,
                    shed: 0.0,
                });
                self.updated = None;
            }
        }
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed);
        let decay = (-elapsed.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp();
        self.decayed = now;
        self.updated = Some(now);
        for load in self.routes.values_mut() {
            for rank in &mut load.ranks {
                rank.arrivals *= decay;
                rank.shed = 0.0;
            }
            load.binding = binding_service(&load.costs, &self.levels, now);
        }
        self.update_shares();
    }

    /// Computes the shares of each rank at each service that is the binding one for some routes.
    fn update_shares(&mut self) {
        let mut shares: Map<(ServiceName, usize), Vec<(SmolStr, RouteWork)>> = Map::default();
        for (name, load) in &self.routes {
            let Some(binding) = &load.binding else {
                continue;
            };
            for rank in &load.ranks {
                let key = (binding.service.clone(), rank.shed_order);
                let work = RouteWork {
                    arrivals: rank.arrivals,
                    cost: binding.cost,
                };
                shares.entry(key).or_default().push((name.clone(), work));
            }
        }
        for ((_, shed_order), routes) in shares {
            let Some(binding) = self.binding_service(&routes[0].0) else {
                continue;
            };
            let even = self.cfg.share(binding.level, shed_order);
            // The few requests of a rank that is shed completely only return reports, which all routes need.
            let is_partial = binding.level < shed_order as f64 + 1.0;
            let work: Vec<RouteWork> = routes.iter().map(|(_, work)| *work).collect();
            let admitted = match is_partial {
                true => admitted_shares(&work, 1.0 - even),
                false => vec![1.0 - even; work.len()],
            };
            for ((name, _), admitted) in routes.iter().zip(admitted) {
                let load = self.routes.get_mut(name).expect("listed above");
                let mut ranks = load.ranks.iter_mut();
                if let Some(rank) = ranks.find(|rank| rank.shed_order == shed_order) {
                    rank.shed = (1.0 - admitted).clamp(0.0, self.cfg.max_share);
                }
            }
        }
    }
}

fn binding_service(
    costs: &RouteCosts,
    levels: &ServiceLevels,
    now: Instant,
) -> Option<BindingService> {
    let path = costs.path();
    let constrained = path
        .map(|(service, cost)| (service, cost, levels.level(service, now)))
        .filter(|(_, _, level)| *level > 0.0);
    let (service, cost, level) = constrained.max_by(|a, b| a.2.total_cmp(&b.2))?;
    Some(BindingService {
        service: service.clone(),
        level,
        cost,
    })
}
