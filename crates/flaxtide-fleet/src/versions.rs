//! The exchange of the versions of streams: notes for the replicas of this instance, and
//! questions to all peers that it knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxtide_policy::{
    ServiceKey, StreamKey, VersionAnswer, VersionDecision, VersionNote, VersionPoll,
    VersionView,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::sync::Notify;

use crate::info::PeerInfo;
use crate::links::call_with_timeout;
use crate::shared::{FleetShared, lock};
use crate::wire::PeerLinkClient;

/// How long a peer may take to answer which version began a stream. The caller waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a peer may take to acknowledge notes.
const NOTES_TIMEOUT: Duration = Duration::from_secs(1);

/// How long nothing about versions is sent to a peer whose link broke by it: it may run an
/// older version of this program, which doesn't know these messages.
const UNKNOWN_MESSAGE_PAUSE: Duration = Duration::from_secs(30);

/// A peer is paused after this many links have broken by the same message.
const MAX_BREAKS: u32 = 2;

/// The pause before another attempt to open a link.
const REOPEN_PAUSE: Duration = Duration::from_millis(50);

/// The most questions in one message.
const MAX_QUESTIONS: usize = 256;

/// The most notes in one message.
const MAX_BATCH_NOTES: usize = 1024;

/// What an instance knows of the versions of streams.
pub trait VersionExchange: Send + Sync {
    /// Records what a peer has told of its streams.
    fn receive(&self, notes: &[VersionNote]);

    /// Answers a peer's questions, in their order.
    fn answer(&self, questions: &[VersionQuestion]) -> Vec<VersionAnswer>;

    /// Looks a stream up in what peers have kept that haven't answered and in what is recorded of the
    /// versions of its service, and decides.
    fn look_up(
        &self,
        question: VersionQuestion,
        peers: &[PeerInfo],
        decide: Box<dyn FnOnce(VersionDecision) + Send>,
    );

    /// Returns whether replicas are told anything: a service has several versions.
    fn is_telling(&self) -> bool;

    /// Removes and returns the notes that replicas haven't been told yet.
    fn take_notes(&self) -> Vec<VersionNote>;

    /// Returns the notes that a new replica needs.
    fn all_notes(&self) -> Vec<VersionNote>;

    /// Removes and returns the questions that haven't been asked yet.
    fn take_questions(&self) -> Vec<PendingQuestion>;

    /// Returns the notifier that is signalled when there are new questions.
    fn question_notifier(&self) -> Arc<Notify>;
}

/// A question which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionQuestion {
    /// The service.
    pub service: ServiceKey,
    /// The stream.
    pub stream: StreamKey,
}

/// A question of this instance that waits for a decision.
pub struct PendingQuestion {
    /// The question.
    pub question: VersionQuestion,
    /// The answer of this instance itself.
    pub own: VersionAnswer,
    /// For how long streams are taken up again.
    pub window: Duration,
    /// Receives the decision, and how many peers had answered by then.
    pub decide: Box<dyn FnOnce(VersionDecision, usize) + Send>,
}

impl std::fmt::Debug for PendingQuestion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "PendingQuestion {:?}", self.question)
    }
}

/// The replicas that have been told the notes of this instance, with their epochs: one that has
/// restarted has forgotten them.
type ToldReplicas = Vec<(SocketAddr, Option<u32>)>;

/// What the exchange with peers remembers.
#[derive(Debug, Default)]
pub(crate) struct VersionState {
    /// The replicas that have been told all notes.
    told: Mutex<ToldReplicas>,
    /// Until when peers aren't sent anything about versions.
    paused: Mutex<BTreeMap<SocketAddr, Duration>>,
}

impl VersionState {
    /// Returns whether a peer may be sent messages about versions.
    fn may_send(&self, peer: SocketAddr, now: Duration) -> bool {
        lock(&self.paused).get(&peer).is_none_or(|until| now >= *until)
    }

    /// Records that a link broke by a message about versions.
    fn pause(&self, peer: SocketAddr, now: Duration) {
        let mut paused = lock(&self.paused);
        paused.retain(|_, until| now < *until);
        paused.insert(peer, now + UNKNOWN_MESSAGE_PAUSE);
    }
}

/// Tells the replicas of this instance the versions of its streams.
pub(crate) fn tell_replicas(shared: &Arc<FleetShared>) {
    let exchange = shared.versions.get().filter(|exchange| exchange.is_telling());
    let Some(exchange) = exchange else { return };
    let now = shared.clock.now();
    let notes = exchange.take_notes();
    let replicas = shared.node().version_replicas(now);
    let mut told = lock(&shared.version_state.told);
    let known = std::mem::take(&mut *told);
    for (replica, epoch) in replicas {
        let address = replica.address;
        if !shared.version_state.may_send(address, now) {
            continue;
        }
        let is_new = !known.contains(&(address, epoch));
        let notes = if is_new { exchange.all_notes() } else { notes.clone() };
        told.push((address, epoch));
        if !notes.is_empty() {
            tokio::spawn(tell(shared.clone(), replica, notes));
        }
    }
}

/// Sends notes to a replica. One that doesn't get them is told all of them again.
async fn tell(shared: Arc<FleetShared>, replica: PeerInfo, notes: Vec<VersionNote>) {
    for batch in notes.chunks(MAX_BATCH_NOTES) {
        let batch = batch.to_vec();
        let call = |client: PeerLinkClient, context| {
            let batch = batch.clone();
            async move { client.versions(context, batch).await }
        };
        if call_peer(&shared, &replica, NOTES_TIMEOUT, call).await.is_none() {
            let mut told = lock(&shared.version_state.told);
            told.retain(|(address, _)| *address != replica.address);
            return;
        }
    }
}

/// Asks the peers which versions began some streams, and decides.
pub(crate) fn ask_peers(shared: &Arc<FleetShared>) {
    let Some(exchange) = shared.versions.get() else { return };
    let mut questions = exchange.take_questions();
    while !questions.is_empty() {
        let rest = questions.split_off(questions.len().min(MAX_QUESTIONS));
        tokio::spawn(ask(shared.clone(), questions));
        questions = rest;
    }
}

/// Asks all peers some questions at once.
async fn ask(shared: Arc<FleetShared>, pending: Vec<PendingQuestion>) {
    let now = shared.clock.now();
    let windows = pending.iter().map(|pending| pending.window);
    let window = windows.max().unwrap_or_default();
    let (peers, mut silent, asked) = {
        let node = shared.node();
        let absent = node.absent_version_peers(window, now);
        (node.version_peers(now), absent, node.asked_peers(window, now))
    };
    let questions: Vec<VersionQuestion> =
        pending.iter().map(|pending| pending.question).collect();
    let mut polls: Vec<Option<(VersionPoll, PendingQuestion)>> = pending
        .into_iter()
        .map(|pending| {
            let poll = VersionPoll::new(pending.own, pending.window, asked);
            Some((poll, pending))
        })
        .collect();
    let (usable, paused): (Vec<_>, Vec<_>) = peers
        .into_iter()
        .partition(|(peer, _)| shared.version_state.may_send(peer.address, now));
    silent.extend(paused.into_iter().map(|(peer, _)| peer));
    let mut answers: FuturesUnordered<_> = usable
        .into_iter()
        .map(|(peer, near)| ask_peer(shared.clone(), peer, near, questions.clone()))
        .collect();
    while let Some((peer, near, answer)) = answers.next().await {
        let answer = answer.unwrap_or_default();
        if answer.iter().all(|answer| answer.view == VersionView::Unlisted) {
            // It is gone, or has just started and doesn't know its own streams yet.
            silent.push(peer);
        }
        for (slot, answer) in polls.iter_mut().zip(answer) {
            let Some((poll, _)) = slot else { continue };
            poll.add(answer, near);
            if let Some(decision) = poll.certain()
                && let Some((poll, pending)) = slot.take()
            {
                (pending.decide)(decision, poll.answered());
            }
        }
        if polls.iter().all(Option::is_none) {
            return;
        }
    }
    for (poll, pending) in polls.into_iter().flatten() {
        finish(&shared, &poll, pending, &silent);
    }
}

/// Decides a question when no further answer comes. If nothing is known, the stream is looked up in
/// what silent peers have kept.
fn finish(
    shared: &FleetShared,
    poll: &VersionPoll,
    pending: PendingQuestion,
    silent: &[PeerInfo],
) {
    let PendingQuestion { question, decide, .. } = pending;
    let (decision, answered) = (poll.finish(), poll.answered());
    match shared.versions.get() {
        Some(exchange) if decision == VersionDecision::Unknown => {
            let decide = Box::new(move |decision| decide(decision, answered));
            exchange.look_up(question, silent, decide);
        }
        _ => decide(decision, answered),
    }
}

/// Asks one peer. Returns it, whether it is in the own data centre, and what it answers.
async fn ask_peer(
    shared: Arc<FleetShared>,
    peer: PeerInfo,
    near: bool,
    questions: Vec<VersionQuestion>,
) -> (PeerInfo, bool, Option<Vec<VersionAnswer>>) {
    let call = |client: PeerLinkClient, context| {
        let questions = questions.clone();
        async move { client.ask_versions(context, questions).await }
    };
    let answers = call_peer(&shared, &peer, ANSWER_TIMEOUT, call).await;
    (peer, near, answers)
}

/// Calls a peer, again if its link can't be opened yet or breaks. A late answer doesn't close
/// the link: heartbeats tell whether the peer is alive.
async fn call_peer<Answer, Call>(
    shared: &FleetShared,
    peer: &PeerInfo,
    timeout: Duration,
    call: impl Fn(PeerLinkClient, Context) -> Call,
) -> Option<Answer>
where
    Call: Future<Output = Result<Answer, RpcError>>,
{
    let exchange = async {
        let mut breaks = 0;
        while breaks < MAX_BREAKS {
            let Some(link) = shared.links.open(peer.address).await else {
                tokio::time::sleep(REOPEN_PAUSE).await;
                continue;
            };
            let client = link.client.clone();
            match call_with_timeout(timeout, |context| call(client, context)).await {
                Ok(answer) => return Some(answer),
                Err(RpcError::DeadlineExceeded) => return None,
                Err(cause) => {
                    log::debug!("no versions from {}: {cause}", peer.name);
                    shared.links.close(peer.address, &link).await;
                    breaks += 1;
                }
            }
        }
        shared.version_state.pause(peer.address, shared.clock.now());
        None
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}
