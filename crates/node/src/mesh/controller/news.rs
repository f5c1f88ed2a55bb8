//! News of the publisher, and what the node shows of its beliefs.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::collections::Set;
use coltsfootport_core::mesh::{
    EntryFault, GoneEffect, Instance, MeshConfig, PutEffect, ReadersConfig, ReadersView, Update,
    UpdateBatch,
};
use coltsfootport_core::workspace::Directory;
use slog::{info, warn};
use smol_str::SmolStr;

use super::Controller;

/// Smallest move of the own level that is logged.
const LOGGED_LEVEL_STEP: f64 = 0.5;

impl Controller {
    /// Takes in changes in their order.
    pub(super) fn news(&mut self, batch: UpdateBatch) {
        self.publisher_answered();
        self.log_faults(&batch);
        for update in batch.updates {
            self.apply(update);
        }
        self.after_news();
    }

    /// Takes in everything published: instances that it lacks have been removed meanwhile, unless it is an older copy.
    pub(super) fn listed(&mut self, batch: UpdateBatch) {
        let era = batch.position.era;
        self.publisher_answered();
        self.log_faults(&batch);
        let mut instances = Vec::new();
        for update in batch.updates {
            match update {
                Update::Instance(instance) => instances.extend(self.named(instance)),
                other => self.apply(other),
            }
        }
        let now = self.clock.now();
        let came_back = self.era.is_some_and(|known| known < era);
        self.era = Some(era);
        let ended = match came_back {
            true => self.fleet.restore(instances, now),
            false => self.fleet.replace_all(instances, now),
        };
        for id in ended {
            self.ended(id, "not listed");
        }
        self.after_news();
    }

    /// The publisher answers.
    pub(super) fn publisher_answered(&mut self) {
        let now = self.clock.now();
        if !self.publisher_sound {
            info!(self.journal.log(), "publisher answers"; "away_ms" => self.publisher_age_ms(now));
        }
        self.publisher_sound = true;
        self.publisher_answered = Some(now);
        self.fleet.publisher_back(now);
    }

    /// The publisher does not answer as it should.
    pub(super) fn publisher_failed(&mut self) {
        if self.publisher_sound {
            warn!(self.journal.log(), "publisher lost"; "age_ms" => self.publisher_age_ms(self.clock.now()));
        }
        self.publisher_sound = false;
        self.fleet.publisher_lost();
    }

    /// The fleet as far as the reading of the publisher is concerned.
    pub(super) fn readers_view(&self, cfg: &ReadersConfig) -> ReadersView {
        self.fleet.readers_view(self.cfg.target.ip(), cfg)
    }

    /// Shows beliefs as metrics, and moves of the own level in the log.
    pub(super) fn show(&mut self, now: Instant) {
        let level = self.gate.level();
        if (level - self.logged_level).abs() >= LOGGED_LEVEL_STEP {
            info!(self.journal.log(), "level moved"; "level" => level, "was" => self.logged_level, "load" => self.gate.load(),
                "running" => self.gate.running(), "waiting" => self.gate.waiting());
            self.logged_level = level;
        }
        self.metrics.level.set(level);
        self.metrics.running.set(i64::from(self.gate.running()));
        self.metrics.waiting.set(self.gate.waiting() as i64);
        self.metrics.instances.set(self.fleet.len() as i64);
        self.metrics
            .publisher_age_ms
            .set(self.publisher_age_ms(now) as i64);
    }

    /// The own instance, where this node does not hear the publisher. Its entry may lapse although it works, and the nodes
    /// that hear the publisher must know.
    pub(super) fn own_cut_off(&self) -> Option<SmolStr> {
        match self.publisher_sound {
            true => None,
            false => Some(self.fleet.at_address(self.cfg.target)?.id.clone()),
        }
    }

    /// Another node has said that it is cut off from the publisher; `id` is the instance beside it.
    pub(super) fn hear_cut_off(&mut self, id: &SmolStr, now: Instant) {
        if self.fleet.host_cut_off(id, now) {
            info!(self.journal.log(), "instance used again"; "instance" => id.as_str(),
                "reason" => "its node is cut off from the publisher");
        }
    }

    fn apply(&mut self, update: Update) {
        match update {
            Update::Config(config) => self.apply_config(config),
            Update::Instance(instance) => {
                if let Some(instance) = self.named(instance) {
                    self.apply_instance(instance);
                }
            }
            Update::InstanceGone(id) => {
                self.entries.forget(&id);
                self.apply_gone(id);
            }
            Update::BadEntry { id, fault, detail } => self.bad_entry(&id, fault, &detail),
        }
    }

    /// The instance of an entry, unless its service is none that the configuration in force names: then the entry is of
    /// another writer, and kept only until a configuration names the service. Let in, it could take the address of a working
    /// instance from it.
    fn named(&mut self, instance: Instance) -> Option<Instance> {
        let config = self.config.as_ref();
        if config.is_none_or(|config| config.names(&instance.service)) {
            self.entries.forget(&instance.id);
            return Some(instance);
        }
        let id = instance.id.clone();
        let detail = format!("the service is `{}`", instance.service);
        self.entries.keep(instance);
        self.bad_entry(&id, EntryFault::Service, &detail);
        None
    }

    /// An entry names no instance: nobody is used by its id until it is written well again.
    fn bad_entry(&mut self, id: &SmolStr, fault: EntryFault, detail: &str) {
        if !self.entries.turned_bad(id, fault) {
            return;
        }
        self.metrics.entry_fault(fault);
        let was_used = self.fleet.unnamed(id);
        warn!(self.journal.log(), "entry names no instance"; "entry" => id.as_str(),
            "reason" => fault.as_str(), "detail" => detail, "was_used" => was_used);
    }

    /// Takes a configuration into force unless it is older than the one in force: the publisher's answers can be stale,
    /// and a request handled by a route that was removed would be seen as a step back.
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
        self.forget_old_routes(&config);
        self.limits.send_replace(config.limits());
        self.gate.set_ranks(config.last_shed_order() + 1);
        let kept = self.entries.take_named(&config);
        self.config = Some(config);
        self.forget_old_workspaces();
        for instance in kept {
            self.apply_instance(instance);
        }
    }

    /// Shares of a split begin anew where its weights have changed, and nothing is kept of routes that are gone.
    fn forget_old_routes(&mut self, new: &MeshConfig) {
        let names: Set<&SmolStr> = new.routes().iter().map(|route| &route.name).collect();
        let old = self.config.clone();
        let same_parts = |name: &SmolStr| {
            let find = |config: &MeshConfig| {
                let route = config.routes().iter().find(|route| route.name == *name)?;
                Some(route.parts.clone())
            };
            old.as_deref().and_then(find) == find(new)
        };
        self.splits.retain(|name, _| same_parts(name));
        self.stats.retain(|name, _| names.contains(name));
        self.shedder.retain(|name| names.contains(name));
    }

    fn apply_instance(&mut self, instance: Instance) {
        let now = self.clock.now();
        let id = instance.id.clone();
        let service = instance.service.clone();
        let leaving = instance.leaving;
        let effect = self.fleet.put(instance, now);
        if effect == PutEffect::Same {
            return;
        }
        info!(self.journal.log(), "instance seen"; "instance" => id.as_str(),
            "of_service" => service.as_str(), "leaving" => leaving, "restarted" => effect == PutEffect::Restarted);
        if let PutEffect::Superseded(older) = effect {
            self.ended(older, "superseded");
        }
    }

    fn apply_gone(&mut self, id: SmolStr) {
        match self.fleet.gone(&id, self.clock.now()) {
            GoneEffect::Gone => self.ended(id, "removed"),
            GoneEffect::Held => {
                info!(self.journal.log(), "instance lapsed"; "instance" => id.as_str());
            }
            // Its end is known already: its successor has its address.
            GoneEffect::Unknown => {}
        }
    }

    /// Takes in that an instance has ended, and why it is believed.
    pub(super) fn ended(&mut self, id: SmolStr, reason: &str) {
        info!(self.journal.log(), "instance gone"; "instance" => id.as_str(), "reason" => reason);
        self.note_gone(id);
    }

    fn after_news(&mut self) {
        self.budget.set_nodes(self.fleet.len());
        self.refresh_quota_homes();
        if let Some(own) = self.fleet.at_address(self.cfg.target) {
            self.gate.set_slots(own.slots);
        }
        self.flush_waiters();
        let now = self.clock.now();
        self.pump(now);
    }

    fn log_faults(&self, batch: &UpdateBatch) {
        for fault in &batch.faults {
            self.metrics.config_faults.inc();
            warn!(self.journal.log(), "configuration refused, the last good one stays"; "fault" => fault);
        }
    }

    pub(super) fn publisher_age_ms(&self, now: Instant) -> u64 {
        let age = self
            .publisher_answered
            .map(|at| now.saturating_duration_since(at));
        age.map_or(0, |age| age.as_millis() as u64)
    }
}
