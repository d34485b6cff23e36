//! Case 2: an instance that gets SIGTERM exits while it still writes whole answers to clients that
//! read slowly.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    Addresses, Answer, Client, Instance, Place, Record, Request, Route, Store, TempFolder, Verdict,
    config, finish, has_trouble, worker_row,
};

const SERVICE: &str = "gohu54b";
const ZONES: [&str; 3] = ["tln-a", "tln-b", "mrd-c"];
const ZONE_REGIONS: &str =
    "{\"tln-a\":\"ee-north\",\"tln-b\":\"ee-north\",\"mrd-c\":\"ee-north\"}";

/// The length of an answer, and how many bytes a client reads in a second: 7 s for an answer.
const ANSWER_BYTES: usize = 14_000_000;
const BYTES_PER_S: f64 = 2_000_000.0;
/// How long a client waits, and the timeout of the route.
const DEADLINE: Duration = Duration::from_secs(15);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// How many clients of each instance ask for an answer.
const CLIENTS: usize = 2;
/// When SIGTERM comes after the requests were sent.
const TERM_AFTER: Duration = Duration::from_millis(500);

/// Serves one connection to a worker.
fn serve(mut stream: TcpStream, worker: &str, record: &Record) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("flaxtide-attempt-id").unwrap_or_default().to_owned();
        record.add(format!("worker {worker} begins to run {id}"));
        thread::sleep(Duration::from_millis(60));
        let head = format!(
            "HTTP/1.1 200 OK\r\nFlaxtide-Attempt-Id: {id}\r\nFlaxtide-Response-Seal: {worker}.{id}\r\n\
             Content-Type: application/octet-stream\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
        );
        let piece = vec![b'x'; 100_000];
        let mut is_written = stream.write_all(head.as_bytes()).is_ok();
        for _ in 0..ANSWER_BYTES / piece.len() {
            is_written = is_written && stream.write_all(&piece).is_ok();
        }
        record.add(format!("worker {worker} has written its whole answer to {id}: {is_written}"));
    }
}

/// Asks for an answer, and reads it slowly.
fn ask(address: SocketAddr, id: &str, record: &Record) -> Option<Answer> {
    let mut client = Client::connect(address)?;
    record.add(format!("a client sends {id} to {address}"));
    client.send("GET", "/cufi504/1", id, DEADLINE.as_millis() as u64, &[]).ok()?;
    let start = Instant::now();
    let answer = client.receive(DEADLINE, |length| {
        let due = Duration::from_secs_f64(length as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_sub(start.elapsed()));
    });
    record.add(format!(
        "the client of {id} has got {} with {} of {ANSWER_BYTES} bytes, whole: {}",
        answer.status, answer.length, answer.whole
    ));
    Some(answer)
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
        name: "r-owner",
        prefix: "/cufi504/",
        kind: "idempotent",
        timeout_ms: 15000,
        target_ms: 2000,
        attempts: 2,
        more: "",
    };
    store.put("op", "config", Some(&config(7, SERVICE, &[route])));
    for place in 0..3_u8 {
        let worker = format!("i-{place}a7c1e0{place}");
        let address = addresses.at(10 + place, 8026);
        let listener = TcpListener::bind(address)?;
        let row = worker_row(SERVICE, address, ZONES[usize::from(place)], 6);
        store.put("servers", &worker, Some(&row));
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, record) = (worker.clone(), record.clone());
                thread::spawn(move || serve(stream, &worker, &record));
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
    // Calm for `stable_ms` before the requests.
    thread::sleep(Duration::from_millis(3500));
    let mut incomplete = 0;
    let mut complete = 0;
    // The instances are stopped and started in turn.
    for (turn, instance) in instances.iter_mut().enumerate() {
        let address = instance.address;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let record = record.clone();
                thread::spawn(move || ask(address, &format!("c{turn}-{number}"), &record))
            })
            .collect();
        thread::sleep(TERM_AFTER);
        if has_trouble() {
            record.add(format!("SIGTERM to {address}"));
            instance.signal("TERM")?;
            let ended = instance.wait(GRACE)?;
            record.add(format!("the process at {address} has ended: {ended:?}"));
            instance.kill();
        }
        for client in clients {
            match client.join().ok().flatten() {
                Some(answer) if answer.status == 200 && answer.whole => complete += 1,
                Some(answer) if answer.status == 200 => incomplete += 1,
                _ => return Ok(Verdict::Failed("a client got no answer at all".into())),
            }
        }
        if has_trouble() {
            instance.run()?;
            if !instance.wait_ready() {
                return Ok(Verdict::Failed("the instance isn't back".into()));
            }
            // Calm again before the next turn.
            thread::sleep(Duration::from_millis(3500));
        }
    }
    let summary = format!("{complete} complete answers, {incomplete} that ended early");
    Ok(if incomplete == 0 { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
