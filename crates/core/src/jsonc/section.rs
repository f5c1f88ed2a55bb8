//! Typed access to the keys of an object.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use jsonc_parser::ast::{Object, ObjectProp, ObjectPropName};
use jsonc_parser::common::Ranged;

use crate::collections::Set;

use super::{FaultKind, Faults, Item, Location, Presence, nearest};

/// Object that tracks which keys were read, to report all others as unknown.
#[derive(Debug)]
pub struct Section<'t, 'f> {
    object: &'t Object<'t>,
    path: String,
    known: Vec<&'static str>,
    faults: &'f mut Faults,
}

impl<'t, 'f> Section<'t, 'f> {
    pub(super) fn new(object: &'t Object<'t>, path: String, faults: &'f mut Faults) -> Self {
        Self {
            object,
            path,
            known: Vec::new(),
            faults,
        }
    }

    /// Returns the value of an optional key.
    pub fn optional(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        self.item(key, Presence::Optional)
    }

    /// Returns the value of an optional key. If it is present but invalid, the whole text is unusable.
    pub fn optional_strict(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        match self.object.get(key) {
            Some(_) => self.item(key, Presence::Required),
            None => self.item(key, Presence::Optional),
        }
    }

    /// Returns the value of a required key, or reports a fault if it is missing.
    pub fn required(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        self.item(key, Presence::Required)
    }

    /// Reads an integer within a range. Returns the default if it is missing or invalid.
    pub fn integer<T>(&mut self, key: &'static str, range: RangeInclusive<T>, default: T) -> T
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        self.optional(key)
            .and_then(|item| item.integer(range))
            .unwrap_or(default)
    }

    /// Reads a number within a range. Returns the default if it is missing or invalid.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.optional(key)
            .and_then(|item| item.number(range))
            .unwrap_or(default)
    }

    /// Reads a boolean. Returns the default if it is missing or invalid.
    pub fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        self.optional(key)
            .and_then(Item::boolean)
            .unwrap_or(default)
    }

    /// Reads an integer number of milliseconds within a range. Returns the default if it is missing or invalid.
    pub fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        self.optional(key)
            .and_then(|item| item.millis(range))
            .unwrap_or(default)
    }

    /// Reads one of a fixed set of strings. Returns the default if it is missing or invalid.
    pub fn choice<T>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T
    where
        T: Copy,
    {
        self.optional(key)
            .and_then(|item| item.choice(choices))
            .unwrap_or(default)
    }

    /// Reads the object at `key`. Returns the default if it is missing or not an object.
    pub fn section<T, F>(&mut self, key: &'static str, read: F) -> T
    where
        T: Default,
        F: FnOnce(Section<'t, '_>) -> T,
    {
        let section = self.optional(key).and_then(Item::section);
        section.map(read).unwrap_or_default()
    }

    /// Reports a fault at the value of `key`, or at the object if the key is missing.
    pub fn fault<M>(&mut self, key: &str, presence: Presence, kind: FaultKind, message: M)
    where
        M: Into<String>,
    {
        let start = self.object.range.start;
        let offset = self
            .object
            .get(key)
            .map_or(start, |property| property.value.range().start);
        self.faults
            .push(offset, &join(&self.path, key), kind, message);
        self.faults.mark_fatal_if_required(presence);
    }

    /// Reports a fault at the location of a value that was read before.
    pub fn fault_at<M>(&mut self, location: &Location, kind: FaultKind, message: M)
    where
        M: Into<String>,
    {
        self.faults
            .push(location.offset, &location.path, kind, message);
    }

    /// Reports duplicate and unknown keys.
    ///
    /// This must be called after all known keys have been read.
    pub fn finish(self) {
        let mut seen = Set::default();
        for property in &self.object.properties {
            let key = property.name.as_str();
            let path = join(&self.path, key);
            let offset = name_offset(property);
            if !self.known.contains(&key) {
                let suggestion = if self.faults.is_full() {
                    None
                } else {
                    nearest(key, &self.known)
                };
                let (kind, hint) = (FaultKind::UnknownKey, suggestion.map(str::to_owned));
                self.faults
                    .push_with_hint(offset, &path, kind, "unknown key", hint);
            }
            if !seen.insert(key) {
                let message = "duplicate key in this object; the first one is used";
                self.faults
                    .push(offset, &path, FaultKind::DuplicateKey, message);
            }
        }
    }

    fn item(&mut self, key: &'static str, presence: Presence) -> Option<Item<'t, '_>> {
        self.known.push(key);
        let path = join(&self.path, key);
        let Some(property) = self.object.get(key) else {
            self.report_missing(&path, presence);
            return None;
        };
        Some(Item::new(&property.value, path, presence, self.faults))
    }

    fn report_missing(&mut self, path: &str, presence: Presence) {
        if presence == Presence::Required {
            let message = "this key is required";
            self.faults
                .push(self.object.range.start, path, FaultKind::Missing, message);
            self.faults.mark_fatal_if_required(presence);
        }
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    }
}

fn name_offset(property: &ObjectProp<'_>) -> usize {
    match &property.name {
        ObjectPropName::String(name) => name.range.start,
        ObjectPropName::Word(name) => name.range.start,
    }
}
