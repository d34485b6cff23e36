//! An instance as a process, which can be killed, stopped, suspended and started again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use super::common::{Caller, instance_text, wait_until};

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
        }
    }

    /// Returns where callers reach it.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 7000)
    }

    /// Waits until it says that it is ready.
    pub(crate) fn wait_ready(&self) {
        let address = SocketAddr::new(IpAddr::V4(self.ip), 7001);
        let probe = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        wait_until("ready", || {
            Caller::try_open(address)
                .is_some_and(|mut caller| caller.send(probe).answer().status == 200)
        });
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
        assert!(status.unwrap().success());
    }

    /// Kills it.
    pub(crate) fn kill(&mut self) {
        self.down_since = Instant::now();
        self.child.kill().unwrap();
    }

    /// Kills it, and starts it again.
    pub(crate) fn kill_and_start(&mut self) {
        self.kill();
        self.start_until_ready();
    }

    /// Has it stop, and starts it again when it has.
    pub(crate) fn stop_and_start(&mut self) {
        self.down_since = Instant::now();
        self.signal("TERM");
        self.start_until_ready();
    }

    /// Suspends it for a time.
    pub(crate) fn suspend(&mut self, span: Duration) {
        let from = Instant::now();
        self.signal("STOP");
        thread::sleep(span);
        self.signal("CONT");
        self.disturbed.push((from, Instant::now()));
    }

    /// Starts it again once it has ended.
    pub(crate) fn start_again(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn(&self.path, self.ip);
        self.disturbed.push((self.down_since, Instant::now()));
    }

    /// Starts it again, and waits until it is ready.
    fn start_until_ready(&mut self) {
        self.start_again();
        self.wait_ready();
        self.disturbed.push((self.down_since, Instant::now()));
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
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|cause| panic!("{ip}: {cause}"))
}
