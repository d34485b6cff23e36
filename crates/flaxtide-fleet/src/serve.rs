//! The answers to peers.

use std::future::Future;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use flaxtide_core::StoreVersion;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use crate::links::transport;
use crate::rows::RowChanges;
use crate::settings::{PieceAnswer, PieceQuestion};
use crate::shared::{ANSWER_TIMEOUT, FleetShared};
use crate::wire::{
    CrashNotice, CrashReply, FleetHeartbeat, GroupDigest, GroupHello, HeartbeatReply,
    PeerLink, PushbackNotice, UsageNotice,
};

/// The pause after a link that couldn't be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How many requests of one link are answered side by side.
const REQUESTS_OF_A_LINK: usize = 8;

/// Answers peers.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<FleetShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let channel = BaseChannel::with_defaults(transport(stream, &shared.links.bytes));
        let server = PeerServer { shared: shared.clone() };
        tokio::spawn(answer(channel.execute(server.serve())));
    }
}

/// Answers the requests of one link. One that waits for rows doesn't hold up the others.
async fn answer<Response: Future<Output = ()>>(
    requests: impl futures::Stream<Item = Response>,
) {
    requests
        .for_each_concurrent(REQUESTS_OF_A_LINK, |response| response)
        .await;
}

/// The part that answers peers.
#[derive(Clone)]
struct PeerServer {
    /// What all tasks share.
    shared: Arc<FleetShared>,
}

impl PeerLink for PeerServer {
    async fn heartbeat(self, _: Context, heartbeat: FleetHeartbeat) -> HeartbeatReply {
        let now = self.shared.clock.now();
        let (reply, notices) = self.shared.node().handle_heartbeat(&heartbeat, now);
        self.shared.notify(notices);
        reply
    }

    async fn digest(self, _: Context, hello: GroupHello) -> GroupDigest {
        let now = self.shared.clock.now();
        self.shared.node().handle_hello(&hello, now)
    }

    async fn crashes(self, _: Context, notice: CrashNotice) -> CrashReply {
        let now = self.shared.clock.now();
        let (reply, notices) = self.shared.node().handle_crashes(&notice, now);
        self.shared.notify(notices);
        reply
    }

    async fn pushback(self, _: Context, notice: PushbackNotice) {
        let now = self.shared.clock.now();
        let notices = self.shared.node().handle_pushback(&notice, now);
        self.shared.notify(notices);
    }

    async fn usage(self, _: Context, notice: UsageNotice) -> bool {
        self.shared.duties.get().is_some_and(|duties| duties.receive(notice))
    }

    async fn settings(self, _: Context, question: PieceQuestion) -> PieceAnswer {
        let shared = &self.shared;
        let newest = || (shared.settings)(question.newer_than);
        let mut provider = shared.provider.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = provider.answer(question, newest, shared.clock.now());
        log_given(question, &answer);
        answer
    }

    async fn rows(
        self,
        _: Context,
        after: StoreVersion,
        wait_ms: u32,
    ) -> Option<RowChanges> {
        let source = self.shared.rows.get()?.clone();
        let wait = Duration::from_millis(wait_ms.into()).min(ANSWER_TIMEOUT);
        let changed = source.change_notifier();
        let woken = changed.notified();
        let changes = source.changes_after(after)?;
        if !changes.rows.is_empty() {
            return Some(changes);
        }
        // Without changes in time, the answer says up to when there was none.
        let _ = tokio::time::timeout(wait, woken).await;
        source.changes_after(after)
    }
}

/// Logs that settings are given, once a copy, and that a peer is sent elsewhere.
fn log_given(question: PieceQuestion, answer: &PieceAnswer) {
    let newer_than = question.newer_than;
    match answer {
        PieceAnswer::Piece(piece) if piece.offset == 0 => log::info!(
            newer_than, version = piece.version, bytes = piece.length;
            "settings given to peer"
        ),
        PieceAnswer::Busy => log::debug!(newer_than; "settings not given, too many ask"),
        PieceAnswer::Piece(_) | PieceAnswer::NothingNewer => {}
    }
}
