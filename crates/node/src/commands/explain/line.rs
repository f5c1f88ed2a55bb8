//! Parses and formats the JSON log lines of a node.

use serde_json::{Map, Value};

/// A log line that belongs to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Timestamp, in a format whose lexical order is the order of time.
    pub time: String,
    /// Name of the node that wrote the line.
    pub node: String,
    message: String,
    request: String,
    fields: Map<String, Value>,
}

/// Fields that `render` leaves out of the `key=value` list: it prints them separately, or they are on every line.
const COMMON_FIELDS: [&str; 6] = ["ts", "level", "node", "msg", "request", "dropped"];

/// Message of the line that an entry node logs when it answers the caller.
const ANSWERED_MESSAGE: &str = "answered";

impl LogLine {
    /// Parses a line; returns `None` if it is not a JSON record about a request. A prefix before the record is skipped,
    /// such as the time and name that log collectors prepend.
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

    /// Whether the line is about the request or about a call made on its behalf.
    pub fn is_about(&self, request: &str) -> bool {
        let call = self.request.strip_prefix(request);
        call.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Whether the line records the answer sent to the caller of the request.
    pub fn is_final_answer(&self, request: &str) -> bool {
        self.request == request && self.message == ANSWERED_MESSAGE
    }

    /// Formats the line as readable text.
    pub fn render(&self) -> String {
        let shown = self
            .fields
            .iter()
            .filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str()));
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
