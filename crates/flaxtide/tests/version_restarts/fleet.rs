//! Instances as processes, before servers of several versions.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::common::caller::{request, resume_request};
use super::common::server::{Step, event, stream_head};
use super::common::{
    Caller, Script, StandinServer, StandinStore, config, fresh_ip, instance_metrics,
    wait_until,
};
use super::process::EntryProcess;

/// The events of a whole stream.
const EVENTS: u64 = 6;

/// After which event a stream breaks off that a server begins.
const BROKEN_AFTER: u64 = 3;

/// How many times a stream is taken up at most, until it isn't refused.
const MAX_TRIES: usize = 3;

/// What became of streams that were taken up.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Streams that went on at their version.
    pub(crate) continued: usize,
    /// Streams that went on at another version.
    pub(crate) joined: usize,
    /// Streams that no server got.
    pub(crate) refused: usize,
}

/// Instances that are killed all at once.
pub(crate) struct KilledFleet {
    pub(crate) store: StandinStore,
    servers: Vec<(StandinServer, &'static str)>,
    instances: Vec<EntryProcess>,
    /// The ids of the attempts that have begun streams.
    begun: Vec<String>,
}

impl KilledFleet {
    /// Starts instances that know each other, without servers.
    pub(crate) fn start(instances: usize) -> Self {
        let store = StandinStore::start(fresh_ip());
        store.put_config(&config(1));
        let ips: Vec<Ipv4Addr> = (0..instances).map(|_| fresh_ip()).collect();
        let start = |ip: &Ipv4Addr| EntryProcess::start(*ip, store.address, &ips);
        let instances = ips.iter().map(start).collect();
        let fleet = Self { store, servers: vec![], instances, begun: vec![] };
        fleet.wait_together();
        fleet
    }

    /// Waits until all instances are ready and know each other.
    fn wait_together(&self) {
        self.instances.iter().for_each(EntryProcess::wait_ready);
        self.wait_metric("instances", self.instances.len());
    }

    /// Waits until a metric of all instances has a value.
    fn wait_metric(&self, name: &str, value: usize) {
        let line = format!("flaxtide_entry_{name} {value}");
        let shows = |one: &EntryProcess| {
            let metrics = instance_metrics(one.ip);
            metrics.is_some_and(|text| text.lines().any(|known| known == line))
        };
        wait_until(&line, || self.instances.iter().all(shows));
    }

    /// Waits until all instances list all servers.
    fn wait_listed(&self) {
        self.wait_metric("servers", self.servers.len());
    }

    /// Lists servers of a version, which take streams once all instances know them.
    pub(crate) fn list(&mut self, version: &'static str, count: usize) {
        for _ in 0..count {
            let place = self.servers.len();
            let server = StandinServer::start(fresh_ip(), breaks_off());
            let (name, row) = (server_name(version, place), json!(version));
            self.store.put_version(&name, "pool", server.address, "ready", &row);
            self.servers.push((server, version));
        }
        self.wait_listed();
        self.await_streams_at(version);
    }

    /// Waits until streams begin at a version. They are whole, so nobody takes them up.
    fn await_streams_at(&self, version: &str) {
        let mut number = 0;
        wait_until("streams begin at the version", || {
            number += 1;
            let id = format!("w-{version}-{number}");
            let address = self.instances[number % self.instances.len()].callers();
            Caller::open(address)
                .send(&request("POST", "/chat/a", &id, ""))
                .answer();
            self.versions(&[&id]).contains(version)
        });
    }

    /// Removes the servers of a version.
    pub(crate) fn unlist(&mut self, version: &str) {
        for (place, (_, listed)) in self.servers.iter().enumerate() {
            if *listed == version {
                self.store.drop_server(&server_name(version, place));
            }
        }
        let left = self.servers.iter().filter(|(_, listed)| *listed != version);
        self.wait_metric("servers", left.count());
    }

    /// Begins streams at all instances, which their callers leave after some events.
    pub(crate) fn begin_streams(&mut self, count: usize) {
        for _ in 0..count {
            let id = format!("a{}", self.begun.len());
            let instance = &self.instances[self.begun.len() % self.instances.len()];
            let mut caller = Caller::open(instance.callers());
            caller.send(&request("POST", "/chat/a", &id, ""));
            caller.head();
            caller.bytes(String::from_utf8(event(1)).unwrap().len());
            caller.leave();
            self.begun.push(id);
        }
    }

    /// Kills all instances once they have written what they know of streams, and starts them again.
    pub(crate) fn kill_all(&mut self) {
        let name = "flaxtide_entry_unwritten_version_notes";
        let is_written = |one: &EntryProcess| {
            let metrics = instance_metrics(one.ip).unwrap_or_default();
            let mut values = metrics.lines().filter_map(|line| line.strip_prefix(name));
            values.all(|value| value.trim() == "0")
        };
        wait_until("notes written", || self.instances.iter().all(is_written));
        self.kill_all_now();
    }

    /// Kills all instances, and starts them again.
    pub(crate) fn kill_all_now(&mut self) {
        self.instances.iter_mut().for_each(EntryProcess::kill);
        self.instances.iter_mut().for_each(EntryProcess::start_again);
        self.wait_together();
    }

    /// Takes up all streams, each at another instance than the one that began it.
    pub(crate) fn take_up_streams(&self) -> Outcome {
        let mut outcome = Outcome::default();
        for (number, first) in self.begun.iter().enumerate() {
            let instance = &self.instances[(number + 1) % self.instances.len()];
            let began = self.versions(&[first]);
            let mut reached = BTreeSet::new();
            for attempt in 0..MAX_TRIES {
                let id = format!("b{number}-{attempt}");
                let text = resume_request("/chat/a", &id, first, BROKEN_AFTER);
                let answer = Caller::open(instance.callers()).send(&text).answer();
                reached = self.versions(&[&id]);
                if answer.status != 503 {
                    break;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            match reached {
                reached if reached.is_empty() => outcome.refused += 1,
                reached if reached == began => outcome.continued += 1,
                _ => outcome.joined += 1,
            }
        }
        outcome
    }

    /// Returns the versions of the servers that attempts have reached.
    fn versions(&self, ids: &[&str]) -> BTreeSet<&'static str> {
        let reached = self.servers.iter().filter(|(server, _)| {
            server.seen().iter().any(|seen| ids.contains(&seen.attempt()))
        });
        reached.map(|(_, version)| *version).collect()
    }
}

/// Returns the name of a server's row.
fn server_name(version: &str, place: usize) -> String {
    format!("i-{version}-{place}")
}

/// A server that breaks off the streams that it begins for callers that leave, and completes all
/// others.
fn breaks_off() -> Script {
    Arc::new(|seen, _| {
        let mut steps = vec![Step::Write(stream_head(seen))];
        let last = seen.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let is_left = seen.attempt().starts_with('a');
        let numbers = match last {
            Some(last) => last + 1..=EVENTS,
            None if is_left => 1..=BROKEN_AFTER,
            None => 1..=EVENTS,
        };
        steps.extend(numbers.map(|number| Step::Write(event(number))));
        steps.push(match is_left {
            true => Step::Silence,
            false => Step::Write(b"0\r\n\r\n".to_vec()),
        });
        steps
    })
}
