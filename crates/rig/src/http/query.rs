//! Query strings of the form `a=1&b=2`.

/// A query string; names and values are not percent-decoded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Returns the query of a URI, or an empty one.
    pub fn of(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or_default())
    }

    /// Returns the first value of the parameter `name`.
    pub fn get(self, name: &str) -> Option<&'a str> {
        self.0
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Parses the first value of the parameter `name` as a number: 0 if it is missing, `None` if it is not a number.
    pub fn number(self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(value) => value.parse().ok(),
            None => Some(0),
        }
    }
}
