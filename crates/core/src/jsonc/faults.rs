//! Collection of the faults in one text.

use super::{Fault, FaultKind, Presence};

/// Maximum number of faults that are listed. Any further faults are only counted.
///
/// A megabyte of garbled keys has tens of thousands of faults. Computing the position and the nearest key of each would
/// keep every node busy for minutes when such a text is published, and calls would time out on all instances at once.
const MAX_LISTED: usize = 100;

/// Faults found while a text is read, by byte offset.
#[derive(Debug, Default)]
pub struct Faults {
    list: Vec<(usize, Fault)>,
    unlisted: usize,
    fatal: bool,
}

impl Faults {
    /// Adds a fault at a byte offset of the text.
    pub fn push<M>(&mut self, offset: usize, key: &str, kind: FaultKind, message: M)
    where
        M: Into<String>,
    {
        self.push_with_hint(offset, key, kind, message, None);
    }

    /// Adds a fault and suggests `hint`, a known key or value.
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

    /// Marks the text as unusable if a value that is missing or invalid was required.
    pub fn mark_fatal_if_required(&mut self, presence: Presence) {
        self.fatal |= presence == Presence::Required;
    }

    /// Returns whether a required value is missing or invalid.
    pub fn is_fatal(&self) -> bool {
        self.fatal
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns whether any further faults are only counted.
    pub(super) fn is_full(&self) -> bool {
        self.list.len() >= MAX_LISTED
    }

    /// Returns the faults in the order of `text`, with lines and columns. If some are not listed, the last entry counts
    /// them.
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

/// Converts a byte offset to a line and a column, both starting at 1.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
