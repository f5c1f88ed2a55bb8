//! Applies updates from the publisher, tracks whether it is reachable, and exposes the controller's state as metrics.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::collections::Set;
use coltsfootport_core::mesh::{
    EntryFault, Instance, MeshConfig, PutEffect, ReadersConfig, ReadersView, RemoveEffect,
    UnknownWord, Update, UpdateBatch,
};
use coltsfootport_core::workspace::Directory;
use slog::{info, warn};
use smol_str::SmolStr;

use super::Controller;

/// Smallest change of the node's own admission level that is logged.
const LOGGED_LEVEL_STEP: f64 = 0.5;

impl Controller {
    /// Applies a batch of changes in order.
    pub(super) fn apply_changes(&mut self, batch: UpdateBatch) {
        self.note_publisher_answer();
        self.log_config_faults(&batch);
        for update in batch.updates {
            self.apply_update(update);
        }
        self.after_updates();
    }

    /// Applies a full listing. Instances missing from it have been removed in the meantime, unless the publisher has
    /// come back from an older copy of its data.
    pub(super) fn apply_listing(&mut self, batch: UpdateBatch) {
        let era = batch.position.era;
        self.note_publisher_answer();
        self.log_config_faults(&batch);
        let mut instances = Vec::new();
        for update in batch.updates {
            match update {
                Update::Instance(instance) => instances.extend(self.check_service(instance)),
                other => self.apply_update(other),
            }
        }
        let now = self.clock.now();
        let is_older_copy = self.era.is_some_and(|known| known < era);
        self.era = Some(era);
        let ended = match is_older_copy {
            true => self.fleet.restore(instances, now),
            false => self.fleet.replace_all(instances, now),
        };
        for id in ended {
            self.note_instance_ended(id, "not listed");
        }
        self.after_updates();
    }

    /// Records that the publisher answered.
    pub(super) fn note_publisher_answer(&mut self) {
        let now = self.clock.now();
        if !self.publisher_healthy {
            info!(self.journal.log(), "publisher answers"; "away_ms" => self.publisher_age_ms(now));
        }
        self.publisher_healthy = true;
        self.publisher_answered = Some(now);
        self.fleet.publisher_recovered(now);
    }

    /// Records that the publisher did not answer, or answered incorrectly.
    pub(super) fn note_publisher_failure(&mut self) {
        if self.publisher_healthy {
            warn!(self.journal.log(), "publisher lost"; "age_ms" => self.publisher_age_ms(self.clock.now()));
        }
        self.publisher_healthy = false;
        self.fleet.publisher_failed();
    }

    /// Returns the part of the fleet's state that decides which nodes read from the publisher.
    pub(super) fn readers_view(&self, cfg: &ReadersConfig) -> ReadersView {
        self.fleet.readers_view(self.cfg.target.ip(), cfg)
    }

    /// Updates the metrics and logs changes of the node's own admission level and of the slowness of instances.
    pub(super) fn update_metrics(&mut self, now: Instant) {
        let level = self.gate.level();
        if (level - self.logged_level).abs() >= LOGGED_LEVEL_STEP {
            info!(self.journal.log(), "level moved"; "level" => level, "was" => self.logged_level, "load" => self.gate.load(),
                "running" => self.gate.running(), "waiting" => self.gate.queued());
            self.logged_level = level;
        }
        self.metrics.level.set(level);
        for change in self.fleet.slowness_changes(now) {
            self.journal.slowness_changed(&change);
        }
        let local = self.fleet.at_address(self.cfg.target);
        let local = local.and_then(|local| self.fleet.key_of(&local.id));
        let slowness = local.map_or(1.0, |key| self.fleet.slowness(key, now));
        self.metrics.slowness.set(slowness);
        self.metrics.running.set(i64::from(self.gate.running()));
        self.metrics.waiting.set(self.gate.queued() as i64);
        self.metrics.instances.set(self.fleet.len() as i64);
        self.metrics
            .publisher_age_ms
            .set(self.publisher_age_ms(now) as i64);
    }

    /// Returns the id of this node's instance if the node is cut off from the publisher. The published entry may then
    /// lapse although the instance works, so nodes that still reach the publisher have to be told.
    pub(super) fn cut_off_instance(&self) -> Option<SmolStr> {
        match self.publisher_healthy {
            true => None,
            false => Some(self.fleet.at_address(self.cfg.target)?.id.clone()),
        }
    }

    /// Records that another node reported itself cut off from the publisher; `id` is that node's local instance.
    pub(super) fn note_cut_off(&mut self, id: &SmolStr, now: Instant) {
        if self.fleet.mark_partitioned_by_id(id, now) {
            info!(self.journal.log(), "instance back in use"; "instance" => id.as_str(),
                "reason" => "its node is cut off from the publisher");
        }
    }

    fn apply_update(&mut self, update: Update) {
        match update {
            Update::Config(config) => self.apply_config(config),
            Update::Instance(instance) => {
                if let Some(instance) = self.check_service(instance) {
                    self.apply_instance(instance);
                }
            }
            Update::InstanceRemoved(id) => {
                self.rejected_entries.remove(&id);
                self.apply_instance_gone(id);
            }
            Update::InvalidEntry { id, fault, detail } => self.reject_entry(&id, fault, &detail),
        }
    }

    /// Returns the instance of a published entry if the configuration in force names its service.
    ///
    /// Otherwise the entry comes from another writer and is set aside until a configuration names the service. Added to
    /// the fleet, it could take over the address of a working instance.
    fn check_service(&mut self, instance: Instance) -> Option<Instance> {
        let config = self.config.as_ref();
        if config.is_none_or(|config| config.has_service(&instance.service)) {
            self.rejected_entries.remove(&instance.id);
            return Some(instance);
        }
        let id = instance.id.clone();
        let detail = format!("the service is `{}`", instance.service);
        self.rejected_entries.hold(instance);
        self.reject_entry(&id, EntryFault::Service, &detail);
        None
    }

    /// Handles an entry that names no instance: no instance with its id is used until a valid entry is published.
    fn reject_entry(&mut self, id: &SmolStr, fault: EntryFault, detail: &str) {
        if !self.rejected_entries.record_fault(id, fault) {
            return;
        }
        self.metrics.entry_fault(fault);
        let was_used = self.fleet.remove_invalid(id);
        warn!(self.journal.log(), "entry names no instance"; "entry" => id.as_str(),
            "reason" => fault.as_str(), "detail" => detail, "was_used" => was_used);
    }

    /// Applies a configuration unless the one in force is at least as new. The publisher's responses can be stale, and
    /// handling a request by a removed route would be a visible step back.
    fn apply_config(&mut self, config: Arc<MeshConfig>) {
        let in_force = self.config.as_ref().map(|config| config.version());
        if in_force >= Some(config.version()) {
            return;
        }
        info!(self.journal.log(), "config in force"; "version" => config.version().0,
            "was" => in_force.map(|version| version.0), "routes" => config.routes().len(),
            "workspaces" => config.directory().map(|known| known.workspaces().len()),
            "keys" => config.directory().map(Directory::key_count), "ranks" => config.last_shed_order() + 1);
        self.metrics
            .config_version
            .set(i64::try_from(config.version().0).unwrap_or(i64::MAX));
        self.note_unknown_words(&config);
        self.prune_routes(&config);
        self.limits.send_replace(config.limits());
        self.gate.set_ranks(config.last_shed_order() + 1);
        let kept = self.rejected_entries.take_named(&config);
        self.config = Some(config);
        self.prune_workspaces();
        for instance in kept {
            self.apply_instance(instance);
        }
    }

    fn note_unknown_words(&self, config: &MeshConfig) {
        let unknown = config.unknown_words();
        for UnknownWord { route, field, word } in unknown {
            warn!(self.journal.log(), "unknown word in configuration, read as the safest known one";
                "version" => config.version().0, "route" => route.as_str(), "field" => field.as_str(),
                "word" => word.as_str());
        }
        let count = i64::try_from(unknown.len()).unwrap_or(i64::MAX);
        self.metrics.config_unknown_words.set(count);
    }

    /// Resets traffic splits whose weights have changed, and drops the state of removed routes.
    fn prune_routes(&mut self, new: &MeshConfig) {
        let names: Set<&SmolStr> = new.routes().iter().map(|route| &route.name).collect();
        let old = self.config.clone();
        let has_same_parts = |name: &SmolStr| {
            let find = |config: &MeshConfig| {
                let route = config.routes().iter().find(|route| route.name == *name)?;
                Some(route.services.clone())
            };
            old.as_deref().and_then(find) == find(new)
        };
        self.splits.retain(|name, _| has_same_parts(name));
        self.route_stats.retain(|name, _| names.contains(name));
        self.shedder.retain(|name| names.contains(name));
        if let Some(cost_shedder) = &mut self.cost_shedder {
            cost_shedder.retain(
                |name| names.contains(name),
                |service| new.has_service(service),
            );
        }
    }

    fn apply_instance(&mut self, instance: Instance) {
        let now = self.clock.now();
        let id = instance.id.clone();
        let service = instance.service.clone();
        let leaving = instance.leaving;
        let effect = self.fleet.put(instance, now);
        if effect == PutEffect::Unchanged {
            return;
        }
        info!(self.journal.log(), "instance seen"; "instance" => id.as_str(),
            "of_service" => service.as_str(), "leaving" => leaving, "restarted" => effect == PutEffect::Restarted);
        if let PutEffect::Superseded(older) = effect {
            self.note_instance_ended(older, "superseded");
        }
    }

    fn apply_instance_gone(&mut self, id: SmolStr) {
        match self.fleet.entry_removed(&id, self.clock.now()) {
            RemoveEffect::Removed => self.note_instance_ended(id, "removed"),
            RemoveEffect::Held => {
                info!(self.journal.log(), "instance lapsed"; "instance" => id.as_str());
            }
            // Its end was recorded when its successor appeared at its address.
            RemoveEffect::Unknown => {}
        }
    }

    /// Records that an instance has ended; `reason` is the evidence for it.
    pub(super) fn note_instance_ended(&mut self, id: SmolStr, reason: &str) {
        info!(self.journal.log(), "instance gone"; "instance" => id.as_str(), "reason" => reason);
        self.remember_removed(id);
    }

    /// Propagates fleet and configuration changes to everything that depends on them.
    fn after_updates(&mut self) {
        self.budget.set_nodes(self.fleet.len());
        self.update_quota_homes();
        if let Some(own) = self.fleet.at_address(self.cfg.target) {
            self.gate.set_slots(own.slots);
        }
        let now = self.clock.now();
        self.note_target_process(now);
        self.refuse_waiters_of_stopped();
        self.start_queued(now);
    }

    fn log_config_faults(&self, batch: &UpdateBatch) {
        for fault in &batch.faults {
            self.metrics.config_faults.inc();
            warn!(self.journal.log(), "configuration refused, the last good one stays"; "fault" => fault);
        }
    }

    /// Returns the time since the publisher's last response in milliseconds, or 0 if it has not answered yet.
    pub(super) fn publisher_age_ms(&self, now: Instant) -> u64 {
        let age = self
            .publisher_answered
            .map(|at| now.saturating_duration_since(at));
        age.map_or(0, |age| age.as_millis() as u64)
    }
}
