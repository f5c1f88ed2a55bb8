//! The faults found so far in one text.

use super::{Fault, FaultKind, Need};

/// Most faults that are listed; the rest is counted.
///
/// A megabyte of garbled keys has tens of thousands of faults. Finding the place and the nearest key of each would keep
/// every node busy for minutes on one published text, seen as calls that time out on all instances at once.
const MAX_LISTED: usize = 100;

/// Collects faults by byte offset while a text is read.
#[derive(Debug, Default)]
pub struct Faults {
    list: Vec<(usize, Fault)>,
    unlisted: usize,
    fatal: bool,
}

impl Faults {
    /// Records a fault at a byte offset of the text.
    pub fn push<M>(&mut self, offset: usize, key: &str, kind: FaultKind, message: M)
    where
        M: Into<String>,
    {
        self.push_with_hint(offset, key, kind, message, None);
    }

    /// Records a fault with the nearest known key or value.
    pub fn push_with_hint<M>(
        &mut self,
        offset: usize,
        key: &str,
        kind: FaultKind,
        message: M,
        hint: Option<String>,
    ) where
        M: Into<String>,
    {
        if self.is_full() {
            self.unlisted += 1;
            return;
        }
        let (key, message) = (key.to_owned(), message.into());
        self.list.push((
            offset,
            Fault {
                line: 0,
                column: 0,
                key,
                kind,
                message,
                hint,
            },
        ));
    }

    /// Notes that a value that was needed so is missing or wrong.
    pub fn mark(&mut self, need: Need) {
        self.fatal |= need == Need::Required;
    }

    /// Whether a value without a usable default is missing or wrong.
    pub fn is_fatal(&self) -> bool {
        self.fatal
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether further faults are only counted.
    pub(super) fn is_full(&self) -> bool {
        self.list.len() >= MAX_LISTED
    }

    /// The faults in the order of `text`, with lines and columns; the last one counts those that are not listed.
    pub fn into_list(mut self, text: &str) -> Vec<Fault> {
        self.list.sort_by_key(|(offset, _)| *offset);
        if self.unlisted > 0 {
            let (key, message) = (String::new(), format!("{} further faults", self.unlisted));
            let kind = FaultKind::Unlisted;
            let fault = Fault {
                line: 0,
                column: 0,
                key,
                kind,
                message,
                hint: None,
            };
            self.list.push((text.len(), fault));
        }
        self.list
            .into_iter()
            .map(|(offset, fault)| {
                let (line, column) = position(text, offset);
                Fault {
                    line,
                    column,
                    ..fault
                }
            })
            .collect()
    }
}

/// Line and column, both from 1, of a byte offset.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
