//! `keys`: secrets and certificates as fragments of settings, on standard output only.

mod authority;
mod fragment;

use serde::Serialize;

pub use authority::{Authority, KeyError};
pub use fragment::{AuthorityFragment, FleetFragment, NodeFragment, SecretFragment, TlsFragment};

use crate::cli::{KeysOptions, NodeKeyOptions};
use crate::exit::Exit;

use super::{input, output};

/// Makes the keys and prints them.
pub fn run(options: &KeysOptions) -> Exit {
    let printed = match options {
        KeysOptions::Fleet { id } => print(&FleetFragment::random(*id)),
        KeysOptions::Ca => Authority::random().and_then(|authority| print(&authority.fragment())),
        KeysOptions::Node(options) => node(options).and_then(|fragment| print(&fragment)),
    };
    match printed {
        Ok(exit) => exit,
        Err(fault) => {
            eprintln!("coltsfootport: keys: {fault}");
            Exit::Failed
        }
    }
}

fn node(options: &NodeKeyOptions) -> Result<NodeFragment, KeyError> {
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
        Err(fault) => Ok(output::failed(&fault)),
    }
}
