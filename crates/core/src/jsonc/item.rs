//! Typed access to a single value.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::{FaultKind, Faults, Location, Presence, Section, formats, nearest};

/// Value of a key or element of a list.
///
/// Methods that consume the item return `None` after reporting a fault if the value is not of the expected form.
#[derive(Debug)]
pub struct Item<'t, 'f> {
    value: &'t Value<'t>,
    path: String,
    presence: Presence,
    faults: &'f mut Faults,
}

impl<'t, 'f> Item<'t, 'f> {
    pub(super) fn new(
        value: &'t Value<'t>,
        path: String,
        presence: Presence,
        faults: &'f mut Faults,
    ) -> Self {
        Self {
            value,
            path,
            presence,
            faults,
        }
    }

    /// Reads a string.
    pub fn text(mut self) -> Option<&'t str> {
        self.as_text()
    }

    /// Reads a string and converts it with `parse`, whose error becomes the message of the fault.
    pub fn parsed<T, F>(mut self, parse: F) -> Option<T>
    where
        F: FnOnce(&'t str) -> Result<T, String>,
    {
        let text = self.as_text()?;
        match parse(text) {
            Ok(value) => Some(value),
            Err(message) => self.reject(FaultKind::Invalid, message),
        }
    }

    /// Reads a name of 1 to 64 letters, digits, `-`, `_` and `.`, which is safe in paths, headers and labels.
    pub fn name(self) -> Option<&'t str> {
        self.parsed(formats::name)
    }

    /// Reads an IP address and port to listen on.
    pub fn address(self) -> Option<SocketAddr> {
        self.parsed(formats::address)
    }

    /// Reads an IP address and port to connect to.
    pub fn peer_address(self) -> Option<SocketAddr> {
        self.parsed(formats::peer_address)
    }

    /// Reads an integer within a range.
    pub fn integer<T>(mut self, range: RangeInclusive<T>) -> Option<T>
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        let Value::NumberLit(literal) = self.value else {
            return self.wrong_type("an integer");
        };
        if !literal.value.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.out_of_range("an integer", &range);
        }
        let number = literal
            .value
            .parse::<u64>()
            .ok()
            .and_then(|number| T::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => self.out_of_range("an integer", &range),
        }
    }

    /// Reads a number within a range.
    pub fn number(mut self, range: RangeInclusive<f64>) -> Option<f64> {
        let Value::NumberLit(literal) = self.value else {
            return self.wrong_type("a number");
        };
        match literal
            .value
            .parse::<f64>()
            .ok()
            .filter(|number| range.contains(number))
        {
            Some(number) => Some(number),
            None => self.out_of_range("a number", &range),
        }
    }

    /// Reads an integer number of milliseconds within a range.
    pub fn millis(self, range: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range).map(Duration::from_millis)
    }

    /// Reads a boolean.
    pub fn boolean(mut self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.wrong_type("true or false"),
        }
    }

    /// Reads one of a fixed set of strings.
    pub fn choice<T>(mut self, choices: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let text = self.as_text()?;
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return Some(*value);
        }
        let known: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.unknown_value(text, &known)
    }

    /// Reads an object.
    pub fn section(mut self) -> Option<Section<'t, 'f>> {
        match self.value {
            Value::Object(object) => Some(Section::new(object, self.path, self.faults)),
            _ => self.wrong_type("an object"),
        }
    }

    /// Reads a list with a limited number of elements. Elements for which `read` returns `None` are skipped.
    pub fn list<T, F>(mut self, lengths: RangeInclusive<usize>, mut read: F) -> Option<Vec<T>>
    where
        F: FnMut(Item<'t, '_>) -> Option<T>,
    {
        let Value::Array(array) = self.value else {
            return self.wrong_type("a list");
        };
        if !lengths.contains(&array.elements.len()) {
            return self.out_of_range("a list with a length", &lengths);
        }
        let mut list = Vec::with_capacity(array.elements.len());
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.path);
            list.extend(read(Item::new(value, path, self.presence, self.faults)));
        }
        Some(list)
    }

    /// Reports a fault of this value and returns `None`.
    pub fn reject<T, M>(&mut self, kind: FaultKind, message: M) -> Option<T>
    where
        M: Into<String>,
    {
        self.faults
            .push(self.value.range().start, &self.path, kind, message);
        self.faults.mark_fatal_if_required(self.presence);
        None
    }

    /// Reports that a string is not one of the known values, suggests the nearest one and returns `None`.
    pub fn unknown_value<T>(&mut self, text: &str, known: &[&str]) -> Option<T> {
        let message = format!("\"{text}\" is not one of {}", known.join(", "));
        let hint = nearest(text, known).map(str::to_owned);
        let offset = self.value.range().start;
        self.faults
            .push_with_hint(offset, &self.path, FaultKind::Invalid, message, hint);
        self.faults.mark_fatal_if_required(self.presence);
        None
    }

    /// Reads a string without consuming the item, for callers that may still reject it.
    pub fn as_text(&mut self) -> Option<&'t str> {
        match self.value {
            Value::StringLit(literal) => Some(&literal.value),
            _ => self.wrong_type("a string"),
        }
    }

    /// Returns the location of this item, for faults that are found after the item was consumed.
    pub fn location(&self) -> Location {
        Location {
            offset: self.value.range().start,
            path: self.path.clone(),
        }
    }

    fn wrong_type<T>(&mut self, expected: &str) -> Option<T> {
        let found = type_name(self.value);
        self.reject(
            FaultKind::WrongType,
            format!("expected {expected}, found {found}"),
        )
    }

    fn out_of_range<T, N>(&mut self, expected: &str, range: &RangeInclusive<N>) -> Option<T>
    where
        N: Display,
    {
        let message = format!(
            "expected {expected} from {} to {}",
            range.start(),
            range.end()
        );
        self.reject(FaultKind::OutOfRange, message)
    }
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
