//! Entry processes that are stopped, killed, frozen and started again.

use std::collections::HashMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::common::{Caller, instance_text};

/// How long a planned stop may take, as the instance file says, and a second for its start.
const STOP_WITHIN: Duration = Duration::from_secs(9);

/// The memory of an instance, as its file says.
const MEMORY_KB: u64 = 260 * 1024;

/// A place for an entry process, with the same addresses for each of its starts.
pub(crate) struct ProcessSlot {
    /// Its address.
    pub(crate) ip: Ipv4Addr,
    /// The program.
    program: String,
    /// The instance file.
    path: PathBuf,
    /// The process, while there is one.
    child: Mutex<Option<Child>>,
    /// Locked while something is done to it.
    busy: Mutex<()>,
    /// How often it has been started.
    starts: AtomicU32,
    /// Whether it stands still.
    frozen: AtomicBool,
    /// The starts that were killed, and when.
    killed: Mutex<HashMap<u32, Instant>>,
    /// From when until when something was done to it.
    struck: Mutex<Vec<(Instant, Instant)>>,
}

impl ProcessSlot {
    /// Writes the instance file of a slot for a program.
    pub(crate) fn new(
        program: String,
        ip: Ipv4Addr,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> Self {
        Self::with_text(program, ip, &instance_text(ip, store, seeds, ""))
    }

    /// Writes a text as the instance file of a slot for a program.
    pub(crate) fn with_text(program: String, ip: Ipv4Addr, text: &str) -> Self {
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{ip}.yaml"));
        std::fs::write(&path, text).unwrap();
        // What an earlier run has left.
        let _ = std::fs::remove_file(path.with_extension("log"));
        Self {
            ip,
            program,
            path,
            child: Mutex::default(),
            busy: Mutex::default(),
            starts: AtomicU32::new(0),
            frozen: AtomicBool::new(false),
            killed: Mutex::default(),
            struck: Mutex::default(),
        }
    }

    /// Starts a process.
    pub(crate) fn start(&self) {
        let log = self.path.with_extension("log");
        let log = File::options().create(true).append(true).open(log).unwrap();
        // Counted first, as the new process may answer before `spawn` returns here.
        self.starts.fetch_add(1, Ordering::SeqCst);
        let child = Command::new(&self.program)
            .args(["enter", "--config"])
            .arg(&self.path)
            .stdout(log)
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    /// Does something to it, unless something else is being done.
    pub(crate) fn strike(&self, what: impl FnOnce(&Self)) {
        if let Ok(_busy) = self.busy.try_lock() {
            let from = Instant::now();
            what(self);
            self.struck.lock().unwrap().push((from, Instant::now()));
        }
    }

    /// Returns whether nothing was done to it for a time before a moment.
    pub(crate) fn was_calm(&self, at: Instant, span: Duration) -> bool {
        let struck = self.struck.lock().unwrap();
        struck.iter().all(|(from, until)| at < *from || *until + span < at)
    }

    /// Returns the number of its present start.
    pub(crate) fn incarnation(&self) -> u32 {
        self.starts.load(Ordering::SeqCst)
    }

    /// Returns whether a start of it was killed.
    pub(crate) fn was_killed(&self, incarnation: u32) -> bool {
        self.killed.lock().unwrap().contains_key(&incarnation)
    }

    /// Returns whether a start of it was killed within a span that ended at a moment.
    pub(crate) fn was_killed_within(&self, span: Duration, until: Instant) -> bool {
        let killed = self.killed.lock().unwrap();
        killed.values().any(|at| *at <= until && until <= *at + span)
    }

    /// Returns how many of its starts were killed.
    pub(crate) fn kills(&self) -> usize {
        self.killed.lock().unwrap().len()
    }

    /// Kills it, and starts it again.
    pub(crate) fn kill(&self) {
        self.end();
        self.start();
    }

    /// Kills it.
    pub(crate) fn end(&self) {
        let incarnation = self.incarnation();
        self.killed.lock().unwrap().insert(incarnation, Instant::now());
        let mut child = self.child.lock().unwrap().take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Stops it as planned, which it must do in time and well, and starts it again.
    pub(crate) fn stop(&self) {
        self.signal("TERM");
        let mut child = self.child.lock().unwrap().take().unwrap();
        let start = Instant::now();
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status;
            }
            assert!(start.elapsed() < STOP_WITHIN * 3, "{} doesn't stop", self.ip);
            std::thread::sleep(Duration::from_millis(20));
        };
        assert!(status.success(), "{} stopped with {status}", self.ip);
        self.start();
    }

    /// Has it stand still for a while.
    pub(crate) fn freeze(&self, span: Duration) {
        self.frozen.store(true, Ordering::SeqCst);
        self.signal("STOP");
        std::thread::sleep(span);
        self.signal("CONT");
        self.frozen.store(false, Ordering::SeqCst);
    }

    /// Sends it a signal, such as `HUP`.
    pub(crate) fn signal(&self, signal: &str) {
        let child = self.child.lock().unwrap();
        let pid = child.as_ref().unwrap().id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.unwrap().success());
    }

    /// Returns the memory that it uses, in kilobytes; 0 if there is no process.
    pub(crate) fn memory_kb(&self) -> u64 {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.map_or(0, |number| number.parse().unwrap())
    }

    /// Asserts that it hasn't ended by itself, and is within the memory of its instance file.
    pub(crate) fn assert_running(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let ended = child.try_wait().unwrap();
            assert!(ended.is_none(), "{} ended by itself: {ended:?}", self.ip);
        }
        let memory_kb = self.memory_kb();
        assert!(memory_kb < MEMORY_KB, "{} uses {memory_kb} KB", self.ip);
    }

    /// Opens a connection to one of its ports, if anybody listens.
    pub(crate) fn open(&self, port: u16) -> Option<Caller> {
        Caller::try_open(SocketAddr::new(IpAddr::V4(self.ip), port))
    }

    /// Opens a connection for calls as the balancer does: to a process that is ready.
    pub(crate) fn open_if_ready(&self) -> Option<Caller> {
        if self.ready() { self.open(7000) } else { None }
    }

    /// Returns whether it says that it is ready.
    pub(crate) fn ready(&self) -> bool {
        let probe = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        self.open(7001)
            .is_some_and(|mut caller| caller.send(probe).answer().status == 200)
    }

    /// Returns a metric, if the process tells it just now.
    pub(crate) fn metric(&self, name: &str) -> Option<u64> {
        if self.frozen.load(Ordering::SeqCst) {
            return None;
        }
        let probe = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = self.open(7002)?.send(probe).answer();
        let text = answer.text();
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().parse().ok()
    }
}

impl Drop for ProcessSlot {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut().unwrap() {
            // A process that has ended needs no ending.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
