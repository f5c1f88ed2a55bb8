//! `keys`: generates secrets and certificates and prints them as settings fragments, to standard output only.

mod authority;
mod fragment;

use serde::Serialize;

pub use authority::{Authority, KeyError};
pub use fragment::{AuthorityFragment, FleetFragment, NodeFragment, SecretFragment, TlsFragment};

use crate::cli::{KeysOptions, NodeKeyOptions};
use crate::exit::Exit;

use super::{input, output};

/// Generates the requested keys and prints them.
pub fn run(options: &KeysOptions) -> Exit {
    let printed = match options {
        KeysOptions::Fleet { id } => print(&FleetFragment::generate(*id)),
        KeysOptions::Ca => Authority::generate().and_then(|authority| print(&authority.fragment())),
        KeysOptions::Node(options) => issue_node(options).and_then(|fragment| print(&fragment)),
    };
    match printed {
        Ok(exit) => exit,
        Err(err) => {
            eprintln!("coltsfootport: keys: {err}");
            Exit::Failed
        }
    }
}

fn issue_node(options: &NodeKeyOptions) -> Result<NodeFragment, KeyError> {
    let text = input::read(&options.ca)?;
    let authority = Authority::try_from(serde_json::from_slice::<AuthorityFragment>(&text)?)?;
    authority.issue(&options.name, &options.ip)
}

fn print<T>(fragment: &T) -> Result<Exit, KeyError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(fragment)? + "\n";
    match output::write(text.as_bytes()) {
        Ok(()) => Ok(Exit::Ok),
        Err(err) => Ok(output::handle_write_error(&err)),
    }
}
