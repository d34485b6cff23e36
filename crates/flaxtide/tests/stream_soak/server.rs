//! A backend server, which runs in a process of its own.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::common::Seen;
use super::common::server::{NOT_RUN, chunk, is_stream, read_request};
use super::common::wire::{attempt_header, seal_header, server_header};
use super::content::{Content, Framing};

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// How often a server that is to exit looks whether it still answers requests.
const STEP: Duration = Duration::from_millis(1);

/// A server.
struct Server {
    name: String,
    is_unframed: bool,
    /// The file of all requests that servers run.
    runs: File,
    is_leaving: AtomicBool,
    /// How many requests it answers now.
    active: AtomicUsize,
}

/// Serves until the process is ended, or its standard input is. `settings` are its name, address,
/// whether it frames nothing, and the file of runs, separated by spaces.
pub(crate) fn run(settings: &str) {
    let [name, address, is_unframed, runs] = settings
        .splitn(4, ' ')
        .collect::<Vec<_>>()
        .try_into()
        .expect("four settings");
    let listener = listen(address.parse().expect("an address"));
    let server = Arc::new(Server {
        name: name.to_owned(),
        is_unframed: is_unframed == "true",
        runs: File::options().append(true).open(runs).expect("a file of runs"),
        is_leaving: AtomicBool::new(false),
        active: AtomicUsize::new(0),
    });
    let shared = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = shared.clone();
            thread::spawn(move || server.serve(stream));
        }
    });
    for command in std::io::stdin().lines().map_while(Result::ok) {
        server.is_leaving.store(true, Ordering::SeqCst);
        if command == "exit" {
            while server.active.load(Ordering::SeqCst) > 0 {
                thread::sleep(STEP);
            }
            return;
        }
    }
}

/// Listens at an address that the process before may still have.
fn listen(address: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    socket.into()
}

impl Server {
    /// Serves a connection.
    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut rest = vec![];
        while let Some(request) = read_request(&mut stream, &mut rest) {
            let is_other = request.target().is_some_and(|name| name != self.name);
            let is_open = if is_other || request.line.starts_with("GET /health ") {
                self.answer_briefly(&mut stream, &request, is_other)
            } else {
                self.active.fetch_add(1, Ordering::SeqCst);
                let is_open = self.answer(&mut stream, &request);
                self.active.fetch_sub(1, Ordering::SeqCst);
                is_open
            };
            if is_open != Some(true) {
                return;
            }
        }
    }

    /// Answers a health check, or a request that is meant for another server. Returns whether the
    /// connection stays open.
    fn answer_briefly(
        &self,
        stream: &mut TcpStream,
        request: &Seen,
        is_other: bool,
    ) -> Option<bool> {
        let (status, not_run) = match self.is_leaving.load(Ordering::SeqCst) {
            _ if is_other => (421, NOT_RUN),
            true => (503, NOT_RUN),
            false => (200, ""),
        };
        let attempt = match request.attempt() {
            "" => String::new(),
            attempt => attempt_header(attempt),
        };
        let name = server_header(&self.name);
        let head = format!(
            "HTTP/1.1 {status} X\r\n{name}{attempt}{not_run}Content-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok().map(|()| true)
    }

    /// Runs a request, and answers with a pause after each piece. Returns whether the connection
    /// stays open.
    fn answer(&self, stream: &mut TcpStream, request: &Seen) -> Option<bool> {
        let path = request.line.split(' ').nth(1)?;
        let run = format!("{} {path}\n", request.attempt());
        (&self.runs).write_all(run.as_bytes()).expect("runs are written");
        let content = Content::of(path);
        let framing = Framing::draw(path, &self.name, self.is_unframed);
        let pieces = content.pieces_after(request.header("last-event-id"));
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let (version, framed) = match framing {
            Framing::Chunks => ("1.1", "Transfer-Encoding: chunked\r\n".to_owned()),
            Framing::Length => {
                let length: usize = pieces.iter().map(|piece| piece.len()).sum();
                ("1.1", format!("Content-Length: {length}\r\n"))
            }
            Framing::Close => ("1.1", String::new()),
            Framing::CloseOld => ("1.0", String::new()),
        };
        let kind = if is_stream(path) { "text/event-stream" } else { "text/plain" };
        let close = if is_leaving { "Connection: close\r\n" } else { "" };
        let (attempt, seal) =
            (attempt_header(request.attempt()), seal_header(&self.name));
        let head = format!(
            "HTTP/{version} 200 OK\r\n{attempt}{seal}Content-Type: {kind}\r\n\
             {framed}{close}\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for piece in pieces {
            let bytes = match framing {
                Framing::Chunks => chunk(piece),
                _ => piece.as_bytes().to_vec(),
            };
            let half = if content.is_halved { bytes.len() / 2 } else { 0 };
            if half > 0 {
                stream.write_all(&bytes[..half]).ok()?;
                thread::sleep(content.pause / 4);
            }
            stream.write_all(&bytes[half..]).ok()?;
            thread::sleep(content.pause);
        }
        if framing == Framing::Chunks {
            stream.write_all(&chunk("")).ok()?;
        }
        let is_framed = matches!(framing, Framing::Chunks | Framing::Length);
        Some(is_framed && !is_leaving)
    }
}
