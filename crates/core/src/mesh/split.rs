//! The choice of a part of a route by weight.

use crate::id::ServiceName;
use crate::mesh::Part;

/// Smooth weighted round robin: after any number of choices each part is within one of its share.
///
/// A random choice would need thousands of requests to come near to its weights, and each node sees only a few.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<f64>,
}

impl Split {
    /// A split whose first choices differ between nodes by `phase`, from 0 to 1.
    ///
    /// Nodes that all begin with the heaviest part would send the first requests of all of them there.
    pub fn new(parts: &[Part], phase: f64) -> Self {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let mut credits = Vec::with_capacity(parts.len());
        let mut rest = 0.0;
        for (at, part) in parts.iter().enumerate() {
            let shift = ((phase + 0.618 * at as f64).fract() - 0.5) * part.weight.min(total / 2.0);
            credits.push(shift);
            rest += shift;
        }
        if let Some(first) = credits.first_mut() {
            *first -= rest;
        }
        Self { credits }
    }

    /// The next part's service.
    pub fn next<'p>(&mut self, parts: &'p [Part]) -> Option<&'p ServiceName> {
        if let [only] = parts {
            return Some(&only.service);
        }
        self.credits.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight;
        }
        let best = (0..parts.len())
            .filter(|at| parts[*at].weight > 0.0)
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(&parts[best].service)
    }
}
