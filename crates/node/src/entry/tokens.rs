//! Issuing of idempotency tokens.

use std::sync::Arc;

use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::once::{KeyRing, Token};
use coltsfootport_core::routing::RouteResult;
use serde::Serialize;
use smol_str::SmolStr;

use crate::peers::HubHandle;
use crate::routes::{Choice, PickRequest, Route, RoutesHandle};

/// Issues tokens for homes from which this node has received a report.
#[derive(Clone, Debug)]
pub struct TokenIssuer {
    routes: RoutesHandle,
    hub: HubHandle,
    keys: Arc<KeyRing>,
}

/// Response to a request for tokens.
#[derive(Clone, Debug, Serialize)]
pub struct TokenPage {
    /// Sealed tokens, possibly fewer than requested.
    pub tokens: Vec<SmolStr>,
}

/// Maximum number of tokens per request.
pub const MAX_TOKENS: usize = 256;

impl TokenIssuer {
    /// Creates an issuer that seals tokens with the keys of the fleet.
    pub fn new(routes: RoutesHandle, hub: HubHandle, keys: Arc<KeyRing>) -> Self {
        Self { routes, hub, keys }
    }

    /// Opens a sealed token; fails if it was issued for another service.
    pub fn open(&self, text: &str, service: &ServiceName) -> Result<Token, ErrorKind> {
        let token = self.keys.open(text)?;
        if token.service == *service {
            Ok(token)
        } else {
            Err(ErrorKind::BadToken)
        }
    }

    /// Issues up to `count` tokens of a service, distributed over its hosts.
    pub async fn issue(&self, service: &ServiceName, count: usize) -> Result<TokenPage, ErrorKind> {
        let mut tokens = Vec::new();
        for _ in 0..count.min(MAX_TOKENS) {
            match self.issue_one(service).await {
                Some(token) => tokens.push(token),
                None if tokens.is_empty() => return Err(ErrorKind::NoTarget),
                None => break,
            }
        }
        Ok(TokenPage { tokens })
    }

    /// Issues one sealed token of a service.
    pub async fn issue_one(&self, service: &ServiceName) -> Option<SmolStr> {
        for _ in 0..MAX_HOMES_TRIED {
            let Choice::Send(route) = self.routes.pick(pick_request(service)).await else {
                return None;
            };
            if let Some(token) = self.mint(*route, service).await {
                return Some(self.keys.seal(&token));
            }
        }
        None
    }

    /// Mints a token whose home is the host of a route. Connects to the host first if it has not sent a report yet.
    pub async fn mint_at(&self, route: &Route, service: &ServiceName) -> Option<Token> {
        if let Some(token) = self.routes.mint(&route.node, service).await {
            return Some(token);
        }
        self.hub.link(&route.node, route.address).await?;
        self.routes.mint(&route.node, service).await
    }

    async fn mint(&self, route: Route, service: &ServiceName) -> Option<Token> {
        let token = self.mint_at(&route, service).await;
        let result = if token.is_some() {
            RouteResult::Cancelled
        } else {
            RouteResult::Lost
        };
        route.guard.finish(result, None);
        token
    }
}

/// Number of hosts that are tried for one token.
const MAX_HOMES_TRIED: usize = 3;

fn pick_request(service: &ServiceName) -> PickRequest {
    PickRequest {
        service: service.clone(),
        operation: SmolStr::default(),
        class: Class::HIGHEST,
        bucket: 0,
        excluded: Vec::new(),
    }
}
