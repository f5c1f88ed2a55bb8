//! Slowness of instances, from the service times that their hosts report.

use std::time::{Duration, Instant};

use super::{Fleet, InstanceKey};
use crate::mesh::{InstanceSpeed, RequestKind, SlownessChange};

/// Slowness above which an instance is reported as slow.
const SLOW: f64 = 1.5;

/// Slowness below which a slow instance is reported as recovered.
const RECOVERED: f64 = 1.2;

impl Fleet {
    /// Records the mean service time of a kind of request that the host of an instance reported; zero is unknown.
    pub fn service_time_reported(
        &mut self,
        key: InstanceKey,
        kind: RequestKind,
        service_time: Duration,
        now: Instant,
    ) {
        if !self.cfg.reported_speed || service_time.is_zero() {
            return;
        }
        // The instance may have been removed in the meantime.
        let Some(member) = self.members.get(key) else {
            return;
        };
        let service = &member.instance.service;
        if !self.speeds.contains_key(service) {
            self.speeds
                .insert(service.clone(), InstanceSpeed::default());
        }
        if let Some(speed) = self.speeds.get_mut(service) {
            let instances = self.by_service.get(service).map_or(0, Vec::len);
            speed.record(key, kind, service_time, instances, now);
        }
    }

    /// Slowness of an instance relative to the median instance of its service, as reported by the hosts; 1 if unknown.
    pub fn slowness(&self, key: InstanceKey, now: Instant) -> f64 {
        let speed = self
            .members
            .get(key)
            .and_then(|member| self.speeds.get(&member.instance.service));
        speed
            .and_then(|speed| speed.slowness(key, now))
            .unwrap_or(1.0)
    }

    /// Returns the instances whose slowness has risen above 1.5 since the last call, or has fallen below 1.2 after that.
    pub fn slowness_changes(&mut self, now: Instant) -> Vec<SlownessChange> {
        let mut changes = Vec::new();
        for (key, member) in &mut self.members {
            let Some(speed) = self.speeds.get(&member.instance.service) else {
                continue;
            };
            let slowness = speed.slowness(key, now).unwrap_or(1.0);
            let is_slow = match member.is_slow {
                true => slowness >= RECOVERED,
                false => slowness > SLOW,
            };
            if is_slow != member.is_slow {
                member.is_slow = is_slow;
                changes.push(SlownessChange {
                    id: member.instance.id.clone(),
                    is_slow,
                    slowness,
                });
            }
        }
        changes
    }
}
