//! One line of a node's log.

use serde_json::{Map, Value};

/// A line that names a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, as text that sorts by time.
    pub time: String,
    /// The node.
    pub node: String,
    message: String,
    request: String,
    fields: Map<String, Value>,
}

/// Fields that every line has, or that are shown elsewhere.
const COMMON: [&str; 6] = ["ts", "level", "node", "msg", "request", "dropped"];

/// The message with which an entry tells what a caller got.
const ANSWERED: &str = "answered";

impl LogLine {
    /// Reads a line; `None` where it is no record about a request. What stands before the record is passed over, such as
    /// the time and name that a collector of logs puts there.
    pub fn parse(text: &str) -> Option<Self> {
        let record = &text[text.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(record) else {
            return None;
        };
        let text = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
        Some(Self {
            time: text("ts")?,
            node: text("node").unwrap_or_default(),
            message: text("msg")?,
            request: text("request")?,
            fields,
        })
    }

    /// Whether it is about the request or about a call that its run made.
    pub fn is_about(&self, request: &str) -> bool {
        let call = self.request.strip_prefix(request);
        call.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Whether it tells what the request's caller got.
    pub fn seals(&self, request: &str) -> bool {
        self.request == request && self.message == ANSWERED
    }

    /// The line for people.
    pub fn render(&self) -> String {
        let shown = self
            .fields
            .iter()
            .filter(|(key, _)| !COMMON.contains(&key.as_str()));
        let shown: Vec<String> = shown
            .filter(|(_, value)| value.as_str() != Some(""))
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        format!(
            "{} {} {} {} {}",
            self.time.escape_debug(),
            self.node.escape_debug(),
            self.request.escape_debug(),
            self.message.escape_debug(),
            shown.join(" ")
        )
    }
}
