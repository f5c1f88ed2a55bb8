//! Parsing of request and response heads.

use bytes::{Buf, BytesMut};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use smol_str::SmolStr;

use super::H1Error;

/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 100;

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Request target as received, usually path and query.
    pub target: SmolStr,
    /// Header lines.
    pub headers: HeaderMap,
    /// Whether the client keeps the connection open for further requests.
    pub keep_alive: bool,
    /// Whether the client accepts chunked encoding.
    pub takes_chunks: bool,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Header lines.
    pub headers: HeaderMap,
    /// Whether the server accepts further requests on this connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        match self.target.split_once('?') {
            Some((path, _)) => path,
            None => &self.target,
        }
    }
}

/// Parses a request head and removes it from the front of `buf`; returns `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head, or if the head exceeds `max` bytes.
pub fn parse_request(buf: &mut BytesMut, max: usize) -> Result<Option<RequestHead>, H1Error> {
    skip_blank_lines(buf);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let size = match parsed.parse(buf).map_err(parse_error)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return incomplete_head(buf, max),
    };
    if size > max {
        return Err(H1Error::HeadTooLarge);
    }
    let method = parsed.method.ok_or(H1Error::InvalidHead)?;
    let target = parsed.path.ok_or(H1Error::InvalidHead)?;
    let is_http_1_1 = parsed.version == Some(1);
    let headers = header_map(parsed.headers)?;
    let head = RequestHead {
        method: Method::from_bytes(method.as_bytes()).map_err(|_| H1Error::InvalidHead)?,
        target: SmolStr::new(target),
        keep_alive: keeps_alive(&headers, is_http_1_1),
        takes_chunks: is_http_1_1,
        headers,
    };
    buf.advance(size);
    Ok(Some(head))
}

/// Parses a response head and removes it from the front of `buf`; returns `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head, or if the head exceeds `max` bytes.
pub fn parse_response(buf: &mut BytesMut, max: usize) -> Result<Option<ResponseHead>, H1Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let size = match parsed.parse(buf).map_err(parse_error)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return incomplete_head(buf, max),
    };
    if size > max {
        return Err(H1Error::HeadTooLarge);
    }
    let status = parsed.code.ok_or(H1Error::InvalidHead)?;
    let is_http_1_1 = parsed.version == Some(1);
    let headers = header_map(parsed.headers)?;
    let head = ResponseHead {
        status: valid_status(status).ok_or(H1Error::InvalidHead)?,
        keep_alive: keeps_alive(&headers, is_http_1_1),
        headers,
    };
    buf.advance(size);
    Ok(Some(head))
}

/// Returns the status with this code if HTTP defines its class (RFC 9110, section 15). Callers could take another one for
/// anything.
pub fn valid_status(code: u16) -> Option<StatusCode> {
    let status = StatusCode::from_u16(code).ok();
    status.filter(|status| status.as_u16() < 600)
}

/// Removes blank lines before a request line, which some clients send after a body.
fn skip_blank_lines(buf: &mut BytesMut) {
    while buf.first().is_some_and(|b| *b == b'\r' || *b == b'\n') {
        buf.advance(1);
    }
}

fn incomplete_head<T>(buf: &BytesMut, max: usize) -> Result<Option<T>, H1Error> {
    match buf.len() > max {
        true => Err(H1Error::HeadTooLarge),
        false => Ok(None),
    }
}

fn parse_error(e: httparse::Error) -> H1Error {
    match e {
        httparse::Error::TooManyHeaders => H1Error::HeadTooLarge,
        _ => H1Error::InvalidHead,
    }
}

fn header_map(lines: &[httparse::Header<'_>]) -> Result<HeaderMap, H1Error> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name =
            HeaderName::from_bytes(line.name.as_bytes()).map_err(|_| H1Error::InvalidHead)?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_| H1Error::InvalidHead)?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn keeps_alive(headers: &HeaderMap, is_http_1_1: bool) -> bool {
    let mut keep = is_http_1_1;
    for value in headers.get_all(CONNECTION) {
        for token in value.as_bytes().split(|b| *b == b',') {
            let token = token.trim_ascii();
            if token.eq_ignore_ascii_case(b"close") {
                return false;
            }
            keep |= token.eq_ignore_ascii_case(b"keep-alive");
        }
    }
    keep
}
