//! Server-sent events sent by engines (HTML Living Standard, section 9.2).

use std::io::{self, BufRead, BufReader, Read};

use serde::Deserialize;

/// The number of bytes after which a line is cut; the rest is read as another line.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// The most bytes from the end of one event to that of the next.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads server-sent events from a response body.
pub(crate) struct EventReader<R> {
    /// The response body.
    body: BufReader<R>,
    /// The line being read, kept to reuse its memory.
    line: String,
}

/// A server-sent event.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ServerSentEvent {
    /// The event's ID; engines set it to the index of the token.
    pub(crate) id: Option<String>,
    /// The event's data; never empty.
    pub(crate) data: String,
}

/// The fields of a completion chunk that the entry instance reads.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionChunk {
    /// The ID of the completion, which must be that of the request.
    pub(crate) id: String,
    /// The choices, of which only the first is read.
    #[serde(default)]
    pub(crate) choices: Vec<ChunkChoice>,
    /// The token usage, in the last chunk.
    #[serde(default)]
    pub(crate) usage: Option<ChunkUsage>,
}

/// A choice in a completion chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkChoice {
    /// The next piece of a chat completion.
    #[serde(default)]
    pub(crate) delta: Option<ChunkDelta>,
    /// The next piece of a text completion.
    #[serde(default)]
    pub(crate) text: Option<String>,
    /// Why the completion ended, in the last chunk.
    #[serde(default)]
    pub(crate) finish_reason: Option<String>,
}

/// A piece of a chat completion.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkDelta {
    /// The text of the piece; `None` if the piece has none.
    #[serde(default)]
    pub(crate) content: Option<String>,
}

/// The token usage of a completion.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkUsage {
    /// The number of tokens in the completion, without the prompt.
    pub(crate) completion_tokens: u32,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of a response body.
    pub(crate) fn new(body: R) -> Self {
        Self { body: BufReader::new(body), line: String::new() }
    }

    /// Reads the next event that has data. Returns `None` at the end of the body, also if
    /// it ends within an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or if the event doesn't end.
    pub(crate) fn next(&mut self) -> io::Result<Option<ServerSentEvent>> {
        let (mut event, mut received) = (ServerSentEvent::default(), 0);
        loop {
            self.line.clear();
            let mut limited = self.body.by_ref().take(MAX_LINE_BYTES);
            let length = limited.read_line(&mut self.line)?;
            if length == 0 {
                return Ok(None);
            }
            received += length;
            if received > MAX_EVENT_BYTES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("an event is longer than {MAX_EVENT_BYTES} bytes"),
                ));
            }
            let line = self.line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                if event.data.is_empty() {
                    continue;
                }
                return Ok(Some(event));
            }
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => event.id = Some(value.to_owned()),
                "data" => event.data.push_str(value),
                _ => {}
            }
        }
    }
}

impl CompletionChunk {
    /// Returns the text of the chunk, or `None` if it is missing or empty.
    pub(crate) fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        let chat = choice.delta.as_ref().and_then(|delta| delta.content.as_deref());
        chat.or(choice.text.as_deref()).filter(|text| !text.is_empty())
    }

    /// Returns whether this is the last chunk of the completion.
    pub(crate) fn is_last(&self) -> bool {
        self.choices
            .first()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }
}
