//! Heads of requests and answers.

use bytes::{Buf, BytesMut};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use smol_str::SmolStr;

use super::H1Error;

/// Header lines of one head at most.
const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query as they were sent.
    pub target: SmolStr,
    /// Header lines.
    pub headers: HeaderMap,
    /// Whether the sender can take further answers on this connection.
    pub keep_alive: bool,
    /// Whether the sender understands chunks.
    pub takes_chunks: bool,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Header lines.
    pub headers: HeaderMap,
    /// Whether the sender takes further requests on this connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// The path without its query.
    pub fn path(&self) -> &str {
        match self.target.split_once('?') {
            Some((path, _)) => path,
            None => &self.target,
        }
    }
}

/// Takes a request's head from the front of `buf`; `None` where it has not arrived whole.
///
/// # Errors
///
/// The bytes are no head, or one of more than `max` bytes.
pub fn parse_request(buf: &mut BytesMut, max: usize) -> Result<Option<RequestHead>, H1Error> {
    skip_blank_lines(buf);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let size = match parsed.parse(buf).map_err(parse_error)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return partial(buf, max),
    };
    if size > max {
        return Err(H1Error::HeadTooLarge);
    }
    let method = parsed.method.ok_or(H1Error::Head)?;
    let target = parsed.path.ok_or(H1Error::Head)?;
    let newest = parsed.version == Some(1);
    let headers = header_map(parsed.headers)?;
    let head = RequestHead {
        method: Method::from_bytes(method.as_bytes()).map_err(|_| H1Error::Head)?,
        target: SmolStr::new(target),
        keep_alive: keeps_alive(&headers, newest),
        takes_chunks: newest,
        headers,
    };
    buf.advance(size);
    Ok(Some(head))
}

/// Takes an answer's head from the front of `buf`; `None` where it has not arrived whole.
///
/// # Errors
///
/// The bytes are no head, or one of more than `max` bytes.
pub fn parse_answer(buf: &mut BytesMut, max: usize) -> Result<Option<AnswerHead>, H1Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let size = match parsed.parse(buf).map_err(parse_error)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return partial(buf, max),
    };
    if size > max {
        return Err(H1Error::HeadTooLarge);
    }
    let status = parsed.code.ok_or(H1Error::Head)?;
    let newest = parsed.version == Some(1);
    let headers = header_map(parsed.headers)?;
    let head = AnswerHead {
        status: StatusCode::from_u16(status).map_err(|_| H1Error::Head)?,
        keep_alive: keeps_alive(&headers, newest),
        headers,
    };
    buf.advance(size);
    Ok(Some(head))
}

/// Callers may send a blank line after a body; it belongs to no request.
fn skip_blank_lines(buf: &mut BytesMut) {
    while buf.first().is_some_and(|b| *b == b'\r' || *b == b'\n') {
        buf.advance(1);
    }
}

fn partial<T>(buf: &BytesMut, max: usize) -> Result<Option<T>, H1Error> {
    match buf.len() > max {
        true => Err(H1Error::HeadTooLarge),
        false => Ok(None),
    }
}

fn parse_error(e: httparse::Error) -> H1Error {
    match e {
        httparse::Error::TooManyHeaders => H1Error::HeadTooLarge,
        _ => H1Error::Head,
    }
}

fn header_map(lines: &[httparse::Header<'_>]) -> Result<HeaderMap, H1Error> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(|_| H1Error::Head)?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_| H1Error::Head)?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn keeps_alive(headers: &HeaderMap, newest: bool) -> bool {
    let mut keep = newest;
    for value in headers.get_all(CONNECTION) {
        for word in value.as_bytes().split(|b| *b == b',') {
            let word = word.trim_ascii();
            if word.eq_ignore_ascii_case(b"close") {
                return false;
            }
            keep |= word.eq_ignore_ascii_case(b"keep-alive");
        }
    }
    keep
}
