//! Route lookup by host name and longest path prefix.

use smol_str::SmolStr;

use crate::collections::Map;
use crate::mesh::{Route, RouteKey};

/// Routes by host name, sorted by descending prefix length.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: Map<SmolStr, Vec<Entry>>,
}

#[derive(Clone, Debug)]
struct Entry {
    prefix: SmolStr,
    key: RouteKey,
}

impl RouteTable {
    /// Builds a table of `routes`.
    pub fn new<'r, I>(routes: I) -> Self
    where
        I: IntoIterator<Item = (RouteKey, &'r Route)>,
    {
        let mut hosts: Map<SmolStr, Vec<Entry>> = Map::default();
        for (key, route) in routes {
            let prefix = route.prefix.clone();
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Entry { prefix, key });
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix that matches `path`, which must not contain a query.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(normalize_host(host).as_str())?,
        };
        entries
            .iter()
            .find(|entry| path.starts_with(entry.prefix.as_str()))
            .map(|entry| entry.key)
    }
}

/// Strips the port and converts to lower case, as in the host names of routes.
fn normalize_host(host: &str) -> SmolStr {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    SmolStr::new(name.to_ascii_lowercase())
}
