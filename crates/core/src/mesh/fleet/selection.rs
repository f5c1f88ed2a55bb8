//! Selection of the instance that gets a request.

use std::hash::{Hash, Hasher};
use std::time::Instant;

use rand::Rng;

use super::{Fleet, InstanceKey, Member, SelectedInstance};
use crate::collections::FastHasher;
use crate::id::ServiceName;
use crate::mesh::InstanceSpeed;
use crate::quarantine::Fingerprint;

/// Number of instances of a service above which two drawn at random are compared if their speeds differ.
const MAX_COMPARED: usize = 8;

impl Fleet {
    /// Selects the instance of a service with the best score, except those in `tried`.
    ///
    /// Avoided instances are used only as a last resort: misjudged instances must not make the service unavailable.
    ///
    /// Reported speeds are used only where they differ by more than the variation of the reports. The best of a random
    /// draw is selected then if the service is large: all nodes receive the same reports, and would otherwise send their
    /// requests to the same few fast instances at the same time.
    pub fn select<R>(
        &self,
        service: &ServiceName,
        tried: &[InstanceKey],
        now: Instant,
        rng: &mut R,
    ) -> Option<SelectedInstance>
    where
        R: Rng + ?Sized,
    {
        let keys = self.by_service.get(service)?;
        let speed = self.speeds.get(service);
        let speed = speed.filter(|speed| speed.is_uneven(now));
        if let Some(speed) = speed.filter(|_| keys.len() > MAX_COMPARED)
            && let Some(key) = self.select_drawn(keys, tried, speed, now, rng)
        {
            return Some(self.selected(key));
        }
        let mut best: Option<(bool, f64, InstanceKey)> = None;
        for key in keys {
            let member = &self.members[*key];
            if !member.member_state.accepts_requests() || tried.contains(key) {
                continue;
            }
            let avoided = member.stats.is_avoided(now);
            let score = self.score(*key, speed, now) * self.jitter_factor(rng);
            let better = best
                .is_none_or(|(other_avoided, other, _)| (avoided, score) < (other_avoided, other));
            if better {
                best = Some((avoided, score, *key));
            }
        }
        best.map(|(_, _, key)| self.selected(key))
    }

    /// Selects the better of two instances that are drawn at random. Two are drawn from the node's own failure domain and
    /// two from the others, so that the penalty for other domains applies as in a comparison of all. Returns `None` if
    /// every instance is avoided, stopping or in `tried`.
    fn select_drawn<R>(
        &self,
        keys: &[InstanceKey],
        tried: &[InstanceKey],
        speed: &InstanceSpeed,
        now: Instant,
        rng: &mut R,
    ) -> Option<InstanceKey>
    where
        R: Rng + ?Sized,
    {
        let mut best: Option<(f64, InstanceKey)> = None;
        for near in [true, false] {
            let usable = keys.iter().copied().filter(|key| {
                let member = &self.members[*key];
                self.is_near(member) == near
                    && member.member_state.accepts_requests()
                    && !member.stats.is_avoided(now)
                    && !member.stats.is_stopping(now)
                    && !tried.contains(key)
            });
            let Some(first) = self.draw(usable.clone(), speed, now, rng) else {
                continue;
            };
            let others = usable.filter(|key| *key != first);
            let second = self.draw(others, speed, now, rng);
            // An instance without a load report would win each comparison at every node. It is used as often as it is
            // drawn first, which is the share of an average instance.
            let is_load_reported = |key: &InstanceKey| self.members[*key].stats.is_load_reported();
            let second = second.filter(|key| is_load_reported(&first) && is_load_reported(key));
            for key in [Some(first), second].into_iter().flatten() {
                let score = self.score(key, Some(speed), now) * self.jitter_factor(rng);
                if best.is_none_or(|(other, _)| score < other) {
                    best = Some((score, key));
                }
            }
        }
        best.map(|(_, key)| key)
    }

    /// Draws one of the candidates at random, weighted by its slots divided by its slowness.
    fn draw<C, R>(
        &self,
        candidates: C,
        speed: &InstanceSpeed,
        now: Instant,
        rng: &mut R,
    ) -> Option<InstanceKey>
    where
        C: Iterator<Item = InstanceKey>,
        R: Rng + ?Sized,
    {
        let mut drawn = None;
        let mut total = 0.0;
        for key in candidates {
            let member = &self.members[key];
            let unreported = match now < member.warm_up_until {
                true => self.cfg.cold_factor,
                false => 1.0,
            };
            let slowness = speed.slowness(key, now).unwrap_or(unreported);
            let weight = f64::from(member.instance.slots.max(1)) / slowness;
            total += weight;
            if rng.random::<f64>() * total < weight {
                drawn = Some(key);
            }
        }
        drawn
    }

    /// Whether the far penalty does not apply to an instance.
    fn is_near(&self, member: &Member) -> bool {
        self.cfg.far_penalty == 0.0 || member.instance.domain == self.cfg.domain
    }

    /// Random factor on a score.
    fn jitter_factor<R>(&self, rng: &mut R) -> f64
    where
        R: Rng + ?Sized,
    {
        1.0 + self.cfg.jitter * rng.random::<f64>()
    }

    /// Selects an instance by rendezvous hashing, except those in `tried`. All nodes select the same one for a
    /// fingerprint, so that copies of a request arrive at the same host.
    pub fn select_by_hash(
        &self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        tried: &[InstanceKey],
        now: Instant,
    ) -> Option<SelectedInstance> {
        let keys = self.by_service.get(service)?.iter();
        let free = keys.filter(|key| {
            self.members[**key].member_state.accepts_requests() && !tried.contains(key)
        });
        let best = free.min_by_key(|key| {
            let member = &self.members[**key];
            let mut hasher = FastHasher::default();
            (fingerprint, &member.instance.id).hash(&mut hasher);
            (member.stats.is_avoided(now), hasher.finish())
        });
        best.map(|key| self.selected(*key))
    }

    fn score(&self, key: InstanceKey, speed: Option<&InstanceSpeed>, now: Instant) -> f64 {
        let member = &self.members[key];
        let slowness = speed.and_then(|speed| speed.slowness(key, now));
        let mut score = member.stats.score(member.instance.slots, slowness, now);
        if member.instance.domain != self.cfg.domain {
            score += self.cfg.far_penalty;
        }
        if slowness.is_none() && now < member.warm_up_until {
            score *= self.cfg.cold_factor;
        }
        score
    }

    fn selected(&self, key: InstanceKey) -> SelectedInstance {
        let instance = &self.members[key].instance;
        SelectedInstance {
            key,
            id: instance.id.clone(),
            address: instance.address,
        }
    }
}
