//! Logs as JSON lines on standard output.
//!
//! Whoever logs puts a line into a bounded ring and goes on; one thread writes. Lines that
//! find the ring full are counted, and the count is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, Sender, bounded};
use env_logger::{Builder, Env, Target};
use log::LevelFilter;
use log::kv::{self, Key, Value, VisitSource};

/// How many lines the ring holds: a second of the busiest instance.
const QUEUE_LINES: usize = 4096;

/// How long the writer gathers lines, so that it wakes up seldom.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// A pipe from the logger into the ring.
struct QueueWriter {
    /// The ring.
    lines: Sender<Vec<u8>>,
    /// How many lines found it full.
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

/// Starts logging. The level comes from `FLAXTIDE_LOG`, and is `info` without it.
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
        eprintln!("no log: its thread can't be started: {cause}");
        return;
    }
    let mut builder = Builder::from_env(Env::new().filter_or("FLAXTIDE_LOG", "info"));
    // A peer that doesn't answer in time is an everyday event, told by membership.
    builder.filter_module("tarpc", LevelFilter::Off);
    builder.target(Target::Pipe(Box::new(QueueWriter { lines, dropped })));
    builder.format(|out, record| {
        let mut line = String::with_capacity(256);
        line.push_str("{\"at_unix_ms\":");
        line.push_str(&unix_millis().to_string());
        push_field(&mut line, "level", record.level().as_str());
        push_field(&mut line, "event", &record.args().to_string());
        // A value that can't be shown is left out; the line is still of use.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        line.push_str("}\n");
        out.write_all(line.as_bytes())
    });
    // Tests may start it more than once in a process.
    let _ = builder.try_init();
}

/// Writes the lines of a ring to standard output until the ring is closed.
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
        // Nobody is left to be told if standard output is gone.
        let _ = io::stdout().write_all(&batch);
        batch.clear();
    }
}

/// Waits until lines that were logged so far have been written.
pub(crate) fn flush_log() {
    thread::sleep(BATCH_DELAY + BATCH_DELAY / 2);
}

/// Returns the milliseconds since 1970, for people: nothing is decided by it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Adds a field with a text to a line of JSON.
fn push_field(line: &mut String, key: &str, value: &str) {
    line.push_str(",\"");
    line.push_str(key);
    line.push_str("\":");
    match serde_json::to_string(value) {
        Ok(text) => line.push_str(&text),
        Err(_) => line.push_str("null"),
    }
}

/// Adds the fields of a record to a line of JSON.
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
