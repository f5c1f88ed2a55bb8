//! Query strings of the form `a=1&b=2`.

/// A query string; names and values are taken as they stand, without decoding.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// The query of a URI, empty where it has none.
    pub fn of(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or_default())
    }

    /// The first value under `name`.
    pub fn get(self, name: &str) -> Option<&'a str> {
        self.0
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The first value under `name` as a number, 0 where it is missing; `None` where it isn't a number.
    pub fn number(self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(value) => value.parse().ok(),
            None => Some(0),
        }
    }
}
