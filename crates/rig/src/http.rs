//! HTTP/1.1 server and client based on hyper, shared by the stand-ins, the load generator and the tests.

mod answer;
mod answer_body;
mod client;
mod connector;
mod method_path;
mod query;
mod server;

pub use self::answer::{Answer, Handled, empty, json, read_body, text};
pub use self::answer_body::{AnswerBody, TruncatedBody};
pub use self::client::{Client, ClientAnswer, ClientCall};
pub use self::method_path::MethodPath;
pub use self::query::Query;
pub use self::server::{Server, bind};
