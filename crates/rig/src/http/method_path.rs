//! Request method and path, written as `METHOD /service/path`.

use std::fmt;
use std::str::FromStr;

use http::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::RigError;

/// Request method and path, as written in settings and on the command line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MethodPath {
    /// Request method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: SmolStr,
}

impl FromStr for MethodPath {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let malformed = || RigError::Settings(format!("{s:?} is not of the form METHOD /path"));
        let (method, path) = s.trim().split_once(' ').ok_or_else(malformed)?;
        let method = method.parse().map_err(|_| malformed())?;
        let path = path.trim();
        if !path.starts_with('/') || path.contains(char::is_whitespace) {
            return Err(malformed());
        }
        Ok(Self {
            method,
            path: path.into(),
        })
    }
}

impl TryFrom<String> for MethodPath {
    type Error = RigError;

    fn try_from(s: String) -> Result<Self, RigError> {
        s.parse()
    }
}

impl From<MethodPath> for String {
    fn from(call: MethodPath) -> Self {
        call.to_string()
    }
}

impl fmt::Display for MethodPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}
