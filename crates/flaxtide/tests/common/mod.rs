//! A small fleet for proofs: real entry processes against stand-ins in this process.
//!
//! Nothing here decides by a sleep: [`wait_for`] looks at a condition until a generous
//! bound, and a proof fails only when the bound is over.
#![allow(dead_code, unreachable_pub, unused_imports, reason = "each proof uses a part")]

mod answer;
mod instance;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxtide_core::hash_key;
use flaxtide_platform::{InstanceRole, InstanceState, ListedInstance};
use flaxtide_standin::{
    EngineOptions, EngineStandin, NetworkRelay, PlatformFaults, PlatformStandin,
    RelayFault, ServiceStandin,
};
use serde_json::json;

pub use self::answer::TestAnswer;
pub use self::instance::{ProcessUsage, TestInstance};

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

/// Returns an address that nobody listens on.
pub fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
