//! Reading the path of a call as a target would.

/// The segments of a path, without empty ones.
///
/// Targets commonly treat `//lots` as `/lots`. Were the empty segment compared, a caller could reach an operation under
/// a path that the document doesn't name, seen as a bid in the class of plain lookups.
pub(super) fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|segment| !segment.is_empty())
}

/// The path without its query.
pub(super) fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// Whether targets differ in what they read from a path.
///
/// `/lots/x/../bids`, `/lots%2Fbids`, `/bids;v=1` and `/lots\bids` name one resource for some servers and another for
/// others. Taken literally, a non-idempotent operation could be sent twice under the name of an idempotent one, seen as
/// a doubled bid. Such calls are therefore never taken as idempotent.
pub(super) fn is_ambiguous(path: &str) -> bool {
    path.contains([';', '\\']) || segments(path).any(is_ambiguous_segment)
}

fn is_ambiguous_segment(segment: &str) -> bool {
    let is_dots = |mut bytes: Decoded<'_>| bytes.all(|byte| byte == b'.');
    let hides_structure = |byte| matches!(byte, b'/' | b'\\' | b';' | b'%' | b'?' | b'#' | 0);
    let is_encoded = segment.contains('%');
    is_dots(decoded(segment)) || (is_encoded && decoded(segment).any(hides_structure))
}

/// The bytes of a segment with its percent-encoding undone, without allocation.
pub(super) fn decoded(segment: &str) -> Decoded<'_> {
    Decoded {
        rest: segment.as_bytes(),
    }
}

/// Iterator over the decoded bytes of a segment.
pub(super) struct Decoded<'s> {
    rest: &'s [u8],
}

impl Iterator for Decoded<'_> {
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
