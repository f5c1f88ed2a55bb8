//! HTTP endpoint that issues tokens to callers.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::timeline::Event;
use http::{Method, Request, Response};
use hyper::body::Incoming;

use super::EntryService;
use crate::data::Refused;
use crate::http::{ResponseBody, json_response, refusal_response};

impl EntryService {
    /// Handles `POST /coltsfootport/tokens?service=S&count=N`.
    pub(super) async fn serve_tokens(&self, req: &Request<Incoming>) -> Response<ResponseBody> {
        if req.method() != Method::POST {
            return refusal_response(Refused::from(ErrorKind::BadRequest));
        }
        let query = TokenQuery::parse(req.uri().query().unwrap_or_default());
        let Some(query) = query else {
            return refusal_response(Refused::from(ErrorKind::BadRequest));
        };
        if let Err(kind) = self.document(&query.service) {
            return refusal_response(Refused::from(kind).with_default_retry_after());
        }
        match self.tokens.issue(&query.service, query.count).await {
            Ok(page) => {
                let count = page.tokens.len() as u32;
                let event = Event::TokenMinted {
                    service: query.service,
                    count,
                };
                self.recorder.record(None, event);
                json_response(serde_json::to_string(&page).unwrap_or_default())
            }
            Err(kind) => refusal_response(Refused::from(kind).with_default_retry_after()),
        }
    }
}

struct TokenQuery {
    service: ServiceName,
    count: usize,
}

impl TokenQuery {
    fn parse(query: &str) -> Option<Self> {
        let mut service = None;
        let mut count = 1;
        for pair in query.split('&') {
            match pair.split_once('=')? {
                ("service", name) => service = Some(ServiceName::from(name)),
                ("count", number) => count = number.parse().ok().filter(|count| *count > 0)?,
                _ => return None,
            }
        }
        Some(Self {
            service: service?,
            count,
        })
    }
}
