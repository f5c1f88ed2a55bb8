//! One value of a text, read as the type that its key takes.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::{FaultKind, Faults, Need, Place, Section, nearest, words};

/// The value of a key or an element of a list.
///
/// Each reading method consumes the item and answers `None` after it has reported a fault.
#[derive(Debug)]
pub struct Item<'t, 'f> {
    value: &'t Value<'t>,
    path: String,
    need: Need,
    faults: &'f mut Faults,
}

impl<'t, 'f> Item<'t, 'f> {
    pub(super) fn new(
        value: &'t Value<'t>,
        path: String,
        need: Need,
        faults: &'f mut Faults,
    ) -> Self {
        Self {
            value,
            path,
            need,
            faults,
        }
    }

    /// A text.
    pub fn text(mut self) -> Option<&'t str> {
        self.as_text()
    }

    /// A text as `parse` understands it; a fault carries the message of `parse`.
    pub fn parsed<T, F>(mut self, parse: F) -> Option<T>
    where
        F: FnOnce(&'t str) -> Result<T, String>,
    {
        let text = self.as_text()?;
        match parse(text) {
            Ok(value) => Some(value),
            Err(message) => self.refuse(FaultKind::Invalid, message),
        }
    }

    /// A name: 1 to 64 letters, digits, `-`, `_` and `.`, which is safe in paths, headers and labels.
    pub fn name(self) -> Option<&'t str> {
        self.parsed(words::name)
    }

    /// An IP number with a port, to listen at.
    pub fn address(self) -> Option<SocketAddr> {
        self.parsed(words::address)
    }

    /// An IP number with a port, to connect to.
    pub fn peer_address(self) -> Option<SocketAddr> {
        self.parsed(words::peer_address)
    }

    /// A whole number of a range.
    pub fn integer<T>(mut self, range: RangeInclusive<T>) -> Option<T>
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        let Value::NumberLit(literal) = self.value else {
            return self.wrong_type("a whole number");
        };
        if !literal.value.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.out_of_range("a whole number", &range);
        }
        let number = literal
            .value
            .parse::<u64>()
            .ok()
            .and_then(|number| T::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => self.out_of_range("a whole number", &range),
        }
    }

    /// A number of a range.
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

    /// Whole milliseconds of a range.
    pub fn millis(self, range: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range).map(Duration::from_millis)
    }

    /// `true` or `false`.
    pub fn boolean(mut self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.wrong_type("true or false"),
        }
    }

    /// One of a closed set of words.
    pub fn choice<T>(mut self, choices: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let text = self.as_text()?;
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.unknown_word(text, &words)
    }

    /// An object.
    pub fn section(mut self) -> Option<Section<'t, 'f>> {
        match self.value {
            Value::Object(object) => Some(Section::new(object, self.path, self.faults)),
            _ => self.wrong_type("an object"),
        }
    }

    /// A list with a bounded number of elements, read one by one; elements that `read` refuses are left out.
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
            list.extend(read(Item::new(value, path, self.need, self.faults)));
        }
        Some(list)
    }

    /// Records a fault about this value and answers `None`.
    pub fn refuse<T, M>(&mut self, kind: FaultKind, message: M) -> Option<T>
    where
        M: Into<String>,
    {
        self.faults
            .push(self.value.range().start, &self.path, kind, message);
        self.faults.mark(self.need);
        None
    }

    /// Records that a text is none of the known words, with the nearest one, and answers `None`.
    pub fn unknown_word<T>(&mut self, text: &str, words: &[&str]) -> Option<T> {
        let message = format!("\"{text}\" is none of {}", words.join(", "));
        let hint = nearest(text, words).map(str::to_owned);
        let offset = self.value.range().start;
        self.faults
            .push_with_hint(offset, &self.path, FaultKind::Invalid, message, hint);
        self.faults.mark(self.need);
        None
    }

    /// The text of this item without consuming it, for checks that refuse it afterwards.
    pub fn as_text(&mut self) -> Option<&'t str> {
        match self.value {
            Value::StringLit(literal) => Some(&literal.value),
            _ => self.wrong_type("a text"),
        }
    }

    /// The place of this item, for faults that are found when the item is consumed.
    pub fn place(&self) -> Place {
        Place {
            offset: self.value.range().start,
            path: self.path.clone(),
        }
    }

    fn wrong_type<T>(&mut self, expected: &str) -> Option<T> {
        let found = type_name(self.value);
        self.refuse(
            FaultKind::WrongType,
            format!("{expected} is expected, not {found}"),
        )
    }

    fn out_of_range<T, N>(&mut self, what: &str, range: &RangeInclusive<N>) -> Option<T>
    where
        N: Display,
    {
        let message = format!(
            "{what} from {} to {} is expected",
            range.start(),
            range.end()
        );
        self.refuse(FaultKind::OutOfRange, message)
    }
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
