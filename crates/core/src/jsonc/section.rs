//! One object of a text, read key by key.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use jsonc_parser::ast::{Object, ObjectProp, ObjectPropName};
use jsonc_parser::common::Ranged;

use crate::collections::Set;

use super::{FaultKind, Faults, Item, Need, Place, nearest};

/// An object that remembers which keys were asked for, so that all others can be reported.
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

    /// The value of a key that may be absent.
    pub fn optional(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        self.item(key, Need::Optional)
    }

    /// The value of a key that may be absent, but for which nothing can serve where it is wrong.
    pub fn optional_strict(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        match self.object.get(key) {
            Some(_) => self.item(key, Need::Required),
            None => self.item(key, Need::Optional),
        }
    }

    /// The value of a key that must be given; its absence is a fault.
    pub fn required(&mut self, key: &'static str) -> Option<Item<'t, '_>> {
        self.item(key, Need::Required)
    }

    /// A whole number of a range, or the default where it is absent or wrong.
    pub fn integer<T>(&mut self, key: &'static str, range: RangeInclusive<T>, default: T) -> T
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        self.optional(key)
            .and_then(|item| item.integer(range))
            .unwrap_or(default)
    }

    /// A number of a range, or the default where it is absent or wrong.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.optional(key)
            .and_then(|item| item.number(range))
            .unwrap_or(default)
    }

    /// `true` or `false`, or the default where it is absent or wrong.
    pub fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        self.optional(key)
            .and_then(Item::boolean)
            .unwrap_or(default)
    }

    /// Whole milliseconds of a range, or the default where they are absent or wrong.
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

    /// One of a closed set of words, or the default where it is absent or wrong.
    pub fn choice<T>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T
    where
        T: Copy,
    {
        self.optional(key)
            .and_then(|item| item.choice(choices))
            .unwrap_or(default)
    }

    /// Reads the object under `key`, or the default where it is absent or no object.
    pub fn section<T, F>(&mut self, key: &'static str, read: F) -> T
    where
        T: Default,
        F: FnOnce(Section<'t, '_>) -> T,
    {
        let section = self.optional(key).and_then(Item::section);
        section.map(read).unwrap_or_default()
    }

    /// Records a fault about the value of `key`, or about the object where the key is absent.
    pub fn fault<M>(&mut self, key: &str, need: Need, kind: FaultKind, message: M)
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
        self.faults.mark(need);
    }

    /// Records a fault at a place that was read before.
    pub fn fault_at<M>(&mut self, place: &Place, kind: FaultKind, message: M)
    where
        M: Into<String>,
    {
        self.faults.push(place.offset, &place.path, kind, message);
    }

    /// Reports keys that stand twice and keys that nothing asked for.
    ///
    /// To be called when every known key has been read.
    pub fn finish(self) {
        let mut seen = Set::default();
        for property in &self.object.properties {
            let key = property.name.as_str();
            let path = join(&self.path, key);
            let offset = name_offset(property);
            if !self.known.contains(&key) {
                let near = if self.faults.is_full() {
                    None
                } else {
                    nearest(key, &self.known)
                };
                let (kind, hint) = (FaultKind::UnknownKey, near.map(str::to_owned));
                self.faults
                    .push_with_hint(offset, &path, kind, "unknown key", hint);
            }
            if !seen.insert(key) {
                let message = "the key stands twice in this object; the first one counts";
                self.faults
                    .push(offset, &path, FaultKind::DuplicateKey, message);
            }
        }
    }

    fn item(&mut self, key: &'static str, need: Need) -> Option<Item<'t, '_>> {
        self.known.push(key);
        let path = join(&self.path, key);
        let Some(property) = self.object.get(key) else {
            self.report_absent(&path, need);
            return None;
        };
        Some(Item::new(&property.value, path, need, self.faults))
    }

    fn report_absent(&mut self, path: &str, need: Need) {
        if need == Need::Required {
            let message = "this key must be given";
            self.faults
                .push(self.object.range.start, path, FaultKind::Missing, message);
            self.faults.mark(need);
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
