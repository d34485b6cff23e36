//! The task that watches one engine.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::ServerId;
use hyper::StatusCode;

use super::host::WatchHost;
use super::link::{CallFault, CallHead, EngineAnswer, EngineLink};
use super::pace::{WatchCall, WatchPace};
use super::parts::ReportedParts;
use super::record::{ANSWER_TIMEOUT, CACHE_WAIT, EngineRecord};
use crate::contract::{EngineDialect, FeedError};

/// Watches one engine.
pub(super) struct EngineWatcher<Host> {
    /// The instance.
    host: Rc<Host>,
    /// Translates the calls.
    dialect: Arc<dyn EngineDialect>,
    /// The engine.
    server: ServerId,
    /// The rank of this instance among the watchers of the engine.
    rank: Rc<Cell<usize>>,
    /// The connection to the engine.
    link: EngineLink,
    /// Decides on the next call.
    pace: WatchPace,
    /// What the calls have shown.
    record: EngineRecord,
    /// The last fault of a call.
    last_fault: Option<CallFault>,
    /// The prompt parts reported as cached.
    parts: ReportedParts,
    /// Whether an answer that couldn't be used has been logged.
    has_logged_answer: bool,
}

impl<Host: WatchHost> EngineWatcher<Host> {
    /// Creates the watcher of an engine.
    pub(super) fn new(
        host: Rc<Host>,
        dialect: Arc<dyn EngineDialect>,
        server: ServerId,
        rank: Rc<Cell<usize>>,
    ) -> Self {
        Self {
            record: EngineRecord::new(server, host.key()),
            host,
            dialect,
            server,
            rank,
            link: EngineLink::new(server),
            pace: WatchPace::default(),
            last_fault: None,
            parts: ReportedParts::new(server),
            has_logged_answer: false,
        }
    }

    /// Makes one call after the other. Ends only if its task is aborted.
    pub(super) async fn run(mut self) {
        loop {
            let now = self.host.now();
            let (call, at) = self.pace.next_call(self.reads_reports(), now);
            tokio::time::sleep(at.saturating_sub(now)).await;
            self.make_call(call).await;
        }
    }

    /// Returns whether this watcher is to read the engine's reports.
    fn reads_reports(&self) -> bool {
        self.rank.get() == 0 || !self.host.has_peer_report(self.server)
    }

    /// Makes a call and records its outcome.
    async fn make_call(&mut self, call: WatchCall) {
        let sent_at = self.host.now();
        let wait = match call {
            WatchCall::Report => Duration::ZERO,
            WatchCall::Cache => CACHE_WAIT,
        };
        let limit = wait + ANSWER_TIMEOUT;
        self.pace.begin(call, sent_at);
        let head = self.call_head(call);
        let outcome = match self.link.call(&*self.host, &head, limit).await {
            Ok(answer) => {
                self.record_life();
                self.use_answer(call, answer)
            }
            Err(fault @ CallFault::Reset) => {
                self.record.record_reset();
                fault.to_string()
            }
            Err(fault) => {
                self.record_failure(fault, sent_at + wait);
                fault.to_string()
            }
        };
        self.host.count_call(call, &outcome);
        self.host.record_sighting(self.record.sighting(self.host.now()));
    }

    /// Returns the head of a call.
    fn call_head(&self, call: WatchCall) -> CallHead {
        match call {
            WatchCall::Report => {
                CallHead { path: self.dialect.report_path(), headers: vec![] }
            }
            WatchCall::Cache => CallHead {
                path: self.dialect.cache_path(self.parts.position()),
                headers: self.dialect.cache_headers(CACHE_WAIT),
            },
        }
    }

    /// Records that the engine has answered.
    fn record_life(&mut self) {
        if let Some(span) = self.record.record_answer(self.host.now()) {
            log::info!(
                server = self.host.name_of(self.server),
                failing_ms = span.as_millis() as u64,
                cause = self.last_fault.map(|fault| fault.to_string()).unwrap_or_default();
                "engine answers its watcher again"
            );
        }
    }

    /// Records that the engine hasn't answered.
    fn record_failure(&mut self, fault: CallFault, due_at: Duration) {
        let now = self.host.now();
        self.last_fault = Some(fault);
        if self.record.record_failure(due_at, now) {
            log::info!(
                server = self.host.name_of(self.server),
                failing_ms = now.saturating_sub(due_at).as_millis() as u64,
                cause = fault.to_string();
                "engine answers its watcher no more"
            );
        }
    }

    /// Uses the content of an answer. Returns the outcome of the call.
    fn use_answer(&mut self, call: WatchCall, answer: EngineAnswer) -> String {
        // The engine has as many waiting calls as it accepts.
        let is_at_limit =
            matches!(answer, EngineAnswer::Refused(StatusCode::TOO_MANY_REQUESTS));
        let (outcome, cause) = match answer {
            EngineAnswer::Content(body) => match self.use_content(call, &body) {
                Ok(()) => return "answered".into(),
                Err(cause) => ("unusable", cause.to_string()),
            },
            EngineAnswer::Refused(status) => ("refused", status.to_string()),
            EngineAnswer::Unusable => ("unusable", "no complete response".into()),
        };
        if call == WatchCall::Cache {
            self.pace.pause_cache(self.host.now());
        }
        if !is_at_limit {
            self.log_answer(call, &cause);
        }
        outcome.into()
    }

    /// Uses the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be parsed.
    fn use_content(&mut self, call: WatchCall, body: &Bytes) -> Result<(), FeedError> {
        match call {
            WatchCall::Report => self.use_report(body),
            WatchCall::Cache => self.use_changes(body),
        }
    }

    /// Uses a report.
    fn use_report(&mut self, body: &Bytes) -> Result<(), FeedError> {
        let report = self.dialect.parse_report(body)?;
        self.pace.record_report(&report);
        self.record.record_report(report, self.host.now());
        Ok(())
    }

    /// Uses cache changes.
    fn use_changes(&mut self, body: &Bytes) -> Result<(), FeedError> {
        let batch = self.dialect.parse_cache(body)?;
        let (host, server) = (&self.host, self.server);
        let changes = self.parts.apply(&batch, |part| host.has_cached(server, part));
        if !changes.is_empty() {
            host.record_changes(&changes);
        }
        Ok(())
    }

    /// Logs the first answer that couldn't be used.
    fn log_answer(&mut self, call: WatchCall, cause: &str) {
        if !std::mem::replace(&mut self.has_logged_answer, true) {
            log::warn!(
                server = self.host.name_of(self.server), call = call.to_string(), cause;
                "engine's answer to its watcher can't be used"
            );
        }
    }
}
