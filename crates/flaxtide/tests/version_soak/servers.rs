//! Servers of several versions that come, leave, crash and break off their streams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::common::server::{Step, chunk, stream_head, unframed_head};
use super::common::{Script, Seen, StandinServer, StandinStore, fresh_ip};

/// The events of a whole stream.
pub(crate) const EVENTS: u64 = 8;

/// The pause between two events, of a third of the attempts and of the others.
const EVENT_PAUSES: [Duration; 3] =
    [Duration::from_millis(60), Duration::from_millis(300), Duration::from_millis(300)];

/// How long the row of a crashed server stays.
const ROW_LIFE: Duration = Duration::from_millis(1500);

/// A server, and for how long it is listed.
struct VersionedServer {
    name: String,
    version: u64,
    server: StandinServer,
    since: Instant,
    until: Option<Instant>,
}

/// The servers of the service.
pub(crate) struct VersionedServers {
    rng: StdRng,
    servers: Vec<VersionedServer>,
    /// The version of servers that start.
    version: u64,
    /// How many versions there have been.
    versions: u64,
    /// When the rows of crashed servers lapse.
    lapsing: Vec<(Instant, String)>,
}

impl VersionedServers {
    /// Starts servers of the first version.
    pub(crate) fn start(store: &StandinStore, count: usize, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let mut servers = Self {
            rng,
            servers: vec![],
            version: 1,
            versions: 1,
            lapsing: vec![],
        };
        for _ in 0..count {
            servers.add(store);
        }
        servers
    }

    /// Has servers start with a new version from now on.
    pub(crate) fn begin_release(&mut self) {
        self.versions += 1;
        self.version = self.versions;
    }

    /// Has servers start with any version that there has been, also one that has left.
    pub(crate) fn begin_rollback(&mut self) {
        self.version = self.rng.random_range(1..=self.versions);
    }

    /// Replaces a server by one of the version that starts.
    pub(crate) fn replace(&mut self, store: &StandinStore) {
        let place = self.draw();
        self.replace_at(place, store);
    }

    /// Replaces the longest listed half of the servers, or all of them.
    pub(crate) fn replace_many(&mut self, store: &StandinStore) {
        let listed = self.listed();
        let is_whole = self.rng.random_bool(0.5);
        let count = if is_whole { listed.len() } else { listed.len() / 2 };
        listed
            .iter()
            .take(count)
            .for_each(|place| self.replace_at(*place, store));
    }

    /// Starts a server, and has another one leave.
    fn replace_at(&mut self, place: usize, store: &StandinStore) {
        self.add(store);
        let leaving = &mut self.servers[place];
        let version = version_text(leaving.version);
        let address = leaving.server.address;
        store.put_version(&leaving.name, "pool", address, "draining", &json!(version));
        store.drop_server(&leaving.name);
        leaving.until = Some(Instant::now());
    }

    /// Crashes a server, and starts another one.
    pub(crate) fn crash(&mut self, store: &StandinStore) {
        self.add(store);
        let place = self.draw();
        let crashed = &mut self.servers[place];
        crashed.server.end();
        crashed.until = Some(Instant::now());
        self.lapsing.push((Instant::now() + ROW_LIFE, crashed.name.clone()));
    }

    /// Drops the rows of crashed servers that have lapsed.
    pub(crate) fn drop_lapsed(&mut self, store: &StandinStore) {
        self.lapsing.retain(|(at, name)| {
            let lapsed = Instant::now() >= *at;
            if lapsed {
                store.drop_server(name);
            }
            !lapsed
        });
    }

    /// Returns whether two servers of a version were listed for a time before a moment, and stay
    /// listed for as long.
    pub(crate) fn serves(&self, version: &str, at: Instant, span: Duration) -> bool {
        let listed = self.servers.iter().filter(|server| {
            version_text(server.version) == version
                && server.since + span < at
                && server.until.is_none_or(|until| at + span < until)
        });
        listed.count() >= 2
    }

    /// Adds a server of the version that starts.
    fn add(&mut self, store: &StandinStore) {
        let name = format!("i-{}", self.servers.len());
        let version = self.version;
        let server = StandinServer::start(fresh_ip(), script(version));
        let text = json!(version_text(version));
        store.put_version(&name, "pool", server.address, "ready", &text);
        let since = Instant::now();
        self.servers
            .push(VersionedServer { name, version, server, since, until: None });
    }

    /// Draws a server that is listed.
    fn draw(&mut self) -> usize {
        let listed = self.listed();
        listed[self.rng.random_range(0..listed.len())]
    }

    /// Returns the places of the servers that are listed.
    fn listed(&self) -> Vec<usize> {
        let places = 0..self.servers.len();
        places.filter(|place| self.servers[*place].until.is_none()).collect()
    }
}

/// Spells a version.
fn version_text(version: u64) -> String {
    format!("v1.{version}")
}

/// What a server of a version does: depending on the attempt, it frames its stream by chunks or not
/// at all, and completes it, ends it inside an event or resets it.
fn script(version: u64) -> Script {
    Arc::new(move |seen, _| {
        let draw = xxh3_64(seen.attempt().as_bytes());
        let framed = draw.is_multiple_of(2);
        let pause = EVENT_PAUSES[(draw / 1024 % 3) as usize];
        let last = seen.header("last-event-id").and_then(|text| text.parse().ok());
        let last: u64 = last.unwrap_or(0);
        let until = match draw / 2 % 5 {
            0 | 1 => (last + 1 + draw / 16 % 4).min(EVENTS),
            _ => EVENTS + 1,
        };
        let mut steps = vec![head(seen, framed)];
        for number in (last + 1..=EVENTS).take_while(|number| *number < until) {
            let text = format!("id: {number}\ndata: {}\n\n", version_text(version));
            steps.extend([write(&text, framed), Step::Wait(pause)]);
        }
        if until <= EVENTS {
            let cut =
                if (draw / 16).is_multiple_of(2) { Step::Close } else { Step::Reset };
            steps.extend([write(&format!("id: {until}\nda"), framed), cut]);
        } else if framed {
            steps.push(write("", true));
        } else {
            steps.push(Step::Close);
        }
        steps
    })
}

/// Spells the head of a stream.
fn head(seen: &Seen, framed: bool) -> Step {
    Step::Write(if framed { stream_head(seen) } else { unframed_head(seen) })
}

/// Spells a piece of a stream.
fn write(text: &str, framed: bool) -> Step {
    Step::Write(if framed { chunk(text) } else { text.into() })
}
