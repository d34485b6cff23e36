//! The stream of an engine's answer, with the faults that it may have.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use serde_json::json;

use super::EngineFaults;
use crate::text::answer_token;

/// A stream of server-sent events to a caller.
pub(super) struct EventStream {
    /// The completion's id.
    pub(super) id: String,
    /// The prompt that is answered.
    pub(super) prompt: String,
    /// Where the events go.
    pub(super) writer: Box<dyn Write + Send>,
    /// The faults of this stream.
    pub(super) faults: EngineFaults,
}

impl EventStream {
    /// Sends the tokens of an answer as they are made, and its end.
    pub(super) fn send(
        &mut self,
        tokens: &Receiver<u32>,
        first: u32,
        length: u32,
    ) -> io::Result<()> {
        self.send_head()?;
        for sent in first..length {
            if sent - first >= self.faults.break_after && self.broken(tokens)? {
                return Ok(());
            }
            let Ok(index) = tokens.recv() else {
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            self.send_token(index)?;
            if index == 0 && self.faults.repeats > 0 {
                self.send_token(index)?;
            }
        }
        let finish = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": { "completion_tokens": length },
        });
        self.send_chunk(&format!("data: {finish}\n\ndata: [DONE]\n\n"))?;
        self.end()
    }

    /// Plays a fault in mid-stream, if one is in force.
    fn broken(&mut self, tokens: &Receiver<u32>) -> io::Result<bool> {
        if self.faults.stalls > 0 {
            // Silent until the caller hangs up, which shows at the next write.
            while tokens.recv().is_ok() {}
            thread::sleep(Duration::from_secs(30));
            return Ok(true);
        }
        if self.faults.truncations > 0 {
            self.end()?;
            return Ok(true);
        }
        Ok(self.faults.breaks > 0)
    }

    /// Sends the head of the answer.
    fn send_head(&mut self) -> io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        self.writer.write_all(head.as_bytes())?;
        self.writer.flush()
    }

    /// Sends one token.
    fn send_token(&mut self, index: u32) -> io::Result<()> {
        let content = answer_token(&self.prompt, index);
        let chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "choices": [{
                "index": 0,
                "delta": { "content": content },
                "finish_reason": null,
            }],
        });
        self.send_chunk(&format!("id: {index}\ndata: {chunk}\n\n"))
    }

    /// Sends one chunk of the body (RFC 9112, section 7.1). Written by hand, as a broken
    /// stream must lack the last chunk.
    fn send_chunk(&mut self, text: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Ends the chunked body.
    fn end(&mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
