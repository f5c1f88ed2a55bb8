//! Requests that one run causes at services below it.

use crate::collections::Map;
use crate::id::ServiceName;

/// Learnt mean number of arrivals at each service that a run of a route causes.
///
/// A repeat of a request repeats these too, so a retry costs their sum and not one.
#[derive(Clone, Debug, Default)]
pub struct Downstream {
    mean: Map<ServiceName, f64>,
}

/// Weight of the newest run; the mean settles within some ten runs.
const NEWEST: f64 = 0.1;

impl Downstream {
    /// Takes in what one run has caused.
    pub fn learn<'s, I>(&mut self, counts: I)
    where
        I: IntoIterator<Item = (&'s ServiceName, u32)>,
    {
        for mean in self.mean.values_mut() {
            *mean *= 1.0 - NEWEST;
        }
        for (service, count) in counts {
            let mean = self.mean.entry(service.clone()).or_insert(0.0);
            *mean += NEWEST * f64::from(count);
        }
    }

    /// Arrivals a run, by service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.mean.iter().map(|(service, mean)| (service, *mean))
    }
}
