//! Classification of calls by the document of their service.

use std::time::Instant;

use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::Try;
use smol_str::SmolStr;

use super::{EntryService, InboundCall, Origin, RetryBudget};
use crate::data::{AttemptId, Call, OnceCall};
use crate::http::{end_to_end_headers, names};
use crate::spread::DocumentInForce;

/// Classified call with its retry budget and, if given, its token.
pub(super) struct PreparedCall {
    pub(super) call: Call,
    pub(super) budget: RetryBudget,
    pub(super) once: Option<OnceCall>,
}

impl EntryService {
    pub(super) fn prepare(
        &self,
        inbound: &InboundCall,
        origin: &Origin,
        request: RequestId,
        started: Instant,
    ) -> Result<PreparedCall, ErrorKind> {
        let DocumentInForce { revision, document } = self.document(&inbound.service)?;
        let profile = document.profile(inbound.method.as_str(), &inbound.path);
        let limit = inbound
            .time_limit()?
            .unwrap_or(profile.deadline)
            .min(profile.deadline);
        let class = origin.class(profile.class, profile.class_name);
        let once = self.once_call(inbound, profile.idempotent)?;
        let call = Call {
            request,
            attempt: AttemptId(0),
            attempt_number: 0,
            service: inbound.service.clone(),
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: end_to_end_headers(&inbound.headers),
            class: class.class,
            class_name: class.name,
            operation: operation_key(profile.operation),
            deadline: origin.deadline(started + limit),
            allowance: 0,
            depth: origin.depth(),
            idempotent: profile.idempotent,
            revision,
            once: None,
            body: inbound.body.clone(),
        };
        let budget = match origin {
            Origin::InFlight(parent) if self.limits.allowance_enabled => {
                RetryBudget::InFlight(self.gate.clone(), parent.key)
            }
            _ => RetryBudget::Own(Allowance::new(document.retry_allowance)),
        };
        Ok(PreparedCall { call, budget, once })
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

    fn once_call(
        &self,
        inbound: &InboundCall,
        idempotent: bool,
    ) -> Result<Option<OnceCall>, ErrorKind> {
        let number = inbound.try_number()?;
        if let Some(text) = inbound.single_header(&names::TOKEN)? {
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

/// Returns the key under which the admission level of an operation's subtree is kept.
///
/// The key is the position of the operation in the document rather than the path, since callers could otherwise create
/// any number of keys.
fn operation_key(operation: Option<u16>) -> SmolStr {
    match operation {
        Some(position) => SmolStr::from(position.to_string()),
        None => SmolStr::new_static("other"),
    }
}
