//! The link to a caller: what goes back over one HTTP request.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use flaxtide_core::{FailureBody, FailureReason, RanState, RequestId, format_request_id};
use tiny_http::{Request, StatusCode};

/// The header that carries a request's id.
pub(crate) const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// A link to a caller, whose answer hasn't begun.
pub(crate) struct CallerLink {
    /// The HTTP request.
    request: Request,
    /// The request's id, which comes back in the answer.
    id: RequestId,
    /// Whether the caller is to open a new connection next time.
    close: bool,
}

/// A link to a caller, on which a stream of server-sent events has begun.
pub(crate) struct StreamLink {
    /// Where the events go.
    writer: Encoder<Box<dyn Write + Send>>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CompleteResponse {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The type of the body.
    pub(crate) content_type: String,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl CallerLink {
    /// Makes the link of a request.
    pub(crate) fn new(request: Request, id: RequestId, close: bool) -> Self {
        Self { request, id, close }
    }

    /// Sends a whole answer.
    pub(crate) fn answer(self, answer: &CompleteResponse) -> io::Result<()> {
        self.send(answer, None)
    }

    /// Sends the final word on a request that wasn't answered.
    pub(crate) fn fail(self, body: &FailureBody) -> io::Result<()> {
        let retry_after = body.retry_after_ms.map(|millis| millis.div_ceil(1000));
        self.send(&failure_answer(body), retry_after)
    }

    /// Sends a whole answer, with when to come back.
    fn send(self, answer: &CompleteResponse, retry_after: Option<u64>) -> io::Result<()> {
        let mut head = self.head(answer.status, &answer.content_type);
        if let Some(seconds) = retry_after {
            head.push_str(&format!("Retry-After: {seconds}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
        let mut writer = self.request.into_writer();
        writer.write_all(head.as_bytes())?;
        writer.write_all(&answer.body)?;
        writer.flush()
    }

    /// Begins a stream of server-sent events.
    pub(crate) fn stream(self) -> io::Result<StreamLink> {
        let mut head = self.head(200, "text/event-stream");
        head.push_str("Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut writer = self.request.into_writer();
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(StreamLink { writer: Encoder::new(writer) })
    }

    /// Builds the head of an answer.
    fn head(&self, status: u16, content_type: &str) -> String {
        let phrase = StatusCode(status).default_reason_phrase();
        let id = format_request_id(self.id);
        let close = if self.close { "Connection: close\r\n" } else { "" };
        format!(
            "HTTP/1.1 {status} {phrase}\r\nContent-Type: {content_type}\r\n\
             {REQUEST_ID_HEADER}: {id}\r\n{close}"
        )
    }
}

impl StreamLink {
    /// Passes on one event. Fails when the caller has gone.
    pub(crate) fn event(&mut self, data: &str) -> io::Result<()> {
        write!(self.writer, "data: {data}\n\n")?;
        self.flush()
    }

    /// Ends a whole stream.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.event("[DONE]")
    }

    /// Ends a stream that isn't whole, with an explicit error and no `[DONE]`.
    pub(crate) fn fail(mut self, body: &FailureBody) -> io::Result<()> {
        let text = serde_json::to_string(body).unwrap_or_default();
        write!(self.writer, "event: error\ndata: {text}\n\n")?;
        self.flush()
    }

    /// Sends what has been written, at once.
    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()?;
        self.writer.get_mut().flush()
    }
}

/// Builds the final word on a request that was refused before it had a life. One with an
/// idempotency key may have run by an earlier attempt, and nobody has looked.
pub(crate) fn refusal(
    id: RequestId,
    reason: FailureReason,
    message: &str,
    keyed: bool,
) -> FailureBody {
    FailureBody {
        reason,
        ran: if keyed { RanState::Unknown } else { RanState::No },
        message: message.to_owned(),
        remedy: reason.remedy().to_owned(),
        request_id: format_request_id(id),
        retry_after_ms: None,
    }
}

/// Builds the answer that carries a final word.
fn failure_answer(body: &FailureBody) -> CompleteResponse {
    CompleteResponse {
        status: body.reason.status(),
        content_type: "application/json".into(),
        body: serde_json::to_vec(body).unwrap_or_default(),
    }
}
