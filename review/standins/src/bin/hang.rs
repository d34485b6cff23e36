//! Case 3: uploads that are read at the same time share a budget of memory piece by piece. When it is
//! used up before any of them is complete, they wait for each other, and all other requests with a
//! body wait behind them.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    Addresses, HOST, Instance, KEY, Place, Record, Request, Route, Slots, Store, TempFolder,
    Verdict, config, finish, has_trouble, next_number, read_line, worker_row,
};

const SERVICE: &str = "gohu54b";
const ZONES: [&str; 3] = ["tln-a", "tln-b", "mrd-c"];
const ZONE_REGIONS: &str =
    "{\"tln-a\":\"ee-north\",\"tln-b\":\"ee-north\",\"mrd-c\":\"ee-north\"}";

/// The route's `timeout_ms` and the clients' deadline (`plate-lookup`).
const TIMEOUT: Duration = Duration::from_millis(2000);
const DEADLINE: Duration = Duration::from_millis(4000);
/// The length of a large body: `max_body_bytes`. It takes a client 1 s to send it (32 Mbit/s).
const LARGE: usize = 4_194_304;
const PIECE: usize = 65_536;
const PIECE_PAUSE: Duration = Duration::from_micros(15_625);
/// The length of a small body.
const SMALL: usize = 600;
/// When clients begin uploads, in seconds from the start of traffic, and how many do at each machine.
const ROUNDS: [f64; 7] = [1.0, 5.0, 9.0, 13.0, 17.0, 21.0, 25.0];
const USUAL: usize = 6;
/// With the burst: 13 instead of 6 (2.17 times as many), in two rounds.
const BURST: usize = 13;
const BURST_ROUNDS: [usize; 2] = [2, 3];
/// How long clients send, and the pause between two small requests to a machine.
const LENGTH: Duration = Duration::from_secs(30);
const SMALL_PAUSE: Duration = Duration::from_millis(100);

/// What came of a request.
struct Outcome {
    machine: usize,
    large: bool,
    status: u16,
    spent: Duration,
}

/// Serves one connection to a worker.
fn serve(mut stream: TcpStream, worker: &str, slots: &Slots, record: &Record) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("flaxtide-attempt-id").unwrap_or_default().to_owned();
        let is_run = slots.take();
        let answer = if is_run {
            record.add(format!("worker {worker} runs {id}, {} bytes", request.body.len()));
            thread::sleep(Duration::from_millis(60));
            slots.free();
            format!(
                "HTTP/1.1 200 OK\r\nFlaxtide-Attempt-Id: {id}\r\n\
                 Flaxtide-Response-Seal: {worker}.{id}\r\nContent-Length: 4\r\n\r\ndone"
            )
        } else {
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nFlaxtide-Attempt-Id: {id}\r\n\
                 Flaxtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request on a connection of its own, and waits for the answer until the deadline.
fn send(machine: usize, address: SocketAddr, length: usize, record: &Record) -> Outcome {
    let large = length == LARGE;
    let id = format!("{}{:08x}", if large { "a" } else { "b" }, next_number());
    let start = Instant::now();
    record.add(format!("a client sends {id} to machine {machine}, {length} bytes"));
    let status = exchange(address, &id, length, start).unwrap_or(0);
    let spent = start.elapsed();
    record.add(format!("the client of {id} has {status} after {} ms", spent.as_millis()));
    Outcome { machine, large, status, spent }
}

/// Sends a request, and returns the status of the answer.
fn exchange(address: SocketAddr, id: &str, length: usize, start: Instant) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "POST /puxa403/1 HTTP/1.1\r\nHost: {HOST}\r\nFlaxtide-Attempt-Id: {id}\r\n\
         Flaxtide-Deadline-Ms: {}\r\nApi-Key: {KEY}\r\nContent-Length: {length}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let mut writer = stream.try_clone().ok()?;
    let sender = thread::spawn(move || {
        let piece = vec![b'x'; PIECE];
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        for (number, from) in (0..length).step_by(PIECE).enumerate() {
            // The client's link carries no more.
            let due = PIECE_PAUSE * number as u32;
            thread::sleep(due.saturating_sub(start.elapsed()));
            is_sent = is_sent && writer.write_all(&piece[..PIECE.min(length - from)]).is_ok();
        }
    });
    let left = DEADLINE.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let line = read_line(&mut reader);
    let _ = stream.shutdown(Shutdown::Both);
    let _ = sender.join();
    line.ok()??.split(' ').nth(1)?.parse().ok()
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
    let route = Route {
        name: "r-plate",
        prefix: "/puxa403/",
        kind: "non_idempotent",
        timeout_ms: TIMEOUT.as_millis() as u32,
        target_ms: 300,
        attempts: 1,
        more: "",
    };
    store.put("op", "config", Some(&config(7, SERVICE, &[route])));
    for place in 0..3_u8 {
        let worker = format!("i-{place}a7c1e0{place}");
        let address = addresses.at(10 + place, 8026);
        let listener = TcpListener::bind(address)?;
        let row = worker_row(SERVICE, address, ZONES[usize::from(place)], 6);
        store.put("servers", &worker, Some(&row));
        let (record, slots) = (record.clone(), Arc::new(Slots::new(6, 24)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, slots, record) = (worker.clone(), slots.clone(), record.clone());
                thread::spawn(move || serve(stream, &worker, &slots, &record));
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
    thread::sleep(Duration::from_millis(3500));
    record.add("traffic starts");
    let start = Instant::now();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = vec![];
    for (machine, instance) in instances.iter().enumerate() {
        let address = instance.address;
        for (round, at) in ROUNDS.iter().enumerate() {
            let is_burst = has_trouble() && BURST_ROUNDS.contains(&round);
            for _ in 0..if is_burst { BURST } else { USUAL } {
                let (record, outcomes) = (record.clone(), outcomes.clone());
                let due = Duration::from_secs_f64(*at);
                threads.push(thread::spawn(move || {
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let outcome = send(machine, address, LARGE, &record);
                    outcomes.lock().unwrap().push(outcome);
                }));
            }
        }
        for number in 0..(LENGTH.as_millis() / SMALL_PAUSE.as_millis()) as u32 {
            let (record, outcomes) = (record.clone(), outcomes.clone());
            threads.push(thread::spawn(move || {
                thread::sleep((SMALL_PAUSE * number).saturating_sub(start.elapsed()));
                let outcome = send(machine, address, SMALL, &record);
                outcomes.lock().unwrap().push(outcome);
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let served = outcomes.iter().filter(|it| it.status == 200).count();
    let mut broken = vec![];
    let mut summary = format!("{} requests, {served} served", outcomes.len());
    for machine in 0..instances.len() {
        let late: Vec<&Outcome> = outcomes
            .iter()
            .filter(|it| it.machine == machine && it.spent >= TIMEOUT)
            .collect();
        let unanswered = late.iter().filter(|it| {
            it.status == 0 || it.spent >= TIMEOUT + Duration::from_millis(500)
        });
        let (large, small): (Vec<&&Outcome>, Vec<&&Outcome>) = unanswered.partition(|it| it.large);
        let count = large.len() + small.len();
        summary.push_str(&format!(
            "; machine {machine}: {} unanswered at timeout_ms, {count} of them still 0.5 s later \
             ({} uploads, {} small requests)",
            late.len(),
            large.len(),
            small.len()
        ));
        if count >= 8 && count * 2 > late.len() {
            broken.push(machine);
        }
    }
    if served < 100 {
        return Ok(Verdict::Failed(format!("too little was served: {summary}")));
    }
    Ok(if broken.is_empty() { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
