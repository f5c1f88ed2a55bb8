//! The paths that an operation covers.

use smol_str::SmolStr;

use super::path::{decoded, segments};

/// A prefix of paths, by whole segments; `*` stands for any one segment.
///
/// `/lots/*/bids` covers `/lots/7/bids` and `/lots/7/bids/3`, and not `/lots/7/bidsheet`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Segment {
    Any,
    Literal(SmolStr),
}

/// Why a text is no path pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParsePathPatternError {
    /// It is not absolute.
    #[error("a path starts with \"/\"")]
    NotAbsolute,
    /// A segment is empty, so that no path could match it.
    #[error("a path has no empty segments: leave out \"//\" and a \"/\" at the end")]
    EmptySegment,
    /// A segment is `.` or `..`, so that no path could match it.
    #[error("a path has no segments \".\" and \"..\"")]
    DotSegment,
    /// A segment holds `*` besides other characters.
    #[error("\"*\" stands for one whole segment and has no other characters beside it")]
    PartialWildcard,
    /// A segment is written as a named parameter, as routers do, and would be compared literally.
    #[error("a segment that varies is written \"*\", not as a named parameter")]
    NamedParameter,
    /// A segment holds a character that is never compared.
    #[error("a segment is written without \"{0}\"")]
    Character(char),
}

impl PathPattern {
    /// The pattern of a text such as `/lots/*/bids`; `/` covers every path.
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

    /// Number of segments.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Whether the pattern is `/`, which covers every path.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Whether a path is covered; percent-encoded characters are compared decoded.
    pub fn matches(&self, path: &str) -> bool {
        let mut rest = segments(path);
        self.segments
            .iter()
            .all(|segment| rest.next().is_some_and(|text| segment.matches(text)))
    }

    /// Key that sorts patterns from the most specific to the least: more segments first, then literal segments first.
    pub(super) fn rank(&self) -> (std::cmp::Reverse<usize>, Vec<bool>) {
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
            text => match text.chars().find(|c| !is_plain(*c)) {
                Some(c) => Err(ParsePathPatternError::Character(c)),
                None => Ok(Self::Literal(SmolStr::new(text))),
            },
        }
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Literal(literal) => decoded(text).eq(literal.bytes()),
        }
    }
}

/// Whether a character may stand in a pattern; others start a query, an encoding or parameters, or end the path.
fn is_plain(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && !matches!(c, '?' | '#' | '%' | ';' | '\\')
}
