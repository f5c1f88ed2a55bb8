//! Authentication of external requests by API key.

use std::time::Instant;

use coltsfootport_core::mesh::{self, AuthenticationRequest, MeshConfig, PresentedKey, Route};
use coltsfootport_core::workspace::Workspace;
use http::HeaderValue;

use super::admission::{RETRY_AFTER_NOT_READY, denial};
use super::runs::Runs;
use super::{AdmissionRequest, Controller, Credential, Denial};

impl Controller {
    /// Returns the workspace of an external request (`None` if it needs none), or denies the request.
    pub(super) fn authenticate<'c>(
        &self,
        config: &'c MeshConfig,
        route: &Route,
        req: &AdmissionRequest,
        now: Instant,
    ) -> Result<Option<&'c Workspace>, Denial> {
        let presented = match &req.credential {
            Credential::Missing => PresentedKey::Nothing,
            Credential::Key(key) => PresentedKey::Key(key.as_bytes()),
            Credential::Duplicate => PresentedKey::Several,
        };
        let claim = AuthenticationRequest {
            presented,
            public: route.public,
            from_unknown_run: Runs::is_call_id(&req.id),
            directory_fresh: self.is_config_fresh(now),
        };
        mesh::authenticate(config.directory(), &claim).map_err(|refusal| {
            let retry_after = refusal.rule().retry_after.then_some(RETRY_AFTER_NOT_READY);
            denial(refusal, retry_after)
        })
    }

    /// Whether a key still belongs to a workspace. A request whose key was revoked in the meantime is not retried.
    pub(super) fn is_key_valid(&self, key: Option<&HeaderValue>) -> bool {
        let directory = self.config.as_ref().and_then(|config| config.directory());
        match (directory, key) {
            (Some(directory), Some(key)) => directory.find_by_key(key.as_bytes()).is_some(),
            _ => true,
        }
    }
}

/// Returns the key that is checked again before a retry.
pub(super) fn key_for_recheck(req: &AdmissionRequest, needed: bool) -> Option<HeaderValue> {
    match &req.credential {
        Credential::Key(key) if needed => Some(key.clone()),
        _ => None,
    }
}
