//! Logs as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};
use log::LevelFilter;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Starts logging. The level comes from `FLAXTIDE_LOG`, and is `info` without it.
///
/// ```
/// flaxtide::init_logging();
/// log::info!(request_id = "00000000000000ff"; "a line of JSON");
/// ```
pub fn init_logging() {
    let env = Env::new().filter_or("FLAXTIDE_LOG", "info");
    let mut builder = Builder::from_env(env);
    // A peer that doesn't answer in time is an everyday event, told by membership.
    builder.filter_module("tarpc", LevelFilter::Off);
    builder.format(|out, record| {
        let mut fields = Map::new();
        fields.insert("at_unix_ms".into(), json!(unix_millis()));
        fields.insert("level".into(), json!(record.level().as_str().to_lowercase()));
        fields.insert("from".into(), json!(record.target()));
        fields.insert("message".into(), json!(record.args().to_string()));
        let mut visitor = FieldVisitor { fields: &mut fields };
        // A value that can't be shown is left out; the line is still of use.
        let _ = record.key_values().visit(&mut visitor);
        writeln!(out, "{}", serde_json::Value::Object(fields))
    });
    // Tests and the demo may start it more than once in a process.
    let _ = builder.try_init();
}

/// Returns the milliseconds since 1970, for people: nothing is decided by it.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Puts the fields of a record into a JSON object.
struct FieldVisitor<'a> {
    /// The object.
    fields: &'a mut Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        self.fields.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
