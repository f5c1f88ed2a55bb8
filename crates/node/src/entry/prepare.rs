//! Classifies a call by the document of its service.

use std::time::Instant;

use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::Try;
use smol_str::SmolStr;

use super::{Budget, EntryService, Inbound, Origin};
use crate::data::{AttemptId, Call, OnceCall};
use crate::http::{end_to_end, names};
use crate::spread::DocumentInForce;

/// A call with everything that decides how it is sent.
pub(super) struct Prepared {
    pub(super) call: Call,
    pub(super) budget: Budget,
    pub(super) once: Option<OnceCall>,
}

impl EntryService {
    pub(super) fn prepare(
        &self,
        inbound: &Inbound,
        origin: &Origin,
        request: RequestId,
        started: Instant,
    ) -> Result<Prepared, ErrorKind> {
        let DocumentInForce { revision, document } = self.document(&inbound.service)?;
        let profile = document.profile(inbound.method.as_str(), &inbound.path);
        let limit = inbound
            .time_limit()?
            .unwrap_or(profile.deadline)
            .min(profile.deadline);
        let class = origin.class(profile.class, profile.class_name);
        let once = self.once(inbound, profile.idempotent)?;
        let call = Call {
            request,
            attempt: AttemptId(0),
            sending: 0,
            service: inbound.service.clone(),
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: end_to_end(&inbound.headers),
            class: class.class,
            class_name: class.name,
            operation: operation_name(profile.operation),
            deadline: origin.deadline(started + limit),
            allowance: 0,
            depth: origin.depth(),
            idempotent: profile.idempotent,
            revision,
            once: None,
            body: inbound.body.clone(),
        };
        let budget = match origin {
            Origin::Flight(parent) if self.limits.allowance_enabled => {
                Budget::Flight(self.gate.clone(), parent.key)
            }
            _ => Budget::Own(Allowance::new(document.retry_allowance)),
        };
        Ok(Prepared { call, budget, once })
    }

    pub(super) fn document(&self, service: &ServiceName) -> Result<DocumentInForce, ErrorKind> {
        let published = self.published.borrow();
        if published.documents.is_empty() {
            return Err(ErrorKind::NotReady);
        }
        published
            .documents
            .get(service)
            .cloned()
            .ok_or(ErrorKind::UnknownService)
    }

    fn once(&self, inbound: &Inbound, idempotent: bool) -> Result<Option<OnceCall>, ErrorKind> {
        let number = inbound.number()?;
        if let Some(text) = inbound.text(&names::TOKEN)? {
            let token = self.tokens.open(text, &inbound.service)?;
            let number = number.unwrap_or(Try::FIRST);
            return Ok(Some(OnceCall { token, number }));
        }
        let keyed = inbound.headers.contains_key(names::IDEMPOTENCY_KEY);
        if keyed && !idempotent {
            return Err(ErrorKind::TokenRequired);
        }
        Ok(None)
    }
}

/// The name by which levels of an operation's subtree are kept; bounded by the document, since callers choose paths freely.
fn operation_name(operation: Option<u16>) -> SmolStr {
    match operation {
        Some(position) => SmolStr::from(position.to_string()),
        None => SmolStr::new_static("other"),
    }
}
