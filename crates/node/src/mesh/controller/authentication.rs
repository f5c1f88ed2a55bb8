//! Whose a request from outside is, by the key that it bears.

use std::time::Instant;

use coltsfootport_core::mesh::{self, Claim, MeshConfig, Presented, Route};
use coltsfootport_core::workspace::Workspace;
use http::HeaderValue;

use super::admission::{BACK_NOT_READY, denied};
use super::runs::Runs;
use super::{AdmitAsk, Controller, Credential, Denied};

impl Controller {
    /// The workspace of a request from outside, or its refusal.
    pub(super) fn authenticate<'c>(
        &self,
        config: &'c MeshConfig,
        route: &Route,
        ask: &AdmitAsk,
        now: Instant,
    ) -> Result<Option<&'c Workspace>, Denied> {
        let presented = match &ask.credential {
            Credential::Missing => Presented::Nothing,
            Credential::Key(key) => Presented::Key(key.as_bytes()),
            Credential::Doubled => Presented::Several,
        };
        let claim = Claim {
            presented,
            public: route.public,
            of_unknown_run: Runs::is_id_of_call(&ask.id),
            fresh: self.is_fresh(now),
        };
        mesh::authenticate(config.directory(), &claim).map_err(|refusal| {
            let back = refusal.rule().retry_after.then_some(BACK_NOT_READY);
            denied(refusal, back)
        })
    }

    /// Whether a key is still one of a workspace: a request whose key was taken away meanwhile is not sent once more.
    pub(super) fn still_holds(&self, key: Option<&HeaderValue>) -> bool {
        let directory = self.config.as_ref().and_then(|config| config.directory());
        match (directory, key) {
            (Some(directory), Some(key)) => directory.find_by_key(key.as_bytes()).is_some(),
            _ => true,
        }
    }
}

/// The key by which a request is looked up again before it is sent once more.
pub(super) fn needed_key(ask: &AdmitAsk, needed: bool) -> Option<HeaderValue> {
    match &ask.credential {
        Credential::Key(key) if needed => Some(key.clone()),
        _ => None,
    }
}
