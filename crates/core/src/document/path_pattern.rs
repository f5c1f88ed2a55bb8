//! Path patterns of operations.

use smol_str::SmolStr;

use super::path::{percent_decoded, segments};

/// Path prefix that is matched by whole segments. `*` matches any single segment.
///
/// `/lots/*/bids` matches `/lots/7/bids` and `/lots/7/bids/3`, but not `/lots/7/bidsheet`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Segment {
    Any,
    Literal(SmolStr),
}

/// Error of parsing a path pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParsePathPatternError {
    /// The pattern doesn't start with `/`.
    #[error("a path must start with \"/\"")]
    NotAbsolute,
    /// A segment is empty, which no path could match.
    #[error("a path must not have empty segments: remove \"//\" and any trailing \"/\"")]
    EmptySegment,
    /// A segment is `.` or `..`, which no path could match.
    #[error("a path must not have \".\" or \"..\" segments")]
    DotSegment,
    /// A segment mixes `*` with other characters.
    #[error("\"*\" must be a whole segment, without other characters")]
    PartialWildcard,
    /// A segment is a named parameter as in HTTP routers, which would be compared literally.
    #[error("a variable segment must be \"*\", not a named parameter")]
    NamedParameter,
    /// A segment contains a character that is never part of a compared segment.
    #[error("a path segment must not contain \"{0}\"")]
    Character(char),
}

impl PathPattern {
    /// Parses a pattern such as `/lots/*/bids`. The pattern `/` matches every path.
    pub fn parse(text: &str) -> Result<Self, ParsePathPatternError> {
        let rest = text
            .strip_prefix('/')
            .ok_or(ParsePathPatternError::NotAbsolute)?;
        if rest.is_empty() {
            return Ok(Self {
                segments: Vec::new(),
            });
        }
        let segments = rest
            .split('/')
            .map(Segment::parse)
            .collect::<Result<_, _>>()?;
        Ok(Self { segments })
    }

    /// Returns the number of segments.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether the pattern is `/`, which matches every path.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Returns whether a path matches. Percent-encoded characters are decoded before the comparison.
    pub fn matches(&self, path: &str) -> bool {
        let mut rest = segments(path);
        self.segments
            .iter()
            .all(|segment| rest.next().is_some_and(|text| segment.matches(text)))
    }

    /// Returns a key that sorts patterns from most to least specific: more segments first, then literal segments first.
    pub(super) fn sort_key(&self) -> (std::cmp::Reverse<usize>, Vec<bool>) {
        let wildcards = self
            .segments
            .iter()
            .map(|segment| *segment == Segment::Any)
            .collect();
        (std::cmp::Reverse(self.segments.len()), wildcards)
    }
}

impl Segment {
    fn parse(text: &str) -> Result<Self, ParsePathPatternError> {
        match text {
            "" => Err(ParsePathPatternError::EmptySegment),
            "." | ".." => Err(ParsePathPatternError::DotSegment),
            "*" => Ok(Self::Any),
            text if text.contains('*') => Err(ParsePathPatternError::PartialWildcard),
            text if text.starts_with([':', '{']) => Err(ParsePathPatternError::NamedParameter),
            text => match text.chars().find(|c| !is_allowed(*c)) {
                Some(c) => Err(ParsePathPatternError::Character(c)),
                None => Ok(Self::Literal(SmolStr::new(text))),
            },
        }
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Literal(literal) => percent_decoded(text).eq(literal.bytes()),
        }
    }
}

/// Returns whether a character may occur in a pattern. Others start a query, escape or parameter, or end the path.
fn is_allowed(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && !matches!(c, '?' | '#' | '%' | ';' | '\\')
}
