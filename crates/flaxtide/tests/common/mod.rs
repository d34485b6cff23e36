//! A small fleet for proofs: real entry processes against stand-ins in this process.
//!
//! Nothing here decides by a sleep: [`wait_for`] looks at a condition until a generous
//! bound, and a proof fails only when the bound is over.
#![allow(dead_code, unreachable_pub, reason = "each proof uses a part")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::{RequestBuilder, Response};
use flaxtide::{InstanceAddresses, InstanceStatus};
use flaxtide_core::{FailureBody, hash_key};
use flaxtide_platform::{InstanceRole, InstanceState, ListedInstance};
use flaxtide_standin::{
    EngineOptions, EngineStandin, NetworkRelay, PlatformFaults, PlatformStandin,
    RelayFault, ServiceStandin, answer_text,
};
use serde_json::{Value, json};

/// The operator's key.
pub const OPERATOR_KEY: &str = "operator-key";

/// The keys of two organisations.
pub const ORGANISATION_KEYS: [&str; 2] = ["key-one", "key-two"];

/// How long a condition may take to come true.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The most tokens of an answer, unless a proof says otherwise.
pub const MOST_TOKENS: u32 = 40;

/// What a fleet is made of.
pub struct FleetShape {
    /// Data centres.
    pub data_centres: usize,
    /// Entry instances in each.
    pub instances: usize,
    /// Engines in each.
    pub engines: usize,
    /// How each engine works.
    pub engine: EngineOptions,
    /// The tiers and classes.
    pub classes: &'static str,
    /// How many further organisations there are, each with a limit.
    pub organisations: usize,
    /// What instance files say of time.
    pub timing: &'static str,
    /// Whether data centres may be cut off from the platform and from each other.
    pub apart: bool,
}

impl Default for FleetShape {
    fn default() -> Self {
        let engine = EngineOptions { slots: 4, ..EngineOptions::default() };
        Self {
            data_centres: 1,
            instances: 2,
            engines: 2,
            engine,
            classes: CLASSES,
            organisations: 0,
            timing: QUICK,
            apart: false,
        }
    }
}

/// Times that make proofs quick.
pub const QUICK: &str = "settings_poll: 300ms\nload_poll: 200ms\nbeat_period: 300ms\n\
                         platform_timeout: 500ms\nstop_notice: 200ms\n";

/// The usual classes: clerks, questions, batches, and filings that may not be repeated.
pub const CLASSES: &str = "
tiers:
  interactive: {rank: 0}
  standard: {rank: 1}
  batch: {rank: 2}
classes:
  clerk: {tier: interactive, policy: {target: {first_token: 3s}}}
  question: {tier: standard, policy: {target: {first_token: 10s}}}
  batch:
    tier: batch
    policy: {target: {first_token: 60s, starvation_bound: 2s}}
  filing:
    tier: interactive
    repeatable: false
    policy: {target: {first_token: 5s}}
";

/// A fleet; its processes end when it is dropped.
pub struct TestFleet {
    /// The platform.
    pub platform: PlatformStandin,
    /// The relay between the instances and the platform.
    pub platform_relay: NetworkRelay,
    /// What further data centres see of the platform, if they may be cut off.
    pub doors: Vec<PlatformStandin>,
    /// The links from other data centres to each instance, if they may be cut off.
    pub links: Vec<NetworkRelay>,
    /// The engines, those of the first data centre first.
    pub engines: Vec<EngineStandin>,
    /// The plain service's servers, one in each data centre.
    pub services: Vec<ServiceStandin>,
    /// The entry instances, those of the first data centre first.
    pub instances: Vec<TestInstance>,
    /// What the platform lists.
    pub listed: Vec<ListedInstance>,
    /// What instance files say of time.
    timing: &'static str,
}

/// An entry process.
pub struct TestInstance {
    /// The process.
    child: Child,
    /// Where it listens.
    pub addresses: InstanceAddresses,
    /// Its name.
    pub name: String,
}

impl TestFleet {
    /// Starts a fleet and waits until every instance is ready and sees its peers.
    pub fn start(shape: &FleetShape) -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = PlatformStandin::start(any).unwrap();
        let platform_address = platform.url().trim_start_matches("http://").to_owned();
        let platform_relay =
            NetworkRelay::start(platform_address.parse().unwrap()).unwrap();
        let mut fleet = Self {
            platform,
            platform_relay,
            doors: vec![],
            links: vec![],
            engines: vec![],
            services: vec![],
            instances: vec![],
            listed: vec![],
            timing: shape.timing,
        };
        for _ in 0..shape.data_centres {
            for _ in 0..shape.engines {
                let engine = EngineStandin::start(any, shape.engine.clone());
                fleet.engines.push(engine.unwrap());
            }
            fleet.services.push(ServiceStandin::start(any).unwrap());
        }
        if shape.apart {
            let door = || fleet.platform.open_door(any).unwrap();
            let doors = (1..shape.data_centres).map(|_| door()).collect();
            fleet.doors = doors;
        }
        for data_centre in 0..shape.data_centres {
            for number in 0..shape.instances {
                fleet.add_instance(&format!("dc{data_centre}-{number}"), data_centre, "");
            }
        }
        let settings = flaxtide_core::SettingsTree::parse(&fleet.settings_text(shape));
        let accepted =
            fleet.instances[0].change("/settings", 0, &json!(settings.unwrap()));
        assert_eq!(accepted.0, 200, "{}", accepted.1);
        let peers = shape.instances as i64 - 1;
        wait_for("every instance is ready and sees its peers", || {
            fleet.instances.iter().all(|instance| {
                let status = instance.status();
                status.is_some_and(|status| status.ready && status.live_peers == peers)
            })
        });
        fleet
    }

    /// Starts one more entry instance and has the platform list it.
    pub fn add_instance(&mut self, name: &str, data_centre: usize, extra: &str) -> usize {
        let door = data_centre.checked_sub(1).and_then(|index| self.doors.get(index));
        let relay = format!("http://{}", self.platform_relay.address());
        let platform = door.map_or(relay, PlatformStandin::url);
        let extra = format!("{}{extra}", self.timing);
        let instance = TestInstance::start(name, data_centre, &platform, &extra);
        self.listed.retain(|listed| listed.name != name);
        self.listed.push(ListedInstance {
            name: name.to_owned(),
            data_centre: format!("dc{data_centre}"),
            role: InstanceRole::Entry,
            state: InstanceState::Live,
            address: instance.addresses.fleet,
        });
        if !self.doors.is_empty() {
            self.links
                .push(NetworkRelay::start(instance.addresses.fleet).unwrap());
        }
        self.instances.push(instance);
        self.publish_list();
        self.instances.len() - 1
    }

    /// Has every door of the platform list the instances: those of other data centres by
    /// the links that may be cut.
    fn publish_list(&self) {
        let doors = std::iter::once(&self.platform).chain(&self.doors);
        for (data_centre, door) in doors.enumerate() {
            let near = format!("dc{data_centre}");
            let seen = self.listed.iter().enumerate().map(|(index, listed)| {
                let link = self.links.get(index).filter(|_| listed.data_centre != near);
                let address = link.map_or(listed.address, NetworkRelay::address);
                ListedInstance { address, ..listed.clone() }
            });
            door.set_instances(seen.collect());
        }
    }

    /// Cuts the second data centre off from the platform and from the first, or joins it
    /// again.
    pub fn cut(&self, cut: bool) {
        for door in &self.doors {
            door.set_faults(PlatformFaults { down: cut, ..PlatformFaults::default() });
        }
        for link in &self.links {
            link.set_fault(if cut { RelayFault::Cut } else { RelayFault::None });
        }
    }

    /// Has the platform list a backend server as leaving.
    pub fn list_leaving(&mut self, server: &str) {
        self.listed.push(ListedInstance {
            name: server.to_owned(),
            data_centre: "dc0".into(),
            role: InstanceRole::Backend,
            state: InstanceState::Leaving,
            address: "127.0.0.1:1".parse().unwrap(),
        });
        self.platform.set_instances(self.listed.clone());
    }

    /// Writes the settings with the addresses of this run. Engines are named `e0`, `e1`
    /// and so on; `one` and `two` are the organisations.
    fn settings_text(&self, shape: &FleetShape) -> String {
        let mut text = shape.classes.to_owned();
        text.push_str("models: {m: {}}\nservices: {registry: {class: filing}}\n");
        text.push_str("organisations:\n");
        for (name, key) in ["one", "two"].iter().zip(ORGANISATION_KEYS) {
            let hash = hash_key(key);
            text.push_str(&format!(
                "  {name}: {{key_hashes: ['{hash}'], class: clerk}}\n"
            ));
        }
        for number in 0..shape.organisations {
            let hash = hash_key(&format!("key-{number}"));
            text.push_str(&format!(
                "  org-{number}: {{key_hashes: ['{hash}'], class: clerk, \
                 policy: {{limits: {{requests_per_second: 100}}}}}}\n"
            ));
        }
        text.push_str("data_centres:\n");
        for data_centre in 0..shape.data_centres {
            text.push_str(&format!("  dc{data_centre}:\n    engines:\n"));
            for number in 0..shape.engines {
                let index = data_centre * shape.engines + number;
                text.push_str(&format!(
                    "      e{index}: {{address: '{}', models: [m], slots: {}}}\n",
                    self.engines[index].address(),
                    shape.engine.slots
                ));
            }
            text.push_str(&format!(
                "    plain_servers:\n      s{data_centre}: {{address: '{}', \
                 service: registry, slots: 16}}\n",
                self.services[data_centre].address()
            ));
        }
        text
    }

    /// Returns how often a filing with an idempotency key has run, over all servers.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = self.services.iter().flat_map(ServiceStandin::runs);
        runs.filter(|run| run.idempotency_key.as_deref() == Some(key)).count()
    }

    /// Tells whether any backend server has seen a request.
    pub fn has_seen(&self, request_id: &str) -> bool {
        let engines = self.engines.iter();
        let mut records = engines.flat_map(|engine| engine.records().into_keys());
        let runs = self.services.iter().flat_map(ServiceStandin::runs);
        let mut runs = runs.map(|run| run.request_id);
        records.any(|id| id == request_id) || runs.any(|id| id == request_id)
    }
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
    fn read(response: Response) -> Self {
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

/// Tells load threads to stop when it is dropped, also by a panic: a proof that fails
/// ends.
pub struct StopGuard<'a>(pub &'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Waits for a condition, up to [`PATIENCE`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Runs a closure for each index on threads of its own, and returns what they returned.
pub fn together<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> =
            (0..count).map(|index| scope.spawn(move || run(index))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    })
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

/// Returns an address that nobody listens on.
pub fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
