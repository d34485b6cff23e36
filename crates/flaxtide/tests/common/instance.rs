//! An entry process, and its callers and operators.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use attohttpc::RequestBuilder;
use flaxtide::{InstanceAddresses, InstanceStatus};
use flaxtide_core::hash_key;
use flaxtide_standin::answer_text;
use serde_json::{Value, json};

use super::answer::TestAnswer;
use super::{MOST_TOKENS, OPERATOR_KEY, ORGANISATION_KEYS, PATIENCE, wait_for};

/// An entry process.
pub struct TestInstance {
    /// The process.
    child: Child,
    /// Where it listens.
    pub addresses: InstanceAddresses,
    /// Its name.
    pub name: String,
}

impl TestInstance {
    /// Starts an entry process on free ports.
    pub fn start(name: &str, data_centre: usize, platform: &str, extra: &str) -> Self {
        let text = format!(
            "name: {name}\ndata_centre: dc{data_centre}\nlisten: 127.0.0.1:0\n\
             admin: 127.0.0.1:0\nfleet: 127.0.0.1:0\nplatform: {platform}\n\
             operator_key_hashes: ['{}']\n{extra}",
            hash_key(OPERATOR_KEY)
        );
        let path = config_path(name);
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_flaxtide"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("FLAXTIDE_LOG", std::env::var("FLAXTIDE_LOG").unwrap_or("error".into()))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        // The process has read its file by now.
        let _ = std::fs::remove_file(path);
        let addresses =
            serde_json::from_str(&line).expect("the process prints its addresses");
        Self { child, addresses, name: name.to_owned() }
    }

    /// Sends the process a signal, such as `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.unwrap().success());
    }

    /// Returns what the process has used so far.
    pub fn usage(&self) -> ProcessUsage {
        let process = format!("/proc/{}", self.child.id());
        let stat = std::fs::read_to_string(format!("{process}/stat")).unwrap_or_default();
        // Fields 14 and 15, counted after the name, which may hold spaces (proc(5)).
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let fields: Vec<f64> = fields.map(|field| field.parse().unwrap_or(0.0)).collect();
        let ticks = |place: usize| fields.get(place).copied().unwrap_or_default();
        let (user, system) = (ticks(11) / CLOCK_TICKS, ticks(12) / CLOCK_TICKS);
        let status =
            std::fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        let kilobytes: f64 = resident.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        ProcessUsage {
            seconds: user + system,
            user,
            memory: kilobytes * 1024.0,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the process ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Returns how the instance stands, if it answers.
    pub fn status(&self) -> Option<InstanceStatus> {
        self.look("/status")
    }

    /// Reads something from the administration API, if it answers.
    pub fn look<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", self.addresses.admin);
        let request = attohttpc::get(url).timeout(Duration::from_secs(5));
        let request = request.header("Authorization", format!("Bearer {OPERATOR_KEY}"));
        request.send().ok()?.json().ok()
    }

    /// Sends a change made from a settings version. Returns the status and the answer.
    pub fn change(&self, path: &str, base: u64, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.addresses.admin);
        let request = match path {
            "/settings" => attohttpc::put(url),
            _ => attohttpc::post(url),
        };
        let request = request
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .header("If-Match", base.to_string())
            .timeout(PATIENCE);
        match request.json(body).unwrap().send() {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, response.json().unwrap_or_default())
            }
            Err(cause) => (0, json!(cause.to_string())),
        }
    }

    /// Sets one value. Returns the status and the answer.
    pub fn set(&self, base: u64, path: &str, value: impl Into<Value>) -> (u16, Value) {
        let value: Value = value.into();
        let body = json!({ "edits": [{ "path": path, "value": value }] });
        self.change("/settings/edits", base, &body)
    }

    /// Asks the model for an answer as a stream.
    pub fn ask(&self, key: &str, class: &str, prompt: &str) -> TestAnswer {
        self.ask_for(key, class, prompt, MOST_TOKENS, true)
    }

    /// Asks the model for an answer.
    pub fn ask_for(
        &self,
        key: &str,
        class: &str,
        prompt: &str,
        most: u32,
        stream: bool,
    ) -> TestAnswer {
        let start = Instant::now();
        let url = format!("http://{}/v1/chat/completions", self.addresses.listen);
        let body = json!({
            "model": "m",
            "stream": stream,
            "max_tokens": most,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = prepare(attohttpc::post(url), key, class).json(&body).unwrap();
        let mut answer = match request.send() {
            Ok(response) => TestAnswer::read(response),
            Err(_) => TestAnswer::default(),
        };
        answer.own = answer.text == answer_text(prompt, most);
        answer.took = start.elapsed();
        answer
    }

    /// Asks a plain service by `HEAD`. Returns the status, or 0 without an answer.
    pub fn look_up(&self, key: &str) -> u16 {
        let url = format!("http://{}/services/registry/filings", self.addresses.listen);
        let request = prepare(attohttpc::head(url), ORGANISATION_KEYS[0], "filing");
        let sent = request.header("Idempotency-Key", key).send();
        sent.map_or(0, |response| response.status().as_u16())
    }

    /// Files a request that may not be repeated.
    pub fn file(&self, key: &str, body: &str) -> TestAnswer {
        let start = Instant::now();
        let url = format!("http://{}/services/registry/filings", self.addresses.listen);
        let request = prepare(attohttpc::post(url), ORGANISATION_KEYS[0], "filing")
            .header("Idempotency-Key", key)
            .text(body.to_owned());
        let mut answer = match request.send() {
            Ok(response) => TestAnswer::read(response),
            Err(_) => TestAnswer::default(),
        };
        answer.took = start.elapsed();
        answer
    }
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ticks of the process clock in a second, on Linux.
const CLOCK_TICKS: f64 = 100.0;

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Seconds of processor time.
    pub seconds: f64,
    /// Those of them outside of the kernel.
    pub user: f64,
    /// Resident memory, in bytes.
    pub memory: f64,
}

/// Prepares a caller's request.
fn prepare<B>(builder: RequestBuilder<B>, key: &str, class: &str) -> RequestBuilder<B> {
    builder
        .header("Authorization", format!("Bearer {key}"))
        .header("X-Request-Class", class)
        .read_timeout(PATIENCE)
}

/// Returns a path for an instance file that no other test uses.
fn config_path(name: &str) -> PathBuf {
    static COUNTER: AtomicU32 = AtomicU32::new(0);
    let number = COUNTER.fetch_add(1, Ordering::SeqCst);
    let file = format!("flaxtide-{}-{number}-{name}.yaml", std::process::id());
    std::env::temp_dir().join(file)
}
