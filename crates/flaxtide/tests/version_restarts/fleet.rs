//! Instances as processes, before servers of several versions.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::common::caller::{request, resume_request};
use super::common::server::{Step, event, stream_head};
use super::common::store::OWN_TABLE;
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

/// A server of a version.
struct ListedServer {
    server: StandinServer,
    version: &'static str,
    is_listed: bool,
}

/// Instances that are killed all at once.
pub(crate) struct KilledFleet {
    pub(crate) store: StandinStore,
    servers: Vec<ListedServer>,
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
    pub(crate) fn wait_together(&self) {
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

    /// Waits until all instances list all servers that are listed.
    fn wait_listed(&self) {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        self.wait_metric("servers", listed.count());
    }

    /// Lists servers of a version, which take streams once all instances know them.
    pub(crate) fn list(&mut self, version: &'static str, count: usize) {
        self.list_only(version, count);
        self.await_streams_at(version);
    }

    /// Lists servers of a version, whether or not they take streams.
    pub(crate) fn list_only(&mut self, version: &'static str, count: usize) {
        self.put_servers(version, count);
        self.wait_listed();
    }

    /// Writes the rows of servers of a version.
    pub(crate) fn put_servers(&mut self, version: &'static str, count: usize) {
        for _ in 0..count {
            let place = self.servers.len();
            let server = StandinServer::start(fresh_ip(), breaks_off());
            let (name, row) = (server_name(version, place), json!(version));
            self.store.put_version(&name, "pool", server.address, "ready", &row);
            self.servers.push(ListedServer { server, version, is_listed: true });
        }
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

    /// Waits until the versions that are listed are recorded.
    pub(crate) fn wait_recorded(&self) {
        let is_recorded = || !self.store.keys(OWN_TABLE, "versions").is_empty();
        wait_until("versions recorded", is_recorded);
    }

    /// Removes the servers of a version.
    pub(crate) fn unlist(&mut self, version: &str) {
        let servers = self.servers.iter_mut().enumerate();
        for (place, server) in servers.filter(|(_, server)| server.version == version) {
            self.store.drop_server(&server_name(version, place));
            server.is_listed = false;
        }
        self.wait_listed();
    }

    /// Returns how many requests have reached servers of a version.
    pub(crate) fn arrivals(&self, version: &str) -> usize {
        let servers = self.servers.iter().filter(|server| server.version == version);
        servers.map(|server| server.server.seen().len()).sum()
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

    /// Waits until all instances have written what they know of streams.
    pub(crate) fn wait_written(&self) {
        let name = "flaxtide_entry_unwritten_version_notes";
        let is_written = |one: &EntryProcess| {
            let metrics = instance_metrics(one.ip).unwrap_or_default();
            let mut values = metrics.lines().filter_map(|line| line.strip_prefix(name));
            values.next().is_some_and(|value| value.trim() == "0")
        };
        wait_until("notes written", || self.instances.iter().all(is_written));
    }

    /// Kills all instances once they have written what they know of streams, and starts them again.
    pub(crate) fn kill_all(&mut self) {
        self.wait_written();
        self.kill_all_now();
    }

    /// Kills all instances, and starts them again.
    pub(crate) fn kill_all_now(&mut self) {
        self.kill_first(self.instances.len());
        self.start_all();
        self.wait_together();
    }

    /// Kills so many instances.
    pub(crate) fn kill_first(&mut self, count: usize) {
        self.instances.iter_mut().take(count).for_each(EntryProcess::kill);
    }

    /// Starts all instances, which were killed.
    pub(crate) fn start_all(&mut self) {
        self.instances.iter_mut().for_each(EntryProcess::start_again);
    }

    /// Waits until all instances listen, whether or not they are ready.
    pub(crate) fn wait_listening(&self) {
        let answers = |one: &EntryProcess| instance_metrics(one.ip).is_some();
        wait_until("listening", || self.instances.iter().all(answers));
    }

    /// Takes up all streams, each at another instance than the one that began it.
    pub(crate) fn take_up_streams(&self) -> Outcome {
        self.take_up_at(|number| (number + 1) % self.instances.len())
    }

    /// Takes up all streams at the last instance.
    pub(crate) fn take_up_at_last(&self) -> Outcome {
        self.take_up_at(|_| self.instances.len() - 1)
    }

    /// Takes up all streams at once, each at the instance at a place.
    fn take_up_at(&self, place: impl Fn(usize) -> usize) -> Outcome {
        let mut outcome = Outcome::default();
        let reached: Vec<_> = thread::scope(|scope| {
            let started = self.begun.iter().enumerate().map(|(number, first)| {
                let instance = &self.instances[place(number)];
                scope.spawn(move || self.take_up(number, first, instance))
            });
            let started: Vec<_> = started.collect();
            started.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        for (first, reached) in self.begun.iter().zip(reached) {
            match reached {
                reached if reached.is_empty() => outcome.refused += 1,
                reached if reached == self.versions(&[first]) => outcome.continued += 1,
                _ => outcome.joined += 1,
            }
        }
        outcome
    }

    /// Takes up a stream until it isn't refused. Returns the versions that it has reached.
    fn take_up(
        &self,
        number: usize,
        first: &str,
        instance: &EntryProcess,
    ) -> BTreeSet<&'static str> {
        let mut reached = BTreeSet::new();
        for attempt in 0..MAX_TRIES {
            let id = format!("b{number}-{attempt}");
            let text = resume_request("/chat/a", &id, first, BROKEN_AFTER);
            let answer = Caller::open(instance.callers()).send(&text).answer();
            reached = self.versions(&[&id]);
            if answer.status != 503 {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        reached
    }

    /// Returns the versions of the servers that attempts have reached.
    fn versions(&self, ids: &[&str]) -> BTreeSet<&'static str> {
        let reached = self.servers.iter().filter(|listed| {
            let seen = listed.server.seen();
            seen.iter().any(|seen| ids.contains(&seen.attempt()))
        });
        reached.map(|listed| listed.version).collect()
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
