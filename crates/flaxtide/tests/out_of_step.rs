//! An instance that is out of step while servers of another version join: it stands still, is cut off
//! from its peers, or reads a list that doesn't change any more. Streams that began at the new servers
//! through other instances are taken up there, and mustn't go on at another version.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
#[path = "version_soak/process.rs"]
mod process;

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{request, resume_request};
use common::server::{Step, event, right, stream_head};
use common::{Caller, Script, StandinServer, StandinStore, config, fresh_ip, wait_until};
use serde_json::json;

use self::process::EntryProcess;

/// The instances of a fleet, of which the first is out of step, and the servers of each version.
const INSTANCES: usize = 5;
const OLD_SERVERS: usize = 3;
const NEW_SERVERS: usize = 2;

/// For how long streams are begun and taken up again after servers have joined.
const LENGTH: Duration = Duration::from_millis(7500);

/// The pause between two streams.
const PAUSE: Duration = Duration::from_millis(60);

/// How the first instance is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutOfStep {
    /// Not at all.
    No,
    /// It stands still from just before the servers join for so many milliseconds.
    Suspended(u64),
    /// It knows no peers.
    Alone,
    /// Its list doesn't change any more.
    Stale,
}

/// Answers streams by an event, and nothing until the caller leaves; those that are continued to their
/// end.
fn begins_or_ends() -> Script {
    Arc::new(|seen, place| {
        if !seen.line.contains("/chat/") {
            return right()(seen, place);
        }
        let head = Step::Write(stream_head(seen));
        match seen.header("last-event-id") {
            None => vec![head, Step::Write(event(1)), Step::Silence],
            Some(_) => {
                vec![head, Step::Write(event(2)), Step::Write(b"0\r\n\r\n".to_vec())]
            }
        }
    })
}

/// A fleet, two versions of its servers, and the store that the first instance reads.
struct SplitFleet {
    store: StandinStore,
    /// The store of the first instance, if its list gets stale.
    own_store: Option<StandinStore>,
    servers: Vec<(StandinServer, &'static str)>,
    processes: Vec<EntryProcess>,
}

impl SplitFleet {
    /// Starts a fleet before servers of the old version.
    fn start(out_of_step: OutOfStep) -> Self {
        let store = StandinStore::start(fresh_ip());
        let own_store =
            (out_of_step == OutOfStep::Stale).then(|| StandinStore::start(fresh_ip()));
        let mut fleet = Self {
            store,
            own_store,
            servers: vec![],
            processes: vec![],
        };
        for store in fleet.stores() {
            store.put_config(&config(1));
        }
        (0..OLD_SERVERS).for_each(|_| fleet.add_server("v1", true));
        let ips: Vec<Ipv4Addr> = (0..INSTANCES).map(|_| fresh_ip()).collect();
        for (place, ip) in ips.iter().enumerate() {
            let is_alone = place == 0 && out_of_step == OutOfStep::Alone;
            let seeds = if is_alone { &[fresh_ip()][..] } else { &ips[1..] };
            let own_store = fleet.own_store.as_ref().filter(|_| place == 0);
            let address = own_store.unwrap_or(&fleet.store).address;
            fleet.processes.push(EntryProcess::start(*ip, address, seeds));
        }
        fleet.processes.iter().for_each(EntryProcess::wait_ready);
        fleet
    }

    /// Returns the stores.
    fn stores(&self) -> impl Iterator<Item = &StandinStore> {
        std::iter::once(&self.store).chain(&self.own_store)
    }

    /// Starts and lists a server of a version. If its list gets stale, the first instance isn't told
    /// of all.
    fn add_server(&mut self, version: &'static str, is_told: bool) {
        let server = StandinServer::start(fresh_ip(), begins_or_ends());
        let name = format!("i-{}", self.servers.len());
        for store in self.stores().take(if is_told { 2 } else { 1 }) {
            store.put_version(&name, "pool", server.address, "ready", &json!(version));
        }
        self.servers.push((server, version));
    }

    /// Returns where callers reach an instance.
    fn address(&self, place: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.processes[place].ip), 7000)
    }

    /// Begins a stream at one of the other instances, and takes it up at the first. Returns the status.
    fn begin_and_take_up(&self, number: usize) -> u16 {
        let (first, second) = (format!("a{number}"), format!("b{number}"));
        let mut caller = Caller::open(self.address(1 + number % (INSTANCES - 1)));
        caller.send(&request("POST", "/chat/a", &first, ""));
        if !caller.head().contains(" 200 ") {
            return 0;
        }
        caller.bytes(event(1).len());
        caller.leave();
        let text = resume_request("/chat/a", &second, &first, 1);
        Caller::open(self.address(0)).send(&text).answer().status
    }

    /// Returns the versions of the servers that each stream has reached, by its number.
    fn versions(&self) -> HashMap<String, BTreeSet<&'static str>> {
        let mut versions: HashMap<String, BTreeSet<&str>> = HashMap::new();
        for (server, version) in &self.servers {
            for seen in server.seen() {
                let number = seen.attempt().get(1..).unwrap_or_default().to_owned();
                versions.entry(number).or_default().insert(version);
            }
        }
        versions
    }
}

/// Has servers of another version join and most of the old ones leave while the first instance is out
/// of step. Returns what is found wrong.
fn play(out_of_step: OutOfStep) -> Option<String> {
    let mut fleet = SplitFleet::start(out_of_step);
    wait_until("a stream is taken up", || fleet.begin_and_take_up(9999) == 200);
    // The single version counts as certain after so long.
    thread::sleep(Duration::from_secs(4));
    if let OutOfStep::Suspended(_) = out_of_step {
        fleet.processes[0].signal("STOP");
    }
    let start = Instant::now();
    (0..NEW_SERVERS).for_each(|_| fleet.add_server("v2", false));
    for place in 1..OLD_SERVERS {
        fleet.store.drop_server(&format!("i-{place}"));
    }
    let fleet = &fleet;
    let statuses: Vec<u16> = thread::scope(|scope| {
        if let OutOfStep::Suspended(span_ms) = out_of_step {
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(span_ms));
                fleet.processes[0].signal("CONT");
            });
        }
        let mut callers = vec![];
        for number in 0.. {
            if start.elapsed() >= LENGTH {
                break;
            }
            callers.push(scope.spawn(move || fleet.begin_and_take_up(number)));
            thread::sleep(PAUSE);
        }
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let versions = fleet.versions();
    let joined = versions.values().filter(|versions| versions.len() > 1).count();
    let at_new = versions.values().filter(|versions| versions.contains("v2")).count();
    let count = |status: u16| statuses.iter().filter(|known| **known == status).count();
    let summary = format!(
        "{out_of_step:?}: {joined} joined, {at_new} at the new version, {} streams: {} whole, \
         {} refused",
        statuses.len(),
        count(200),
        count(503)
    );
    println!("{summary}");
    (joined > 0 || at_new == 0).then_some(summary)
}

/// Guards against streams that go on at another version at an instance that was out of step.
#[test]
fn streams_taken_up_at_an_instance_out_of_step_stay_at_their_version() {
    let kinds = [
        OutOfStep::No,
        OutOfStep::Suspended(1500),
        OutOfStep::Suspended(3200),
        OutOfStep::Suspended(5500),
        OutOfStep::Alone,
        OutOfStep::Stale,
    ];
    let found: Vec<String> = thread::scope(|scope| {
        let plays = kinds.map(|kind| scope.spawn(move || play(kind)));
        plays.into_iter().filter_map(|play| play.join().unwrap()).collect()
    });
    assert!(found.is_empty(), "{found:#?}");
}
