//! What a caller got.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use attohttpc::Response;
use flaxtide_core::FailureBody;
use serde_json::Value;

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct TestAnswer {
    /// The HTTP status; 0 if the connection broke before.
    pub status: u16,
    /// The request's id.
    pub request_id: String,
    /// The text of a completion, or the body of another answer.
    pub text: String,
    /// The final word, if it wasn't answered.
    pub failure: Option<FailureBody>,
    /// Whether a completion came to its proper end.
    pub done: bool,
    /// Whether the text is the whole answer to the prompt.
    pub own: bool,
    /// How long it took.
    pub took: Duration,
}

impl TestAnswer {
    /// Reads a response.
    pub(super) fn read(response: Response) -> Self {
        let mut answer = Self {
            status: response.status().as_u16(),
            ..Self::default()
        };
        let id = response.headers().get("X-Request-Id");
        answer.request_id =
            id.map_or(String::new(), |id| id.to_str().unwrap().to_owned());
        let kind = response.headers().get("Content-Type");
        let stream = kind.is_some_and(|kind| kind.as_bytes() == b"text/event-stream");
        if stream {
            answer.read_stream(response);
            return answer;
        }
        let text = response.text().unwrap_or_default();
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        answer.failure = serde_json::from_value(value.clone()).ok();
        let content = value["choices"][0]["message"]["content"].as_str();
        answer.done = content.is_some();
        answer.text = content.map_or(text, str::to_owned);
        answer
    }

    /// Reads a stream of server-sent events.
    fn read_stream(&mut self, response: Response) {
        let mut finished = false;
        for line in BufReader::new(response).lines() {
            let Ok(line) = line else { return };
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                self.done = finished;
                return;
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            self.failure = serde_json::from_value(value.clone()).ok();
            let choice = &value["choices"][0];
            finished |= !choice["finish_reason"].is_null();
            self.text
                .push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        }
    }

    /// Tells whether this is the whole answer to the prompt.
    pub fn whole(&self) -> bool {
        self.status == 200 && self.done && self.own && self.failure.is_none()
    }

    /// Tells whether the request was refused as not run.
    pub fn refused(&self) -> bool {
        let ran = self.failure.as_ref().map(|failure| failure.ran);
        ran == Some(flaxtide_core::RanState::No)
    }
}
