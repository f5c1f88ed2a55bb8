//! HTTP responses to callers.

use bytes::Bytes;
use coltsfootport_core::outcome::Outcome;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::names;
use crate::data::{Answer, Refused};

/// Body of every response; it is complete before its first byte is sent.
pub type ResponseBody = Full<Bytes>;

/// Creates the response that carries the answer of a target.
pub fn target_response(answer: Answer) -> Response<ResponseBody> {
    let mut res = Response::new(Full::new(answer.body));
    *res.status_mut() = answer.status;
    *res.headers_mut() = answer.headers;
    insert_header(&mut res, names::OUTCOME, Outcome::Ran.as_str());
    if answer.replayed {
        insert_header(&mut res, names::REPLAYED, "true");
    }
    res
}

/// Creates the response for a refusal, as the error table defines it.
pub fn refusal_response(refused: Refused) -> Response<ResponseBody> {
    let rule = refused.kind.rule();
    let text = format!("{}\n", refused.kind.as_str());
    let mut res = Response::new(Full::new(Bytes::from(text)));
    *res.status_mut() =
        StatusCode::from_u16(rule.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    insert_header(&mut res, names::OUTCOME, refused.outcome.as_str());
    insert_header(&mut res, names::ERROR, refused.kind.as_str());
    if rule.retry_after {
        let millis = refused.retry_after.as_millis() as u64;
        insert_header(&mut res, names::RETRY_AFTER_MS, &millis.to_string());
        insert_header(
            &mut res,
            header::RETRY_AFTER,
            &millis.div_ceil(MILLIS_PER_SECOND).to_string(),
        );
    }
    res
}

/// Creates a JSON response of the node itself.
pub fn json_response(text: String) -> Response<ResponseBody> {
    let mut res = Response::new(Full::new(Bytes::from(text)));
    insert_header(&mut res, header::CONTENT_TYPE, "application/json");
    res
}

const MILLIS_PER_SECOND: u64 = 1000;

fn insert_header(res: &mut Response<ResponseBody>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}
