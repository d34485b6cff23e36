//! Server-sent events of an engine (HTML Living Standard, section 9.2).

use std::io::{self, BufRead, BufReader, Read};

use serde::Deserialize;

/// The longest line that an engine may send, in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// A reader of server-sent events.
pub(crate) struct EventReader<R> {
    /// Where they come from.
    body: BufReader<R>,
    /// The line being read.
    line: String,
}

/// A server-sent event.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ServerEvent {
    /// Its id, if it has one.
    pub(crate) id: Option<String>,
    /// Its data.
    pub(crate) data: String,
}

/// The part of a completion chunk that the router looks at.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionChunk {
    /// The id of the completion; it must be the request's.
    pub(crate) id: String,
    /// The choices; there is one.
    #[serde(default)]
    pub(crate) choices: Vec<ChunkChoice>,
    /// The usage, in the last chunk.
    #[serde(default)]
    pub(crate) usage: Option<ChunkUsage>,
}

/// A choice in a completion chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkChoice {
    /// The piece of a chat answer.
    #[serde(default)]
    pub(crate) delta: Option<ChunkDelta>,
    /// The piece of a plain completion.
    #[serde(default)]
    pub(crate) text: Option<String>,
    /// Why the answer ended, in the last chunk.
    #[serde(default)]
    pub(crate) finish_reason: Option<String>,
}

/// A piece of a chat answer.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkDelta {
    /// The text.
    #[serde(default)]
    pub(crate) content: Option<String>,
}

/// The usage of a completion.
#[derive(Debug, Deserialize)]
pub(crate) struct ChunkUsage {
    /// How many tokens the answer has.
    pub(crate) completion_tokens: u32,
}

impl<R: Read> EventReader<R> {
    /// Reads events from a body.
    pub(crate) fn new(body: R) -> Self {
        Self { body: BufReader::new(body), line: String::new() }
    }

    /// Reads the next event; nothing at the end of the body.
    pub(crate) fn next(&mut self) -> io::Result<Option<ServerEvent>> {
        let mut event = ServerEvent::default();
        loop {
            self.line.clear();
            let mut limited = self.body.by_ref().take(MAX_LINE_BYTES);
            if limited.read_line(&mut self.line)? == 0 {
                return Ok(None);
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
    /// Returns the text of the chunk, if it has any.
    pub(crate) fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        let chat = choice.delta.as_ref().and_then(|delta| delta.content.as_deref());
        chat.or(choice.text.as_deref()).filter(|text| !text.is_empty())
    }

    /// Tells whether the chunk ends the answer.
    pub(crate) fn is_last(&self) -> bool {
        self.choices
            .first()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }
}
