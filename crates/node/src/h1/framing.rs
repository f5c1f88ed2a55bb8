//! Where a body ends.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

use super::H1Error;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks, the last one empty.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// Framing of a request's body.
///
/// A request with two lengths, or with a length and chunks, could be read differently by the target behind: what one
/// takes for the body the other takes for a further request. Such requests are refused.
///
/// # Errors
///
/// The framing is ambiguous.
pub fn request_framing(headers: &HeaderMap) -> Result<Framing, H1Error> {
    match (chunked(headers)?, length(headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(H1Error::Framing),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Framing of an answer's body.
///
/// # Errors
///
/// The framing is ambiguous.
pub fn answer_framing(
    request: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, H1Error> {
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if request == Method::HEAD || status.is_informational() || bodiless {
        return Ok(Framing::Length(0));
    }
    match (chunked(headers)?, length(headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(H1Error::Framing),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn chunked(headers: &HeaderMap) -> Result<bool, H1Error> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(first) = values.next() else {
        return Ok(false);
    };
    let only = values.next().is_none();
    match only && first.as_bytes().eq_ignore_ascii_case(b"chunked") {
        true => Ok(true),
        false => Err(H1Error::Framing),
    }
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, H1Error> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err(H1Error::Framing);
    }
    let digits = first.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(H1Error::Framing);
    }
    let text = std::str::from_utf8(digits).map_err(|_| H1Error::Framing)?;
    text.parse().map(Some).map_err(|_| H1Error::Framing)
}
