//! Small stand-ins for the cases of the review: a store, workers, clients, and the processes of the
//! system. They use the standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The key of the one tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// What happened, for `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    /// Starts an empty record.
    pub fn start() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut file = io::BufWriter::new(File::create(folder.join("record.txt"))?);
        for (at, line) in lines {
            writeln!(file, "{at:9.3} s  {line}")?;
        }
        file.flush()
    }
}

/// The outcome of a case.
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case couldn't run.
    Failed(String),
}

/// Writes the record and returns the exit code.
pub fn finish(record: &Record, folder: &Path, verdict: Verdict) -> ExitCode {
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("rule held: {text}"), 0),
        Verdict::Broken(text) => (format!("rule broken: {text}"), 1),
        Verdict::Failed(text) => (format!("case could not run: {text}"), 2),
    };
    println!("{text}");
    record.add(text);
    if let Err(cause) = record.write(folder) {
        println!("record.txt not written: {cause}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

/// Loopback addresses that nobody else uses.
pub struct Addresses {
    block: (u8, u8),
}

impl Addresses {
    /// Chooses a block of addresses in which the given ports are free.
    pub fn choose() -> Self {
        let seed = std::process::id();
        for attempt in 0..200 {
            let number = seed.wrapping_mul(7).wrapping_add(attempt * 131);
            let block = ((60 + number % 180) as u8, (number / 180 % 250) as u8);
            let free = [1_u8, 2, 10, 20]
                .iter()
                .all(|host| TcpListener::bind((ip(block, *host), 7000)).is_ok());
            if free {
                return Self { block };
            }
        }
        panic!("no free loopback addresses");
    }

    /// Returns an address of the block.
    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.block, host), port)
    }
}

/// Returns an address of a block.
fn ip(block: (u8, u8), host: u8) -> std::net::IpAddr {
    std::net::IpAddr::from([127, block.0, block.1, host])
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (bits >> (18 - 6 * place)) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A request, as a stand-in has read it.
pub struct Request {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers, with names in lowercase.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Reads a request whose body, if any, has a length. Returns `None` at the end of the
    /// connection.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let line = read_line(reader).ok()??;
        let mut words = line.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let headers = read_headers(reader).ok()?;
        let length = find_header(&headers, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(Self { method, path, headers, body })
    }
}

/// Reads a line without its end, or `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads headers up to the empty line.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = vec![];
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
    }
}

/// Finds a header.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// The platform's store: rows that are read and followed.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
}

/// The rows of a store.
#[derive(Default)]
struct Rows {
    rows: Vec<Row>,
    version: u64,
}

/// A row.
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve_store(&stream, &state));
            }
        });
        Ok(Self { address, state })
    }

    /// Writes a row, or drops it.
    pub fn put(&self, table: &str, key: &str, json: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.retain(|row| row.table != table || row.key != key);
        state.rows.push(Row {
            table: table.into(),
            key: key.into(),
            value: json.map(|json| base64(json.as_bytes())),
            version,
        });
        changed.notify_all();
    }
}

/// Serves one connection to a store.
fn serve_store(stream: &TcpStream, state: &(Mutex<Rows>, Condvar)) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Some(request) = Request::read(&mut reader) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |wanted: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == wanted).map(|(_, value)| value)
        };
        let table = field("table").unwrap_or_default();
        let since: u64 = field("since_rev").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait: u64 = field("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(4));
        let until = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = state;
        let mut rows = rows.lock().unwrap();
        let body = match path {
            "/api/rows-get" => spell_rows(&rows, table, None),
            "/api/rows-feed" => loop {
                let is_new =
                    rows.rows.iter().any(|row| row.table == table && row.version > since);
                let left = until.saturating_duration_since(Instant::now());
                if is_new || left.is_zero() {
                    break spell_rows(&rows, table, Some(since));
                }
                rows = changed.wait_timeout(rows, left).unwrap().0;
            },
            _ => "{\"rows\":[]}".into(),
        };
        drop(rows);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Spells the rows of a table, or those that changed after a version.
fn spell_rows(rows: &Rows, table: &str, since: Option<u64>) -> String {
    let wanted = rows.rows.iter().filter(|row| {
        row.table == table
            && match since {
                Some(since) => row.version > since,
                None => row.value.is_some(),
            }
    });
    let mut wanted: Vec<&Row> = wanted.collect();
    match since {
        Some(_) => wanted.sort_by_key(|row| row.version),
        None => wanted.sort_by(|one, other| one.key.cmp(&other.key)),
    }
    let spelled: Vec<String> = wanted
        .into_iter()
        .map(|row| {
            let value = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"removed\":true".into(),
            };
            format!(
                "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",{value},\"ver\":{}}}",
                row.table, row.key, row.version
            )
        })
        .collect();
    format!(
        "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":1}}",
        spelled.join(","),
        rows.version
    )
}

/// Returns the row of a worker.
pub fn worker_row(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1}}"
    )
}

/// A route of the configuration.
pub struct Route {
    /// Its name.
    pub name: &'static str,
    /// Its prefix.
    pub prefix: &'static str,
    /// Its kind.
    pub kind: &'static str,
    /// The longest time that a request is kept waiting.
    pub timeout_ms: u32,
    /// The time within which an answer earns its full credit.
    pub target_ms: u32,
    /// The most workers to which an attempt may be sent.
    pub attempts: u32,
    /// Further fields, each with a comma before it.
    pub more: &'static str,
}

/// Returns the configuration with one service and one tenant.
pub fn config(version: u64, service: &str, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":2,\"service\":\"{service}\",\
                 \"max_attempts\":{},\"anonymous\":false,\"session_affinity\":false,\
                 \"stream_resume\":false{}}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.target_ms,
                route.attempts,
                route.more
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":2000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    )
}

/// Where an instance is and whom it knows.
pub struct Place<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
    /// The region of each zone, as JSON.
    pub zones: &'a str,
    /// Its address, of which the port is that of clients.
    pub address: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The `control` addresses of some machines.
    pub seeds: &'a [SocketAddr],
}

/// A process of the system, ended when it is dropped.
pub struct Instance {
    /// Its address for clients.
    pub address: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Writes the instance file as `platform/instance.yaml` is rendered, and starts the process as
    /// the deploy file does.
    pub fn start(place: &Place<'_>, folder: &Path) -> io::Result<Self> {
        let ip = place.address.ip();
        let seeds: Vec<String> =
            place.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "name: \"{}\"\ndata_centre: \"{}\"\nregion: \"{}\"\nregions: {}\nip: \"{ip}\"\n\
             callers: \"{}\"\nready: \"{ip}:8220\"\nready_path: /api/readiness\n\
             fleet: \"{ip}:8229\"\nforward: \"{ip}:7355\"\nmetrics: \"{ip}:7340\"\nseeds: [{}]\n\
             platform: \"{}\"\nstop_within: 8s\nleave_within: 2000ms\nrules_within: 2000ms\n\
             row_renewal: 1200ms\nretry_ratio: 0.2\nretry_slack: 58\nmemory_mb: 260\n\
             descriptors: 4100\n",
            place.name,
            place.zone,
            place.region,
            place.zones,
            place.address,
            seeds.join(","),
            place.store
        );
        let file = folder.join(format!("{}.yaml", place.name));
        std::fs::write(&file, text)?;
        let mut instance = Self { address: place.address, file, child: None };
        instance.run()?;
        Ok(instance)
    }

    /// Starts the process.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))?;
        let root = std::env::var("FLAXTIDE_ROOT").unwrap_or_else(|_| ".".into());
        let child = Command::new(Path::new(&root).join("target/release/flaxtide"))
            .args(["enter", "--config"])
            .arg(&self.file)
            .current_dir(root)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let pid = child.id().to_string();
        Command::new("kill").arg(format!("-{signal}")).arg(pid).status().map(drop)
    }

    /// Waits until the process has ended, for a time at most. Returns how it ended.
    pub fn wait(&mut self, most: Duration) -> io::Result<Option<String>> {
        let start = Instant::now();
        let Some(child) = &mut self.child else { return Ok(None) };
        while start.elapsed() < most {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status.to_string()));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(None)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address.ip(), 8220);
        let Ok(mut stream) =
            TcpStream::connect_timeout(&address, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let call = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(call.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Waits until the process is ready.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder.
    pub fn create() -> io::Result<Self> {
        let name = format!("flaxtide-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; 0 if the connection ended before the head.
    pub status: u16,
    /// The headers, with names in lowercase.
    pub headers: Vec<(String, String)>,
    /// The number of bytes of the body.
    pub length: usize,
    /// Whether the body is complete.
    pub whole: bool,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a machine, within a second.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: BufReader::with_capacity(16 * 1024, stream) })
    }

    /// Sends a request with a body.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nFlaxtide-Attempt-Id: {id}\r\n\
             Flaxtide-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{length}\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Receives an answer within a time. `pace` is called with the number of bytes after each piece
    /// of the body.
    pub fn receive(&mut self, within: Duration, mut pace: impl FnMut(usize)) -> Answer {
        let mut answer = Answer { status: 0, headers: vec![], length: 0, whole: false };
        let until = Instant::now() + within;
        let _ = self.reader.get_ref().set_read_timeout(Some(within));
        let Ok(Some(line)) = read_line(&mut self.reader) else { return answer };
        answer.status =
            line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let Ok(headers) = read_headers(&mut self.reader) else { return answer };
        answer.headers = headers;
        let length = find_header(&answer.headers, "content-length");
        let Some(length) = length.and_then(|text| text.parse().ok()) else {
            return answer;
        };
        let mut piece = vec![0; 16 * 1024];
        while answer.length < length {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return answer;
            }
            let _ = self.reader.get_ref().set_read_timeout(Some(left));
            let most = piece.len().min(length - answer.length);
            match self.reader.read(&mut piece[..most]) {
                Ok(0) | Err(_) => return answer,
                Ok(count) => answer.length += count,
            }
            pace(answer.length);
        }
        answer.whole = true;
        answer
    }
}

/// Counts the requests that a worker runs, with its slots and queue.
pub struct Slots {
    slots: usize,
    queue: usize,
    state: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Creates free slots and an empty queue.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self { slots, queue, state: Mutex::default(), freed: Condvar::new() }
    }

    /// Takes a slot, or returns `false` if the queue is full.
    pub fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 >= self.slots && state.1 >= self.queue {
            return false;
        }
        state.1 += 1;
        while state.0 >= self.slots {
            state = self.freed.wait(state).unwrap();
        }
        *state = (state.0 + 1, state.1 - 1);
        true
    }

    /// Frees a slot.
    pub fn free(&self) {
        self.state.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// Returns how often each request has run, by its id.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<(f64, String)>>>);

impl Runs {
    /// Records a run of a request by a worker.
    pub fn add(&self, id: &str, worker: &str, at: f64) {
        let mut runs = self.0.lock().unwrap();
        runs.entry(id.to_owned()).or_default().push((at, worker.to_owned()));
    }

    /// Returns the requests that have run more than once.
    pub fn repeated(&self) -> Vec<(String, Vec<(f64, String)>)> {
        let runs = self.0.lock().unwrap();
        let repeated = runs.iter().filter(|(_, runs)| runs.len() > 1);
        let mut repeated: Vec<_> =
            repeated.map(|(id, runs)| (id.clone(), runs.clone())).collect();
        repeated.sort_by(|one, other| one.0.cmp(&other.0));
        repeated
    }

    /// Returns whether a request has run.
    pub fn has(&self, id: &str) -> bool {
        self.0.lock().unwrap().contains_key(id)
    }

    /// Returns the number of requests that have run.
    pub fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }
}

/// Numbers things.
pub fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}
