//! The server side of the links: accepts them and answers the requests of peers.

use std::future::Future;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use flaxtide_core::StoreVersion;
use flaxtide_policy::{VersionAnswer, VersionNote};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use crate::links::transport;
use crate::rows::RowsReply;
use crate::settings::{PieceAnswer, PieceQuestion};
use crate::shared::{ANSWER_TIMEOUT, FleetShared};
use crate::versions::VersionQuestion;
use crate::wire::{
    CrashNotice, CrashReply, FleetHeartbeat, GroupDigest, GroupHello, HeartbeatReply,
    PeerLink, PushbackNotice, ReachReply, UsageNotice,
};

/// The pause after a failure to accept a link, for example because file descriptors have run
/// out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The most requests of one link that are handled at the same time.
const MAX_PARALLEL_REQUESTS: usize = 8;

/// Accepts links from peers and answers their requests.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<FleetShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let channel = BaseChannel::with_defaults(transport(stream, &shared.links.bytes));
        let server = PeerServer { shared: shared.clone() };
        tokio::spawn(handle_requests(channel.execute(server.serve())));
    }
}

/// Handles the requests of a link concurrently, so that a request that waits for rows doesn't
/// hold up the others.
async fn handle_requests<Response: Future<Output = ()>>(
    requests: impl futures::Stream<Item = Response>,
) {
    requests
        .for_each_concurrent(MAX_PARALLEL_REQUESTS, |response| response)
        .await;
}

/// Implements the service that peers call.
#[derive(Clone)]
struct PeerServer {
    /// The state shared by all tasks.
    shared: Arc<FleetShared>,
}

impl PeerLink for PeerServer {
    async fn heartbeat(self, _: Context, heartbeat: FleetHeartbeat) -> HeartbeatReply {
        let now = self.shared.clock.now();
        let (reply, events) = self.shared.node().handle_heartbeat(&heartbeat, now);
        self.shared.emit(events);
        reply
    }

    async fn digest(self, _: Context, hello: GroupHello) -> GroupDigest {
        let now = self.shared.clock.now();
        self.shared.node().handle_hello(&hello, now)
    }

    async fn crashes(self, _: Context, notice: CrashNotice) -> CrashReply {
        let now = self.shared.clock.now();
        let (reply, events) = self.shared.node().handle_crashes(&notice, now);
        self.shared.emit(events);
        reply
    }

    async fn pushback(self, _: Context, notice: PushbackNotice) {
        let now = self.shared.clock.now();
        let events = self.shared.node().handle_pushback(&notice, now);
        self.shared.emit(events);
    }

    async fn reach(self, _: Context) -> ReachReply {
        self.shared.node().reach_reply()
    }

    async fn versions(self, _: Context, notes: Vec<VersionNote>) {
        if let Some(exchange) = self.shared.versions.get() {
            exchange.receive(&notes);
        }
    }

    async fn ask_versions(
        self,
        _: Context,
        questions: Vec<VersionQuestion>,
    ) -> Vec<VersionAnswer> {
        let exchange = self.shared.versions.get();
        exchange.map_or_else(Vec::new, |exchange| exchange.answer(&questions))
    }

    async fn usage(self, _: Context, notice: UsageNotice) -> bool {
        self.shared
            .usage_exchange
            .get()
            .is_some_and(|exchange| exchange.receive(notice))
    }

    async fn settings(self, _: Context, question: PieceQuestion) -> PieceAnswer {
        let shared = &self.shared;
        let newest = || (shared.settings_newer_than)(question.newer_than);
        let mut provider = shared.provider.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = provider.answer(question, newest, shared.clock.now());
        log_provided(question, &answer);
        answer
    }

    async fn rows(self, _: Context, after: StoreVersion, wait_ms: u32) -> RowsReply {
        let Some(source) = self.shared.row_source.get().cloned() else {
            return RowsReply::default();
        };
        let wait = Duration::from_millis(wait_ms.into()).min(ANSWER_TIMEOUT);
        let notifier = source.change_notifier();
        let notified = notifier.notified();
        let mut changes = source.changes_after(after);
        if changes.as_ref().is_some_and(|changes| changes.rows.is_empty()) {
            // Without changes in time, the answer has no rows, and the version up to which
            // there are none.
            let _ = tokio::time::timeout(wait, notified).await;
            changes = source.changes_after(after);
        }
        let has_gap = changes.is_none() && source.has_gap_after(after);
        RowsReply { changes, has_gap }
    }
}

/// Logs the first piece of each transfer, and requests turned down as busy.
fn log_provided(question: PieceQuestion, answer: &PieceAnswer) {
    let newer_than = question.newer_than;
    match answer {
        PieceAnswer::Piece(piece) if piece.offset == 0 => log::info!(
            newer_than, version = piece.version, bytes = piece.length;
            "settings sent to peer"
        ),
        PieceAnswer::Busy => log::debug!(newer_than; "settings not sent, busy"),
        PieceAnswer::Piece(_) | PieceAnswer::NothingNewer => {}
    }
}
