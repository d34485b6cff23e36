//! A stand-in for a server of a plain service.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::endless::{EndlessKind, write_endlessly};
use crate::listen::{
    StandinListener, header, read_json, respond_json, respond_leaving, respond_leaving_to,
};

/// A plain service that runs until it is dropped.
pub struct ServiceStandin {
    /// The listener.
    listener: StandinListener,
    /// What it holds.
    state: Arc<ServiceState>,
}

/// The faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Answer this much later, in milliseconds.
    pub delay_ms: u64,
    /// Run this many calls more, and hang up without an answer.
    pub lose_answers: u64,
    /// Run this many calls more, and hang up in the middle of the answer.
    pub cut_answers: u64,
    /// Run this many calls more, and answer with the refusal of another one.
    pub cross_refusals: u64,
    /// Run every call, and answer with this status; 0 for the usual answers.
    pub odd_status: u16,
    /// Run every call, and answer without end.
    pub endless: Option<EndlessKind>,
    /// Answer questions for the load without end.
    pub endless_load: Option<EndlessKind>,
    /// Refuse every call, as a server that is leaving does.
    pub leaving: bool,
}

/// A call that the service has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// The request's id, as flaxtide sent it.
    pub request_id: String,
    /// The idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: String,
}

/// What a plain service holds.
#[derive(Default)]
struct ServiceState {
    /// The faults in force.
    faults: Mutex<ServiceFaults>,
    /// The calls that have been run, in order.
    runs: Mutex<Vec<ServiceRun>>,
}

impl ServiceStandin {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on the address.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(ServiceState::default());
        let answered = state.clone();
        let listener =
            StandinListener::start(address, move |request| answered.answer(request))?;
        Ok(Self { listener, state })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns the calls that have been run.
    #[must_use]
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.state.runs).clone()
    }
}

impl ServiceState {
    /// Answers one request.
    fn answer(&self, mut request: Request) {
        match (request.method(), request.url()) {
            (Method::Post, "/faults") => {
                if let Some(faults) = read_json(&mut request) {
                    *lock(&self.faults) = faults;
                }
                return respond_json(request, 200, &json!({}));
            }
            (Method::Get, "/runs") => {
                let runs = lock(&self.runs).clone();
                return respond_json(request, 200, &runs);
            }
            (Method::Get, "/load") => {
                let faults = lock(&self.faults).clone();
                if let Some(kind) = faults.endless_load {
                    return write_endlessly(request.into_writer(), kind);
                }
                let leaving = faults.leaving;
                let load = json!({ "running": 0, "waiting": 0, "step_us": 0, "leaving": leaving });
                return respond_json(request, 200, &load);
            }
            _ => {}
        }
        let faults = lock(&self.faults).clone();
        if faults.leaving {
            return respond_leaving(request);
        }
        self.run(request, &faults);
    }

    /// Runs a call and answers it.
    fn run(&self, mut request: Request, faults: &ServiceFaults) {
        let mut body = String::new();
        let _ = request.as_reader().read_to_string(&mut body);
        let request_id = header(&request, "X-Request-Id").unwrap_or_default();
        let idempotency_key = header(&request, "Idempotency-Key");
        let number = {
            let mut runs = lock(&self.runs);
            runs.push(ServiceRun {
                request_id: request_id.clone(),
                idempotency_key,
                body: body.clone(),
            });
            runs.len()
        };
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.lose_answers > 0 {
            lock(&self.faults).lose_answers -= 1;
            drop(request.into_writer());
            return;
        }
        if faults.cross_refusals > 0 {
            lock(&self.faults).cross_refusals -= 1;
            return respond_leaving_to(request, "another");
        }
        if faults.cut_answers > 0 {
            lock(&self.faults).cut_answers -= 1;
            let mut writer = request.into_writer();
            // The caller may have hung up first.
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{}");
            return;
        }
        if let Some(kind) = faults.endless {
            return write_endlessly(request.into_writer(), kind);
        }
        if faults.odd_status > 0 {
            let head = format!(
                "HTTP/1.1 {:03} X\r\nX-Request-Id: {request_id}\r\n",
                faults.odd_status
            );
            let _ = request
                .into_writer()
                .write_all(format!("{head}Content-Length: 2\r\n\r\n{{}}").as_bytes());
            return;
        }
        let answer = json!({ "request_id": request_id, "echo": body, "run": number });
        respond_json(request, 200, &answer);
    }
}

/// Locks. A panic elsewhere doesn't spoil the data of a stand-in.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
