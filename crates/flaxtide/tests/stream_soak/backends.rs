//! The processes of backend servers, and the troubles that they meet.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use super::common::wire::target_header;
use super::common::{StandinStore, fresh_ip, wait_until};
use super::{SERVER_SETTINGS, SERVER_TEST};

/// How long the row of a server that was killed stays.
const ROW_LIFE: Duration = Duration::from_millis(1500);

/// After which time a server is killed that was to exit.
const LONGEST_EXIT: Duration = Duration::from_secs(6);

/// How long a trouble lasts at most.
const LONGEST_TROUBLE_MS: u64 = 3000;

/// How long a server that is asked whether it serves may take. It is asked again.
const LONGEST_CHECK: Duration = Duration::from_millis(200);

/// How the answer of a server that serves begins.
const STATUS_LINE: &[u8; 12] = b"HTTP/1.1 200";

/// How many requests a server runs at a time.
const SLOTS: u32 = 200;

/// What is to be done with a server at a moment.
enum Due {
    Wake,
    Exit,
    Kill,
    DropRow,
}

/// A server's process.
struct Backend {
    name: String,
    address: SocketAddr,
    child: Child,
    commands: ChildStdin,
    /// From when until when it was in trouble.
    troubled: Vec<(Instant, Option<Instant>)>,
    due: Vec<(Instant, Due)>,
    has_ended: bool,
}

/// All servers that there have been.
pub(crate) struct Backends {
    servers: Vec<Backend>,
    seed: u64,
    pub(crate) is_unframed: bool,
    /// The file of all requests that servers run.
    pub(crate) runs: PathBuf,
}

impl Backends {
    /// Starts servers.
    pub(crate) fn start(
        store: &StandinStore,
        seed: u64,
        count: usize,
        is_unframed: bool,
    ) -> Self {
        let runs = format!("runs-{}-{seed}.txt", std::process::id());
        let runs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(runs);
        std::fs::write(&runs, "").unwrap();
        let mut backends = Self { servers: vec![], seed, is_unframed, runs };
        (0..count).for_each(|_| backends.add(store, None));
        backends
    }

    /// Starts a server, at an address of its own if none is given, and lists it once it serves.
    fn add(&mut self, store: &StandinStore, address: Option<SocketAddr>) {
        let address =
            address.unwrap_or_else(|| SocketAddr::new(IpAddr::V4(fresh_ip()), 7100));
        let name = format!("i-{}-{}", self.seed, self.servers.len());
        let runs = self.runs.display();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", SERVER_TEST, "--nocapture"])
            .env(SERVER_SETTINGS, format!("{name} {address} {} {runs}", self.is_unframed))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let commands = child.stdin.take().unwrap();
        wait_until("a server that serves", || is_served(address, &name));
        store.put_slots(&name, "pool", address, "ready", SLOTS);
        let troubled = vec![(Instant::now(), Some(Instant::now()))];
        let (due, has_ended) = (vec![], false);
        self.servers.push(Backend {
            name,
            address,
            child,
            commands,
            troubled,
            due,
            has_ended,
        });
    }

    /// Lets a server that is well meet a trouble. Another one starts if it is to end.
    pub(crate) fn trouble(&mut self, store: &StandinStore, rng: &mut StdRng) {
        let mut places: Vec<usize> = (0..self.servers.len()).collect();
        places.retain(|place| self.servers[*place].is_well());
        if places.is_empty() {
            return;
        }
        let place = places[rng.random_range(0..places.len())];
        let server = &mut self.servers[place];
        server.troubled.push((Instant::now(), None));
        let span = Duration::from_millis(rng.random_range(50..LONGEST_TROUBLE_MS));
        if rng.random_bool(0.2) {
            server.signal("STOP");
            server.plan(span, Due::Wake);
            if rng.random_bool(0.7) {
                return;
            }
        }
        let end = rng.random_range(0..10);
        match end {
            0..=3 => server.leave(store),
            4..=5 => store.drop_server(&server.name),
            6..=8 => server.kill(),
            // It is killed while it is listed as ready.
            _ => {}
        }
        // Another one may listen at the address before the end.
        let address = rng.random_bool(0.3).then_some(server.address);
        self.add(store, address);
        let server = &mut self.servers[place];
        if !server.has_ended {
            let due = if matches!(end, 0 | 4) { Due::Exit } else { Due::Kill };
            server.plan(span.mul_f64(rng.random_range(0.0..1.0)), due);
        }
    }

    /// Does what is due. Returns whether nothing more is.
    pub(crate) fn poll(&mut self, store: &StandinStore) -> bool {
        let settled = self
            .servers
            .iter_mut()
            .filter_map(|one| one.poll(store).then_some(()));
        settled.count() == self.servers.len()
    }

    /// Returns whether a server was well for a time before a span, during it and after it.
    pub(crate) fn was_well(
        &self,
        name: &str,
        (from, until): (Instant, Instant),
        around: Duration,
    ) -> bool {
        let server = self.servers.iter().find(|server| server.name == name);
        server.is_some_and(|server| {
            server.troubled.iter().all(|(began, ended)| {
                until + around < *began || ended.is_some_and(|at| at + around < from)
            })
        })
    }
}

impl Backend {
    /// Returns whether it serves and nothing is going to happen to it.
    fn is_well(&self) -> bool {
        !self.has_ended && self.due.is_empty()
    }

    /// Plans what is to be done after a time.
    fn plan(&mut self, span: Duration, due: Due) {
        self.due.push((Instant::now() + span, due));
    }

    /// Kills it. Its row is dropped later.
    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.record_end(ROW_LIFE);
    }

    /// Records that it has ended, and for how long its row stays.
    fn record_end(&mut self, row_life: Duration) {
        self.has_ended = true;
        self.due.clear();
        self.plan(row_life, Due::DropRow);
    }

    /// Has it say that it leaves.
    fn leave(&mut self, store: &StandinStore) {
        store.put_slots(&self.name, "pool", self.address, "draining", SLOTS);
        writeln!(self.commands, "leave").unwrap();
    }

    /// Sends it a signal.
    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.unwrap().success());
    }

    /// Does what is due. Returns whether nothing more is.
    fn poll(&mut self, store: &StandinStore) -> bool {
        let now = Instant::now();
        while let Some(place) = self.due.iter().position(|(at, _)| *at <= now) {
            match self.due.remove(place).1 {
                Due::Kill => self.kill(),
                Due::DropRow => store.drop_server(&self.name),
                Due::Exit => {
                    writeln!(self.commands, "exit").unwrap();
                    self.plan(LONGEST_EXIT, Due::Kill);
                }
                Due::Wake => {
                    self.signal("CONT");
                    if self.due.is_empty() {
                        self.troubled.last_mut().unwrap().1 = Some(now);
                    }
                }
            }
        }
        if !self.has_ended && self.child.try_wait().unwrap().is_some() {
            assert!(!self.due.is_empty(), "{} ended by itself", self.name);
            self.record_end(Duration::ZERO);
        }
        self.due.is_empty()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether a server answers at an address, where the one before may accept connections too,
/// and be frozen.
fn is_served(address: SocketAddr, name: &str) -> bool {
    let target = target_header(name);
    let check = format!("GET /health HTTP/1.1\r\nHost: x\r\n{target}\r\n");
    let mut status = [0; STATUS_LINE.len()];
    let asked = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(LONGEST_CHECK))?;
        stream.write_all(check.as_bytes())?;
        stream.read_exact(&mut status)
    });
    asked.is_ok() && status == *STATUS_LINE
}
