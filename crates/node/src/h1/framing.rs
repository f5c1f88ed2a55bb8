//! Framing of bodies, derived from the headers.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

use super::H1Error;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks and ends with an empty one.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Determines the framing of a request body.
///
/// Requests with two different lengths, or with a length and chunked encoding, are rejected to prevent request
/// smuggling: the target could read them differently and take part of the body for another request.
///
/// # Errors
///
/// Fails if the framing is ambiguous.
pub fn request_framing(headers: &HeaderMap) -> Result<Framing, H1Error> {
    match (chunked(headers)?, length(headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(H1Error::AmbiguousFraming),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Determines the framing of a response body.
///
/// # Errors
///
/// Fails if the framing is ambiguous.
pub fn response_framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, H1Error> {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if method == Method::HEAD || status.is_informational() || has_no_body {
        return Ok(Framing::Length(0));
    }
    match (chunked(headers)?, length(headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(H1Error::AmbiguousFraming),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn chunked(headers: &HeaderMap) -> Result<bool, H1Error> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(first) = values.next() else {
        return Ok(false);
    };
    let is_only_value = values.next().is_none();
    match is_only_value && first.as_bytes().eq_ignore_ascii_case(b"chunked") {
        true => Ok(true),
        false => Err(H1Error::AmbiguousFraming),
    }
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, H1Error> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err(H1Error::AmbiguousFraming);
    }
    let digits = first.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(H1Error::AmbiguousFraming);
    }
    let text = std::str::from_utf8(digits).map_err(|_| H1Error::AmbiguousFraming)?;
    text.parse()
        .map(Some)
        .map_err(|_| H1Error::AmbiguousFraming)
}
