//! The body of a server's response, and where it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::ServerId;
use flaxtide_policy::RouteFault;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, TRANSFER_ENCODING};

use crate::end_check::{CheckTarget, has_outlived_end};
use crate::open_call::OpenCall;
use crate::state::TrafficState;
use crate::upstream::ServerConnection;

/// How long reading the rest of a refusal may take.
const REFUSAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes of a refusal's body that are read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// The least that a piece of a body counts, in bytes. Each takes processor time, however short it is.
const MIN_PIECE_COST: usize = 64;

/// Returns how much a piece of a body counts towards a limit on its length, in bytes.
pub(crate) fn piece_cost(piece: &Bytes) -> usize {
    piece.len().max(MIN_PIECE_COST)
}

/// The body of a server's response, read from its connection.
pub(crate) struct UpstreamBody {
    /// The body, as hyper reads it.
    pub(crate) body: Incoming,
    /// The connection, which becomes idle at the end of the body. `None` after that, or after
    /// an error.
    pub(crate) connection: Option<ServerConnection>,
    /// The server at the other end.
    pub(crate) server: ServerId,
    /// The address of the server.
    address: SocketAddr,
    /// For how long the server keeps an idle connection open, if it said so.
    pub(crate) keep_alive: Option<Duration>,
    /// How the end of the body is marked.
    framing: BodyFraming,
}

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// By a length or by chunks.
    Explicit,
    /// By the end of the connection, which may also be that of a server that breaks off.
    Close,
}

/// What is known of a body whose end only the end of the connection marks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnframedEnd {
    /// The content may end there, and the server has outlived the connection.
    Whole,
    /// The content may end there, but the server hasn't proved that it lives.
    Unproven,
    /// The content may not end there.
    Broken,
}

impl UnframedEnd {
    /// Returns its name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Unproven => "unproven",
            Self::Broken => "broken",
        }
    }
}

impl BodyFraming {
    /// Determines the framing from the headers and the body of a response.
    fn read(headers: &HeaderMap, body: &Incoming) -> Self {
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        let is_chunked =
            last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        match is_chunked || body.size_hint().exact().is_some() {
            true => Self::Explicit,
            false => Self::Close,
        }
    }
}

impl UpstreamBody {
    /// Creates the body of a response whose headers are given.
    pub(crate) fn new(
        headers: &HeaderMap,
        body: Incoming,
        connection: ServerConnection,
        server: ServerId,
        keep_alive: Option<Duration>,
    ) -> Self {
        let framing = BodyFraming::read(headers, &body);
        Self {
            body,
            address: connection.address,
            connection: Some(connection),
            server,
            keep_alive,
            framing,
        }
    }

    /// Returns whether the end of the body is stated, by a length or by chunks.
    pub(crate) fn is_framed(&self) -> bool {
        self.framing == BodyFraming::Explicit
    }

    /// Checks the end of the body. `is_whole` tells whether its content may end here.
    ///
    /// # Errors
    ///
    /// Returns [`RouteFault::Broken`] if only the end of the connection marks that of the
    /// body, and its content isn't whole or the server doesn't prove that it has outlived it.
    pub(crate) async fn check_end(
        &self,
        is_whole: bool,
        call: &OpenCall,
    ) -> Result<(), RouteFault> {
        if self.is_framed() {
            return Ok(());
        }
        let state = &call.state;
        let end = match self.check_target(call) {
            _ if !is_whole => UnframedEnd::Broken,
            Some(target) => match has_outlived_end(state, target).await {
                true => UnframedEnd::Whole,
                false => UnframedEnd::Unproven,
            },
            None => UnframedEnd::Unproven,
        };
        state.metrics.unframed_ends.with_label_values(&[end.name()]).inc();
        log::info!(
            request = call.attempt_id.as_str(), server = state.target_name(self.server),
            outcome = end.name();
            "end without framing"
        );
        if end == UnframedEnd::Whole { Ok(()) } else { Err(RouteFault::Broken) }
    }

    /// Returns how the server can be checked, or `None` if its service has no health check.
    fn check_target(&self, call: &OpenCall) -> Option<CheckTarget> {
        let table = call.state.route_table()?;
        let path = table.service(&call.service)?.health_path.clone()?;
        Some(CheckTarget { server: self.server, address: self.address, path })
    }

    /// Returns the length that the server has stated for what is left of the body.
    pub(crate) fn stated_length(&self) -> Option<usize> {
        usize::try_from(self.body.size_hint().exact()?).ok()
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`RouteFault::Broken`] if the connection breaks before the end of the body.
    pub(crate) async fn next(
        &mut self,
        state: &TrafficState,
    ) -> Result<Option<Bytes>, RouteFault> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(connection) = &self.connection {
                            connection.limit.record_progress();
                        }
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => {
                    self.connection = None;
                    return Err(RouteFault::Broken);
                }
                None => {
                    if let Some(connection) = self.connection.take() {
                        state.connections.keep(
                            self.server,
                            connection,
                            self.keep_alive,
                            state.now(),
                        );
                    }
                    return Ok(None);
                }
            }
        }
    }
}

/// Reads the rest of a refusal in the background, so that its connection can be reused.
pub(crate) fn drain_refusal(state: &Rc<TrafficState>, mut body: UpstreamBody) {
    let state = state.clone();
    tokio::task::spawn_local(async move {
        let read = async {
            let mut cost = 0;
            while let Ok(Some(bytes)) = body.next(&state).await {
                cost += piece_cost(&bytes);
                if cost > MAX_REFUSAL_BYTES {
                    return;
                }
            }
        };
        // If it doesn't end in time, or is too long, the connection is closed.
        let _ = tokio::time::timeout(REFUSAL_DRAIN_TIMEOUT, read).await;
    });
}
