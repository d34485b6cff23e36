//! An instance as a process, which can be killed, stopped, suspended and started again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use super::common::{Caller, instance_text, wait_until};

/// The signals that end a process which doesn't handle them yet.
const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// An instance.
pub(crate) struct EntryProcess {
    /// Its address.
    pub(crate) ip: Ipv4Addr,
    path: PathBuf,
    child: Child,
    /// When it was last killed or told to stop.
    down_since: Instant,
    /// From when until when it was disturbed.
    disturbed: Vec<(Instant, Instant)>,
    /// When it starts again, if it was killed.
    start_at: Option<Instant>,
    /// When it goes on, if it is suspended.
    resume_at: Option<Instant>,
    /// Whether it was told to stop.
    is_stopping: bool,
    /// Whether it has said that it is ready since it was started.
    is_ready: bool,
    /// How often it has ended without being told to.
    pub(crate) own_ends: usize,
}

impl EntryProcess {
    /// Starts an instance that follows a store.
    pub(crate) fn start(ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr]) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{ip}.yaml"));
        std::fs::write(&path, instance_text(ip, store, seeds, "")).unwrap();
        let now = Instant::now();
        let child = spawn(&path, ip);
        Self {
            ip,
            path,
            child,
            down_since: now,
            disturbed: vec![(now, now)],
            start_at: None,
            resume_at: None,
            is_stopping: false,
            is_ready: false,
            own_ends: 0,
        }
    }

    /// Returns where callers reach it.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 7000)
    }

    /// Waits until it says that it is ready.
    pub(crate) fn wait_ready(&self) {
        wait_until("ready", || self.says_ready());
    }

    /// Asks it whether it is ready.
    fn says_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), 7001);
        let probe = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        Caller::try_open(address)
            .is_some_and(|mut caller| caller.send(probe).answer().status == 200)
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.unwrap().success());
    }

    /// Kills it.
    pub(crate) fn kill(&mut self) {
        if !self.is_stopping {
            self.down_since = Instant::now();
        }
        self.child.kill().unwrap();
    }

    /// Kills it until a moment, whatever it is doing.
    pub(crate) fn kill_until(&mut self, start_at: Instant) {
        if self.start_at.is_none() {
            self.kill();
        }
        self.start_at = Some(start_at);
        (self.resume_at, self.is_stopping, self.is_ready) = (None, false, false);
    }

    /// Has it stop. It is started again when it has.
    pub(crate) fn stop(&mut self) {
        if self.is_up() {
            self.down_since = Instant::now();
            self.is_stopping = true;
            self.signal("TERM");
        }
    }

    /// Has it read its settings again.
    pub(crate) fn reload(&self) {
        if self.is_up() {
            self.signal("HUP");
        }
    }

    /// Suspends it for a time, also while it stops.
    pub(crate) fn suspend(&mut self, span: Duration) {
        if self.start_at.is_none() && self.resume_at.is_none() {
            self.signal("STOP");
            self.resume_at = Some(Instant::now() + span);
            self.disturbed.push((Instant::now(), Instant::now() + span));
        }
    }

    /// Starts it again once it has ended.
    pub(crate) fn start_again(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn(&self.path, self.ip);
        self.disturbed.push((self.down_since, Instant::now()));
        (self.start_at, self.is_stopping, self.is_ready) = (None, false, false);
    }

    /// Does what is due. Returns whether it runs and is ready.
    pub(crate) fn poll(&mut self) -> bool {
        let is_due = |at: Option<Instant>| at.is_some_and(|at| Instant::now() >= at);
        if is_due(self.resume_at) {
            self.signal("CONT");
            self.resume_at = None;
            self.disturbed.push((Instant::now(), Instant::now()));
        }
        if self.start_at.is_some() {
            if is_due(self.start_at) {
                self.start_again();
            }
            return false;
        }
        if let Some(status) = self.child.try_wait().unwrap() {
            // A signal that comes before it is handled ends the process.
            let is_told = matches!(status.signal(), Some(SIGHUP | SIGTERM))
                || self.is_stopping && status.success();
            self.own_ends += usize::from(!is_told);
            self.start_again();
        }
        if !self.is_ready && self.is_up() {
            self.is_ready = self.says_ready();
        }
        self.is_ready && self.is_up()
    }

    /// Returns whether it neither is down nor stops nor is suspended.
    pub(crate) fn is_up(&self) -> bool {
        self.start_at.is_none() && self.resume_at.is_none() && !self.is_stopping
    }

    /// Returns whether it was undisturbed for a time before a moment, and stays so for as long.
    pub(crate) fn was_stable(&self, at: Instant, span: Duration) -> bool {
        let mut disturbed = self.disturbed.iter();
        disturbed.all(|(from, until)| at + span < *from || *until + span < at)
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the process. Its log goes to a file beside its settings.
fn spawn(path: &PathBuf, ip: Ipv4Addr) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path.with_extension("log"))
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_flaxtide"))
        .args(["enter", "--config"])
        .arg(path)
        .env("FLAXTIDE_LOG", "info")
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .unwrap_or_else(|cause| panic!("{ip}: {cause}"))
}
