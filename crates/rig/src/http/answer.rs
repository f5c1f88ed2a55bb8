//! Responses of the stand-ins' HTTP servers.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::http::AnswerBody;

/// Response of a stand-in.
pub type Answer = Response<AnswerBody>;

/// Outcome of handling a request.
pub enum Handled {
    /// Send this response.
    Answer(Answer),
    /// Close the connection without a response.
    Drop,
}

impl From<Answer> for Handled {
    fn from(answer: Answer) -> Self {
        Self::Answer(answer)
    }
}

/// Creates a response with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Answer
where
    T: Serialize,
{
    let Ok(body) = serde_json::to_vec(value) else {
        return text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "answer can't be written as JSON",
        );
    };
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Creates a response with a text body and no content type.
pub fn text(status: StatusCode, body: &str) -> Answer {
    let mut answer = Response::new(AnswerBody::whole(body.to_owned()));
    *answer.status_mut() = status;
    answer
}

/// Creates a response with an empty body.
pub fn empty(status: StatusCode) -> Answer {
    text(status, "")
}

/// Reads a request body of at most `limit` bytes; returns `None` if it is larger or incomplete.
pub async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    let collected = Limited::new(body, limit).collect().await.ok()?;
    Some(collected.to_bytes())
}
