//! Case 1: a second answer of a worker to an earlier request, with that request's id and status 421,
//! is taken for the answer to the next request on the connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    Addresses, Client, Instance, Place, Record, Request, Route, Runs, Slots, Store, TempFolder,
    Verdict, config, finish, has_trouble, next_number, worker_row,
};

const SERVICE: &str = "gohu54b";
const ZONES: [&str; 3] = ["tln-a", "tln-b", "mrd-c"];
const ZONE_REGIONS: &str =
    "{\"tln-a\":\"ee-north\",\"tln-b\":\"ee-north\",\"mrd-c\":\"ee-north\"}";

/// How long clients send.
const LENGTH: Duration = Duration::from_secs(68);
/// When workers give second answers, in seconds from the start of traffic.
const WINDOWS: [(f64, f64); 6] =
    [(4.0, 9.0), (15.0, 20.0), (26.0, 31.0), (37.0, 42.0), (48.0, 53.0), (59.0, 64.0)];
/// One of so many answers is followed by a second one (0.03 of them).
const ONE_OF: usize = 34;
/// How many of the three workers do so (a share of 0.33).
const FAULTY: usize = 1;
/// The time that a worker works on a request.
const WORK: Duration = Duration::from_millis(60);
/// How many clients there are, and the time between two requests of one: 21 requests a second.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(1120);

struct Worker {
    id: String,
    faulty: bool,
    slots: Slots,
    answers: AtomicUsize,
    active: Arc<AtomicBool>,
    runs: Arc<Runs>,
    record: Arc<Record>,
    extras: Arc<AtomicUsize>,
}

impl Worker {
    /// Serves the requests of one connection, one at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        // The request that is to be answered a second time.
        let mut owed: Option<String> = None;
        while let Some(request) = Request::read(&mut reader) {
            let id = request.header("flaxtide-attempt-id").unwrap_or_default().to_owned();
            if request.header("flaxtide-target-instance") != Some(&self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nFlaxtide-Attempt-Id: {id}\r\n\
                     Flaxtide-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            if !self.slots.take() {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nFlaxtide-Attempt-Id: {id}\r\n\
                     Flaxtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            self.record.add(format!("worker {} begins to run {id}", self.id));
            self.runs.add(&id, &self.id, self.record.now());
            if let Some(earlier) = owed.take() {
                // The late second answer, where the answer to this request is expected.
                let extra = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nFlaxtide-Attempt-Id: {earlier}\r\n\
                     Flaxtide-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                self.record.add(format!(
                    "worker {} sends a second answer to {earlier} (421), while it runs {id}",
                    self.id
                ));
                self.extras.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(extra.as_bytes());
            }
            thread::sleep(WORK);
            self.slots.free();
            let body = format!("done {id}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nFlaxtide-Attempt-Id: {id}\r\nFlaxtide-Response-Seal: {}.{id}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let count = self.answers.fetch_add(1, Ordering::SeqCst);
            if self.faulty && self.active.load(Ordering::SeqCst) && count % ONE_OF == 0 {
                owed = Some(id);
            }
        }
    }
}

/// Sends requests until a time, each a client attempt of its own.
fn run_client(number: usize, address: SocketAddr, until: Instant, record: &Record) -> usize {
    let mut client = None;
    let mut answered = 0;
    thread::sleep(PAUSE * number as u32 / CLIENTS as u32);
    while Instant::now() < until {
        let began = Instant::now();
        let serial = next_number();
        // Of ten requests, seven aren't idempotent.
        let is_unsafe = serial % 10 < 7;
        let mut tries = 0;
        loop {
            let id = format!("{}{serial:08x}{tries:02x}", if is_unsafe { "a" } else { "b" });
            let (method, path) = match is_unsafe {
                true => ("POST", format!("/puxa403/{number}")),
                false => ("GET", format!("/cufi504/{number}")),
            };
            if client.is_none() {
                client = Client::connect(address);
            }
            let Some(link) = &mut client else { break };
            record.add(format!("client {number} sends {id} ({method} {path})"));
            let sent = link.send(method, &path, &id, 4000, &[b'x'; 600]);
            let answer = sent.map(|()| link.receive(Duration::from_millis(4000), |_| {}));
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.add(format!("client {number} gets {status} to {id}"));
            let closes = answer.as_ref().is_ok_and(|answer| {
                let mut headers = answer.headers.iter();
                headers.any(|(name, value)| name == "connection" && value == "close")
            });
            if closes || answer.as_ref().map_or(true, |answer| !answer.whole) {
                client = None;
            }
            answered += usize::from(status == 200);
            // Only a promise that the request hasn't run lets it be sent again.
            if ![429, 503, 408, 421].contains(&status) || tries == 1 {
                break;
            }
            tries += 1;
            client = None;
            thread::sleep(Duration::from_millis(200));
        }
        thread::sleep(PAUSE.saturating_sub(began.elapsed()));
    }
    answered
}

fn main() -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = Record::start();
    let verdict = play(&record).unwrap_or_else(|cause| Verdict::Failed(cause.to_string()));
    finish(&record, &folder, verdict)
}

fn play(record: &Arc<Record>) -> std::io::Result<Verdict> {
    let temp = TempFolder::create()?;
    let addresses = Addresses::choose();
    let store = Store::start(addresses.at(1, 8223))?;
    let route = |name, prefix, kind, attempts| Route {
        name,
        prefix,
        kind,
        timeout_ms: 2000,
        target_ms: 300,
        attempts,
        more: "",
    };
    let routes = [
        route("r-plate", "/puxa403/", "non_idempotent", 1),
        route("r-owner", "/cufi504/", "idempotent", 2),
    ];
    store.put("op", "config", Some(&config(7, SERVICE, &routes)));
    let active = Arc::new(AtomicBool::new(false));
    let runs = Arc::new(Runs::default());
    let extras = Arc::new(AtomicUsize::new(0));
    for place in 0..3_u8 {
        let worker = Arc::new(Worker {
            id: format!("i-{place}a7c1e0{place}"),
            faulty: usize::from(place) < FAULTY,
            slots: Slots::new(6, 24),
            answers: AtomicUsize::new(1),
            active: active.clone(),
            runs: runs.clone(),
            record: record.clone(),
            extras: extras.clone(),
        });
        let address = addresses.at(10 + place, 8026);
        let listener = TcpListener::bind(address)?;
        let row = worker_row(SERVICE, address, ZONES[usize::from(place)], 6);
        store.put("servers", &worker.id, Some(&row));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = worker.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
    }
    let seeds = [addresses.at(20, 8229), addresses.at(21, 8229)];
    let mut instances = vec![];
    for place in 0..2_u8 {
        let name = format!("front-{}-1", ZONES[usize::from(place)]);
        instances.push(Instance::start(
            &Place {
                name: &name,
                zone: ZONES[usize::from(place)],
                region: "ee-north",
                zones: ZONE_REGIONS,
                address: addresses.at(20 + place, 8227),
                store: store.address,
                seeds: &seeds,
            },
            &temp.0,
        )?);
    }
    if !instances.iter().all(Instance::wait_ready) {
        return Ok(Verdict::Failed("the instances aren't ready".into()));
    }
    record.add("traffic starts");
    let start = Instant::now();
    let until = start + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (instances[number % 2].address, record.clone());
            thread::spawn(move || run_client(number, address, until, &record))
        })
        .collect();
    while Instant::now() < until {
        let at = start.elapsed().as_secs_f64();
        let in_window = WINDOWS.iter().any(|(from, to)| (*from..*to).contains(&at));
        active.store(in_window && has_trouble(), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let repeated = runs.repeated();
    let unsafe_twice: Vec<_> =
        repeated.iter().filter(|(id, _)| id.starts_with('a')).collect();
    for (id, runs) in &unsafe_twice {
        let places: Vec<String> =
            runs.iter().map(|(at, worker)| format!("{worker} at {at:.3} s")).collect();
        record.add(format!("TWICE: {id} ran at {}", places.join(" and ")));
    }
    let extras = extras.load(Ordering::SeqCst);
    let summary = format!(
        "{} requests ran, {answered} got 200, {extras} second answers, {} non_idempotent requests \
         ran more than once",
        runs.count(),
        unsafe_twice.len()
    );
    if answered < 500 {
        return Ok(Verdict::Failed(format!("too little was served: {summary}")));
    }
    Ok(match unsafe_twice.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(summary),
    })
}
