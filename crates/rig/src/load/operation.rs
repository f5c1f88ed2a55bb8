//! Operations of a load plan, in text form `METHOD /service/path [class=NAME] [weight=N] [body=BYTES] [non-idempotent]`.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::RigError;
use crate::http::MethodPath;

/// Kind of call that the load generator sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Method and `/{service}/{path}`.
    pub call: MethodPath,
    /// Label that groups calls in the report; not sent.
    #[serde(default)]
    pub class: SmolStr,
    /// Relative share of the calls among all operations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether calls carry an idempotency token and attempt numbers.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Length of the request body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

impl Operation {
    /// Creates an idempotent operation without a body and with the default weight.
    pub fn new<C>(call: MethodPath, class: C) -> Self
    where
        C: Into<SmolStr>,
    {
        let class = class.into();
        Self {
            call,
            class,
            weight: default_weight(),
            non_idempotent: false,
            body_bytes: 0,
        }
    }

    /// Returns the service, the first segment of the path.
    pub fn service(&self) -> &str {
        let path = self.call.path.trim_start_matches('/');
        path.split(['/', '?']).next().unwrap_or_default()
    }
}

impl FromStr for Operation {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let malformed = || RigError::Settings(format!("invalid operation {s:?}"));
        let mut words = s.split_whitespace();
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return Err(malformed());
        };
        let mut operation = Self::new(format!("{method} {path}").parse()?, "");
        for word in words {
            match word.split_once('=') {
                Some(("class", class)) => operation.class = class.into(),
                Some(("weight", n)) => operation.weight = n.parse().map_err(|_| malformed())?,
                Some(("body", n)) => operation.body_bytes = n.parse().map_err(|_| malformed())?,
                None if word == "non-idempotent" => operation.non_idempotent = true,
                _ => return Err(malformed()),
            }
        }
        Ok(operation)
    }
}

fn default_weight() -> u32 {
    1
}
