//! Normalization of call paths, to match them the way targets interpret them.

/// Returns the non-empty segments of a path.
///
/// Targets commonly treat `//lots` as `/lots`. If empty segments were compared, a caller could reach an operation
/// through a path that no pattern matches, for example to place a bid in the class of plain lookups.
pub(super) fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|segment| !segment.is_empty())
}

/// Strips the query and fragment from a path.
pub(super) fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// Returns whether different targets may interpret a path differently.
///
/// Servers disagree on the resource that `/lots/x/../bids`, `/lots%2Fbids`, `/bids;v=1` and `/lots\bids` refer to. If
/// these were matched literally, a non-idempotent operation could pass for an idempotent one and be sent twice, which
/// would duplicate a bid. Calls with such a path are therefore never considered idempotent.
pub(super) fn is_ambiguous(path: &str) -> bool {
    path.contains([';', '\\']) || segments(path).any(is_ambiguous_segment)
}

fn is_ambiguous_segment(segment: &str) -> bool {
    let has_only_dots = |mut bytes: PercentDecoded<'_>| bytes.all(|byte| byte == b'.');
    let is_delimiter = |byte| matches!(byte, b'/' | b'\\' | b';' | b'%' | b'?' | b'#' | 0);
    let is_encoded = segment.contains('%');
    has_only_dots(percent_decoded(segment))
        || (is_encoded && percent_decoded(segment).any(is_delimiter))
}

/// Percent-decodes a segment without allocating.
pub(super) fn percent_decoded(segment: &str) -> PercentDecoded<'_> {
    PercentDecoded {
        rest: segment.as_bytes(),
    }
}

/// Iterator over the percent-decoded bytes of a segment. Invalid escapes are returned as they are.
pub(super) struct PercentDecoded<'s> {
    rest: &'s [u8],
}

impl Iterator for PercentDecoded<'_> {
    type Item = u8;

    fn next(&mut self) -> Option<u8> {
        let (byte, rest) = match self.rest {
            [b'%', high, low, rest @ ..] => match (hex_digit(*high), hex_digit(*low)) {
                (Some(high), Some(low)) => (high * 16 + low, rest),
                _ => (b'%', &self.rest[1..]),
            },
            [byte, rest @ ..] => (*byte, rest),
            [] => return None,
        };
        self.rest = rest;
        Some(byte)
    }
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte)
        .to_digit(16)
        .and_then(|digit| u8::try_from(digit).ok())
}
