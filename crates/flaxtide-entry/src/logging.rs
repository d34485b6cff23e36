//! Logs JSON lines to standard output.
//!
//! Log calls put lines into a bounded queue and don't block; one thread writes them. Lines that
//! don't fit into the queue are dropped and counted, and the count is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, bounded};
use env_logger::{Builder, Env, Target};
use log::LevelFilter;
use log::kv::{self, Key, Value, VisitSource};

/// The capacity of the queue: the lines that the busiest instance logs in one second.
const QUEUE_LINES: usize = 4096;

/// How long the writer collects lines before it writes them, so that it wakes up rarely.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Writes the lines of the logger into the queue.
struct QueueWriter {
    /// The queue.
    lines: Sender<Vec<u8>>,
    /// The number of lines dropped because the queue was full.
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging. `FLAXTIDE_LOG` sets the level; the default is `info`.
///
/// ```
/// flaxtide_entry::init_entry_logging();
/// log::info!(request = "9c41d07be2a35f68"; "a line of JSON");
/// ```
pub fn init_entry_logging() {
    let (lines, queue) = bounded(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    let writer = thread::Builder::new().name("log".into());
    if let Err(cause) = writer.spawn(move || write_lines(&queue, &counted)) {
        eprintln!("logging is off: failed to start its thread: {cause}");
        return;
    }
    let mut builder = Builder::from_env(Env::new().filter_or("FLAXTIDE_LOG", "info"));
    // tarpc logs each time-out of a call to a peer. These are routine, and the fleet's membership
    // handles them.
    builder.filter_module("tarpc", LevelFilter::Off);
    builder.target(Target::Pipe(Box::new(QueueWriter { lines, dropped })));
    builder.format(|out, record| {
        let mut line = String::with_capacity(256);
        line.push_str("{\"at_unix_ms\":");
        line.push_str(&unix_millis().to_string());
        push_field(&mut line, "level", record.level().as_str());
        push_field(&mut line, "event", &record.args().to_string());
        // A value that can't be formatted is left out; the rest of the line is still useful.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        line.push_str("}\n");
        out.write_all(line.as_bytes())
    });
    // Fails if a test has already started logging in the same process.
    let _ = builder.try_init();
}

/// Writes the lines of the queue to standard output until the queue is closed.
fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        thread::sleep(BATCH_DELAY);
        batch.extend(line);
        batch.extend(queue.try_iter().flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"log lines dropped\",\"count\":{lost}}}\n"
            );
            batch.extend(line.into_bytes());
        }
        // Without standard output, the error can't be reported anywhere.
        let _ = io::stdout().write_all(&batch);
        batch.clear();
    }
}

/// Waits until the lines logged so far have been written.
pub(crate) fn flush_log() {
    thread::sleep(BATCH_DELAY + BATCH_DELAY / 2);
}

/// Returns the Unix time in milliseconds. It is shown in log lines only.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Appends a text field to a JSON line.
fn push_field(line: &mut String, key: &str, value: &str) {
    line.push_str(",\"");
    line.push_str(key);
    line.push_str("\":");
    match serde_json::to_string(value) {
        Ok(text) => line.push_str(&text),
        Err(_) => line.push_str("null"),
    }
}

/// Appends the fields of a log record to a JSON line.
struct FieldVisitor<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        if let Some(number) = value.to_i64() {
            self.0.push_str(",\"");
            self.0.push_str(key.as_str());
            self.0.push_str("\":");
            self.0.push_str(&number.to_string());
            return Ok(());
        }
        if let Some(flag) = value.to_bool() {
            self.0.push_str(",\"");
            self.0.push_str(key.as_str());
            self.0.push_str(if flag { "\":true" } else { "\":false" });
            return Ok(());
        }
        push_field(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}
