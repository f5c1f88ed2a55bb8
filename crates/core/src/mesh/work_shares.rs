//! Division of the admitted work of a rank among its routes.

/// Work that the requests of a route cause at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteWork {
    /// Arriving requests, in any unit that is the same for all routes.
    pub arrivals: f64,
    /// Mean slot time of a request at the service, in seconds; `None` counts as the mean of the others.
    pub cost: Option<f64>,
}

/// Share of the admitted share without regard to cost that each route keeps, so that none is starved.
const MIN_KEPT: f64 = 0.5;

/// Ratio of costs above which two routes are cut alike. Learned costs vary by some percent; without a tolerance, routes
/// of the same cost would be cut in turn.
const SIMILAR_COST: f64 = 0.8;

/// Returns the share of each route's requests to admit, so that the share `admitted` of their work is admitted.
///
/// The requests with the highest cost are shed first. No route is cut below half of `admitted`.
pub fn admitted_shares(routes: &[RouteWork], admitted: f64) -> Vec<f64> {
    let mean = mean_cost(routes);
    let cost = |index: usize| routes[index].cost.unwrap_or(mean).max(0.0);
    let work = |index: usize| routes[index].arrivals.max(0.0) * cost(index);
    let total: f64 = (0..routes.len()).map(work).sum();
    let mut shares = vec![1.0; routes.len()];
    if total <= 0.0 {
        shares.fill(admitted);
        return shares;
    }
    let floor = MIN_KEPT * admitted;
    let mut excess = total * (1.0 - admitted);
    let mut by_cost: Vec<usize> = (0..routes.len()).collect();
    by_cost.sort_by(|a, b| cost(*b).total_cmp(&cost(*a)));
    let mut rest = by_cost.as_slice();
    while let Some(first) = rest.first() {
        let similar = rest.partition_point(|index| cost(*index) >= SIMILAR_COST * cost(*first));
        let (group, cheaper) = rest.split_at(similar);
        rest = cheaper;
        let group_work: f64 = group.iter().map(|index| work(*index)).sum();
        // Routes without recent arrivals are cut like the rest of the group.
        let share = match group_work > 0.0 {
            true => (1.0 - excess / group_work).max(floor),
            false if excess > 0.0 => floor,
            false => 1.0,
        };
        excess = (excess - group_work * (1.0 - share)).max(0.0);
        for index in group {
            shares[*index] = share;
        }
    }
    shares
}

/// Mean of the known costs, weighted by arrivals; 1 if none is known.
fn mean_cost(routes: &[RouteWork]) -> f64 {
    let mut sum = (0.0, 0.0);
    for route in routes {
        if let Some(cost) = route.cost {
            let arrivals = route.arrivals.max(f64::MIN_POSITIVE);
            sum = (sum.0 + arrivals * cost, sum.1 + arrivals);
        }
    }
    match sum.1 > 0.0 {
        true => sum.0 / sum.1,
        false => 1.0,
    }
}
