//! What the cases of the second review share: instances as processes, callers, and a record.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[path = "../../../platform/tests/common/mod.rs"]
pub mod common;

/// An instance as a process, started with the command of the deploy file.
pub struct Instance {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The process.
    pub child: Child,
}

impl Instance {
    /// Starts an instance in a data centre. `folder` gets its file and its log.
    pub fn start(
        folder: &Path,
        ip: Ipv4Addr,
        zone: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:7003\"")).collect();
        // As platform/instance.yaml renders the settings of a small site.
        let text = format!(
            "name: front-{ip}\ndata_centre: {zone}\nregion: south\n\
             regions: {{zone-a: south, zone-b: south, zone-c: south}}\nip: {ip}\n\
             callers: {ip}:7000\nready: {ip}:7001\nready_path: /api/readiness\n\
             fleet: {ip}:7003\nforward: {ip}:7015\nmetrics: {ip}:7002\nseeds: [{}]\n\
             platform: {store}\nstop_within: 8s\nleave_within: 2000ms\nrules_within: 2000ms\n\
             row_renewal: 1200ms\nretry_ratio: 0.2\nretry_slack: 58\nmemory_mb: 260\n\
             descriptors: 4100\n",
            seeds.join(", ")
        );
        let file = folder.join(format!("{ip}.yaml"));
        std::fs::write(&file, text).unwrap();
        let log = std::fs::File::create(folder.join(format!("{ip}.log"))).unwrap();
        let child = Command::new("target/release/flaxtide")
            .args(["enter", "--config"])
            .arg(&file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { ip, child }
    }

    /// Returns where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 7000)
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip.into(), 7001);
        let probe = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(address, probe.as_bytes(), Duration::from_secs(1)).status == Some(200)
    }

    /// Sends it a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a caller has got.
#[derive(Debug, Clone, Default)]
pub struct Got {
    /// The status, if an answer has begun.
    pub status: Option<u16>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// The head.
    pub head: String,
}

/// Sends a request that asks for the connection to be closed, and reads all that comes.
pub fn exchange(address: SocketAddr, request: &[u8], patience: Duration) -> Got {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Got::default();
    };
    let _ = stream.set_read_timeout(Some(patience));
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return Got::default();
    }
    let mut bytes = vec![];
    let _ = stream.read_to_end(&mut bytes);
    read_answer(&bytes)
}

/// Splits what came into a head and a body.
pub fn read_answer(bytes: &[u8]) -> Got {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let Some(end) = end else { return Got::default() };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Got { status, body: bytes[end + 4..].to_vec(), head }
}

/// Waits until all instances are ready. Returns whether they are.
pub fn await_ready(instances: &[Instance]) -> bool {
    let start = Instant::now();
    while !instances.iter().all(Instance::is_ready) {
        if start.elapsed() > Duration::from_secs(20) {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    true
}

/// What was sent, answered and run, in lines with the time since the start.
pub struct Record {
    /// When the case began.
    pub start: Instant,
    /// The lines.
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Default for Record {
    fn default() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }
}

impl Record {
    /// Adds a line about a moment.
    pub fn add_at(&self, at: Instant, line: String) {
        let at = at.saturating_duration_since(self.start);
        self.lines.lock().unwrap().push((at, line));
    }

    /// Adds a line about now.
    pub fn add(&self, line: String) {
        self.add_at(Instant::now(), line);
    }

    /// Writes all lines in the order of their times, and a verdict.
    pub fn write(&self, path: &Path, verdict: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        let _ = writeln!(text, "{verdict}");
        std::fs::write(path, text).unwrap();
        println!("{verdict}");
    }
}

/// Creates a temporary folder of this process.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
