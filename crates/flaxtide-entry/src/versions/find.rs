//! Binds streams to the version that began them, and finds it out for those that callers take up.

use std::time::Duration;

use flaxtide_policy::{ServiceKey, VersionDecision, VersionKey};

use super::{MAX_NOTE_WAIT, PeerDecision, StreamIdentity};
use crate::contract::RequestHead;
use crate::open_call::OpenCall;
use crate::reply::LocalReply;
use crate::state::TrafficState;

/// How long a caller waits at most for what peers know of its stream.
const DECISION_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller waits at most until the version of the only servers in service is marked, so that
/// its stream may begin.
const MARK_TIMEOUT: Duration = Duration::from_millis(500);

/// How often it is checked whether it is.
const MARK_PERIOD: Duration = Duration::from_millis(5);

/// The pause before peers are asked again.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(100);

/// A stream's first events wait for its note for the latency target of its class divided by this
/// at most.
const NOTE_WAIT_DIVISOR: u32 = 2;

impl OpenCall {
    /// Binds a stream that has begun to the version of its server, and notes it. `stated` is the version that
    /// a peer has stated. While the service has several versions, waits until the note outlasts
    /// all instances, unless that takes too long. Returns the version, if it is known.
    pub(crate) async fn bind_version(
        &self,
        stated: Option<VersionKey>,
    ) -> Option<VersionKey> {
        let version = self
            .state
            .with_router(|core, _| core.bind_version(self.request_id, stated));
        if let (Some(stream), Some(version)) = (self.stream, version)
            && let Some(written) = self.state.versions.note(stream, version)
        {
            let target = self.class.class().latency_target;
            let wait = MAX_NOTE_WAIT.min(target / NOTE_WAIT_DIVISOR);
            let latest = self.deadline.min(self.state.now() + wait);
            let waited = self.state.wait_until(latest, written).await;
            let is_written = matches!(waited, Some(Ok(())));
            let outcome = if is_written { "written" } else { "late" };
            self.state.metrics.awaited_notes.with_label_values(&[outcome]).inc();
        }
        version
    }

    /// Returns the id of the attempt whose stream the caller takes up, for log lines.
    pub(crate) fn resumes(&self) -> &str {
        let first = self.resumed.as_ref().map(|resumed| &resumed.first_attempt);
        first.map_or("", |first| first.as_deref().unwrap_or("unnamed"))
    }
}

/// At which version a stream is to be continued, and how that was found out.
struct FoundVersion {
    /// The version, or `None` if it isn't known.
    version: Option<VersionKey>,
    /// How it was found out, as in log lines and metrics.
    source: &'static str,
    /// How many peers have answered.
    answered: usize,
}

/// Finds out once at which version a stream is to be continued, until `latest`.
async fn ask_version(
    state: &TrafficState,
    identity: StreamIdentity,
    latest: Duration,
) -> FoundVersion {
    let pending = match state.versions.find(identity) {
        Ok((version, source)) => {
            return FoundVersion { version: Some(version), source, answered: 0 };
        }
        Err(pending) => pending,
    };
    let decided = state.wait_until(latest, pending).await.and_then(Result::ok);
    let Some(PeerDecision { decision, answered }) = decided else {
        return FoundVersion { version: None, source: "unknown", answered: 0 };
    };
    let source = match decision {
        VersionDecision::Bound(_) => "peers",
        VersionDecision::Agreed(_) => "agreed",
        VersionDecision::Unknown => "unknown",
    };
    FoundVersion { version: decision.version(), source, answered }
}

/// Waits while streams may begin at none of the servers in service, as their versions aren't marked in
/// the record yet.
async fn wait_to_begin(state: &TrafficState, service: ServiceKey) {
    let latest = state.now() + MARK_TIMEOUT;
    while state.begins_nowhere(service) && state.now() < latest {
        tokio::time::sleep(MARK_PERIOD).await;
    }
}

/// Finds out at which version a stream is to be continued that a caller takes up again. Returns
/// `None` for a request that begins one, once it may begin.
///
/// # Errors
///
/// Returns the refusal if it can't be found out.
pub(crate) async fn find_version(
    state: &TrafficState,
    identity: Option<StreamIdentity>,
    head: &RequestHead,
) -> Result<Option<VersionKey>, LocalReply> {
    let Some(identity) = identity else { return Ok(None) };
    let Some(resumed) = &head.resumed else {
        wait_to_begin(state, identity.service).await;
        return Ok(None);
    };
    let asked = state.now();
    let found = loop {
        let found = ask_version(state, identity, asked + DECISION_TIMEOUT).await;
        let is_late = state.now() + ASK_AGAIN_PAUSE >= asked + DECISION_TIMEOUT;
        if found.version.is_some() || is_late || !state.versions.is_joining() {
            break found;
        }
        tokio::time::sleep(ASK_AGAIN_PAUSE).await;
    };
    let FoundVersion { version, source, answered } = found;
    state.metrics.resumed_streams.with_label_values(&[source]).inc();
    log::info!(
        request = head.attempt_id.as_deref().unwrap_or_default(),
        resumes = resumed.first_attempt.as_deref().unwrap_or_default(),
        version_key = version.unwrap_or_default(), source, answered,
        known_ms = state.versions.known_ms(identity.service),
        spent_ms = state.now().saturating_sub(asked).as_millis() as u64;
        "stream taken up"
    );
    version.map(Some).ok_or(LocalReply::VersionUnknown)
}
