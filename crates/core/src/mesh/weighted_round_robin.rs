//! Selection among the services of a route by weight.

use crate::id::ServiceName;
use crate::mesh::WeightedService;

/// Smooth weighted round robin: after any number of selections, each service is within one of its share.
///
/// A random selection would need thousands of requests to approach the weights, and each node sees only a few.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Creates a selection whose start is shifted by `phase`, from 0 to 1.
    ///
    /// If all nodes started with the service of the highest weight, it would receive the first requests of each of
    /// them.
    pub fn new(services: &[WeightedService], phase: f64) -> Self {
        let total: f64 = services.iter().map(|service| service.weight).sum();
        let mut credits = Vec::with_capacity(services.len());
        let mut sum = 0.0;
        for (index, service) in services.iter().enumerate() {
            let offset = (phase + 0.618 * index as f64).fract() - 0.5;
            let credit = offset * service.weight.min(total / 2.0);
            credits.push(credit);
            sum += credit;
        }
        if let Some(first) = credits.first_mut() {
            *first -= sum;
        }
        Self { credits }
    }

    /// Selects the next service. A single service is selected whatever its weight; otherwise returns `None` if no
    /// service has a weight above 0.
    pub fn next<'p>(&mut self, services: &'p [WeightedService]) -> Option<&'p ServiceName> {
        if let [only] = services {
            return Some(&only.service);
        }
        self.credits.resize(services.len(), 0.0);
        let total: f64 = services.iter().map(|service| service.weight).sum();
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight;
        }
        let best = (0..services.len())
            .filter(|index| services[*index].weight > 0.0)
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(&services[best].service)
    }
}
