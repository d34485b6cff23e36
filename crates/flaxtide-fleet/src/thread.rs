//! The fleet thread: it runs an async runtime that exchanges messages with peers over tarpc.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, TryRecvError};
use flaxtide_core::{InstanceName, MilliClock, SettingsVersion};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

use crate::counted::LinkBytes;
use crate::duty::UsageExchange;
use crate::fetch::fetch_settings;
use crate::info::PeerInfo;
use crate::links::call_with_timeout;
use crate::node::{
    FleetNode, NodeEvent, OutgoingCrashes, OutgoingHeartbeat, OutgoingHello,
    OutgoingPushback,
};
use crate::reach::{ReachRequest, ask_reach};
use crate::rows::{RowAnswer, RowRequest, RowSource, RowsReply};
use crate::serve::serve;
use crate::settings::SettingsCopy;
use crate::shared::{ANSWER_TIMEOUT, CallFault, FleetOutput, FleetShared};
use crate::usage::UsageSender;
use crate::versions::{VersionExchange, ask_peers, tell_replicas};
use crate::wire::PeerLinkClient;

/// How often the thread polls for commands and due messages.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The shortest time between two requested rounds of heartbeats.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// How often links to peers that are no longer known are closed.
const LINK_PRUNE_PERIOD: Duration = Duration::from_secs(5);

/// A command for the fleet thread.
#[derive(Debug)]
pub enum FleetCommand {
    /// Changes the node.
    Update(FleetUpdate),
    /// Sends heartbeats without waiting for the period.
    SendHeartbeats,
    /// Asks a peer for the rows that it has read from the platform.
    AskRows(RowRequest),
    /// Asks some peers which servers they reach.
    AskReach(ReachRequest),
    /// Ends the thread.
    Stop,
}

/// A change of the node that is made on the fleet thread.
pub struct FleetUpdate(NodeChange);

/// The function that changes a node, at the given time.
type NodeChange = Box<dyn FnOnce(&mut FleetNode, Duration) + Send>;

impl FleetUpdate {
    /// Wraps a function that changes the node.
    #[must_use]
    pub fn new(change: impl FnOnce(&mut FleetNode, Duration) + Send + 'static) -> Self {
        Self(Box::new(change))
    }
}

impl std::fmt::Debug for FleetUpdate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetUpdate")
    }
}

/// The fleet thread before it is run.
pub struct FleetThread {
    /// The socket that accepts links from peers.
    listener: std::net::TcpListener,
    /// The single-threaded async runtime.
    runtime: Runtime,
    /// The state shared by all tasks.
    shared: Arc<FleetShared>,
}

impl FleetThread {
    /// Starts to listen for peers. `events` receives what is learned from peers, `adopt`
    /// receives settings that were fetched from a peer, `settings` returns the settings in
    /// force if they are newer than a version, and `node` creates the node for the listening
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen on the address.
    pub fn listen(
        address: SocketAddr,
        clock: MilliClock,
        events: impl Fn(Vec<NodeEvent>) + Send + Sync + 'static,
        adopt: impl Fn(SettingsCopy) + Send + Sync + 'static,
        settings: impl Fn(SettingsVersion) -> Option<SettingsCopy> + Send + Sync + 'static,
        node: impl FnOnce(SocketAddr) -> FleetNode,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let node = node(listener.local_addr()?);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let output = move |output: FleetOutput| match output {
            FleetOutput::Events(received) => events(received),
            FleetOutput::Settings(copy) => adopt(copy),
        };
        let shared = FleetShared::new(node, clock, Box::new(output), Box::new(settings));
        let shared = Arc::new(shared);
        Ok(Self { listener, runtime, shared })
    }

    /// Sets the source of the rows that peers are given. Only the first call has an effect.
    pub fn set_row_source(&self, source: Arc<dyn RowSource>) {
        // A second call would be an error of the caller; the first source stays in use.
        let _ = self.shared.row_source.set(source);
    }

    /// Sets the exchange of usage counts with the duty holder. Only the first call has an
    /// effect.
    pub fn set_usage_exchange(&self, exchange: Arc<dyn UsageExchange>) {
        // A second call would be an error of the caller; the first exchange stays in use.
        let _ = self.shared.usage_exchange.set(exchange);
    }

    /// Sets the exchange of the versions of streams. Only the first call has an effect.
    pub fn set_version_exchange(&self, exchange: Arc<dyn VersionExchange>) {
        // A second call would be an error of the caller; the first exchange stays in use.
        let _ = self.shared.versions.set(exchange);
    }

    /// Returns the listening address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the byte counters of all links.
    #[must_use]
    pub fn bytes(&self) -> LinkBytes {
        self.shared.links.bytes.clone()
    }

    /// Exchanges messages until told to stop.
    pub fn run(self, commands: &Receiver<FleetCommand>) {
        let Self { listener, runtime, shared } = self;
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::spawn(serve(listener, shared.clone()));
                    run_loop(&shared, commands).await;
                }
                Err(cause) => log::error!("failed to listen for peers: {cause}"),
            }
        });
        // Open links are dropped without waiting for them.
        runtime.shutdown_background();
    }
}

/// Handles commands and sends messages until told to stop.
async fn run_loop(shared: &Arc<FleetShared>, commands: &Receiver<FleetCommand>) {
    let mut requested_round = RequestedRound::default();
    let mut fetch = None;
    let mut links_pruned_at = Duration::ZERO;
    let mut usage = UsageSender::default();
    while handle_commands(shared, commands, &mut requested_round) {
        let now = shared.clock.now();
        fetch_if_due(shared, &mut fetch, now);
        let mut heartbeats = shared.node().due_heartbeats(now);
        if heartbeats.is_empty() && requested_round.is_due(now) {
            requested_round = RequestedRound { requested: false, last: Some(now) };
            heartbeats = shared.node().requested_heartbeats();
        }
        for heartbeat in heartbeats {
            tokio::spawn(send_heartbeat(shared.clone(), heartbeat));
        }
        if now >= links_pruned_at + LINK_PRUNE_PERIOD {
            links_pruned_at = now;
            let addresses = shared.node().addresses();
            shared.links.retain(|address| addresses.contains(address));
        }
        usage.send_if_due(shared, now);
        let hellos = shared.node().due_hellos(now);
        for hello in hellos {
            tokio::spawn(request_digest(shared.clone(), hello));
        }
        let crashes = shared.node().due_crashes(now);
        for outgoing in crashes {
            tokio::spawn(send_crash_notice(shared.clone(), outgoing));
        }
        let pushback = shared.node().due_pushback(now);
        for outgoing in pushback {
            tokio::spawn(send_pushback_notice(shared.clone(), outgoing));
        }
        tell_replicas(shared);
        ask_peers(shared);
        wait_for_work(shared).await;
    }
}

/// Waits for the next poll, or for questions of callers that wait for the answers.
async fn wait_for_work(shared: &FleetShared) {
    let Some(exchange) = shared.versions.get() else {
        return tokio::time::sleep(POLL_PERIOD).await;
    };
    let notifier = exchange.question_notifier();
    tokio::select! {
        () = tokio::time::sleep(POLL_PERIOD) => {}
        () = notifier.notified() => {}
    }
}

/// The state of requested rounds of heartbeats. A round is requested for a new settings version
/// or a stop, and unlike the early rounds of [`FleetNode::due_heartbeats`] isn't limited by the
/// traffic budget.
#[derive(Debug, Default)]
struct RequestedRound {
    /// Whether a round has been requested and not yet sent.
    requested: bool,
    /// When the last requested round was sent.
    last: Option<Duration>,
}

impl RequestedRound {
    /// Returns whether to send a requested round now.
    fn is_due(&self, now: Duration) -> bool {
        self.requested && self.last.is_none_or(|at| now >= at + MIN_REQUEST_INTERVAL)
    }
}

/// Handles all queued commands. Returns whether to go on.
fn handle_commands(
    shared: &Arc<FleetShared>,
    commands: &Receiver<FleetCommand>,
    requested_round: &mut RequestedRound,
) -> bool {
    loop {
        match commands.try_recv() {
            Ok(FleetCommand::Update(FleetUpdate(update))) => {
                let now = shared.clock.now();
                update(&mut shared.node(), now);
            }
            Ok(FleetCommand::SendHeartbeats) => requested_round.requested = true,
            Ok(FleetCommand::AskRows(request)) => {
                tokio::spawn(ask_rows(shared.clone(), request));
            }
            Ok(FleetCommand::AskReach(request)) => ask_reach(shared, &request),
            Err(TryRecvError::Empty) => return true,
            Ok(FleetCommand::Stop) | Err(TryRecvError::Disconnected) => return false,
        }
    }
}

/// Starts a fetch of settings if one is due and none is in progress. There is one at a time,
/// even if several peers announce newer settings: one fetch per announcement filled the links
/// with hundreds of copies, and the memory of the providers.
fn fetch_if_due(
    shared: &Arc<FleetShared>,
    fetch: &mut Option<JoinHandle<()>>,
    now: Duration,
) {
    let mut node = shared.node();
    node.update_newer_since(now);
    if fetch.as_ref().is_none_or(JoinHandle::is_finished) && node.settings_fetch_due(now)
    {
        drop(node);
        *fetch = Some(tokio::spawn(fetch_settings(shared.clone())));
    }
}

/// Sends a heartbeat and handles the reply.
async fn send_heartbeat(shared: Arc<FleetShared>, outgoing: OutgoingHeartbeat) {
    let OutgoingHeartbeat { to, heartbeat } = outgoing;
    let ask = |client: PeerLinkClient, context| async move {
        client.heartbeat(context, heartbeat).await
    };
    let asked = shared.clock.now();
    let Some(reply) = shared.call_peer(&to, ANSWER_TIMEOUT, ask).await else { return };
    let now = shared.clock.now();
    let events = shared.node().handle_reply(&to.name, &reply, now);
    if let Some(ages) = reply.answers {
        shared.node().record_peer_answers(&to.name, ages, asked, now);
    }
    shared.emit(events);
}

/// Requests the digest of a contact in another data centre.
async fn request_digest(shared: Arc<FleetShared>, outgoing: OutgoingHello) {
    let OutgoingHello { to, hello } = outgoing;
    let ask = |client: PeerLinkClient, context| async move {
        client.digest(context, hello).await
    };
    let Some(digest) = shared.call_peer(&to, ANSWER_TIMEOUT, ask).await else { return };
    let now = shared.clock.now();
    let events = shared.node().handle_digest(&digest, now);
    shared.emit(events);
}

/// Sends a crash notice to a peer and handles the reply.
async fn send_crash_notice(shared: Arc<FleetShared>, outgoing: OutgoingCrashes) {
    let OutgoingCrashes { to, notice } = outgoing;
    let faults = NoticeFaultHandlers {
        no_link: FleetNode::handle_crash_no_link,
        broken_link: FleetNode::handle_crash_broken_link,
    };
    let call = |client: PeerLinkClient, context| async move {
        client.crashes(context, notice).await
    };
    let Some(reply) = send_notice(&shared, &to, faults, call).await else { return };
    let now = shared.clock.now();
    let events = shared.node().handle_crash_reply(&to.name, &reply, now);
    shared.emit(events);
}

/// Sends a pushback notice to a peer and records that it was received.
async fn send_pushback_notice(shared: Arc<FleetShared>, outgoing: OutgoingPushback) {
    let OutgoingPushback { to, notice } = outgoing;
    let faults = NoticeFaultHandlers {
        no_link: FleetNode::handle_pushback_no_link,
        broken_link: FleetNode::handle_pushback_broken_link,
    };
    let call = |client: PeerLinkClient, context| async move {
        client.pushback(context, notice).await
    };
    if send_notice(&shared, &to, faults, call).await.is_some() {
        shared.node().handle_pushback_reply(&to.name);
    }
}

/// The node's handlers for a notice that can't be delivered.
struct NoticeFaultHandlers {
    /// Called if there was no link to the peer.
    no_link: fn(&mut FleetNode, &InstanceName, Duration),
    /// Called if the notice broke its link.
    broken_link: fn(&mut FleetNode, &InstanceName, Duration),
}

/// Sends a notice to a peer. Returns the reply if one arrives in time.
async fn send_notice<Reply, Answer>(
    shared: &FleetShared,
    to: &PeerInfo,
    faults: NoticeFaultHandlers,
    call: impl FnOnce(PeerLinkClient, Context) -> Answer,
) -> Option<Reply>
where
    Answer: Future<Output = Result<Reply, RpcError>>,
{
    let fault = match shared.try_call_peer(to, ANSWER_TIMEOUT, call).await {
        Ok(reply) => return Some(reply),
        Err(fault) => fault,
    };
    let now = shared.clock.now();
    match fault {
        CallFault::NoLink => (faults.no_link)(&mut shared.node(), &to.name, now),
        CallFault::Broken => (faults.broken_link)(&mut shared.node(), &to.name, now),
        CallFault::TimedOut => {}
    }
    None
}

/// Asks a peer for the rows that it has read. A late answer doesn't close the link: heartbeats
/// tell whether the peer is alive.
async fn ask_rows(shared: Arc<FleetShared>, request: RowRequest) {
    let RowRequest { peer, after, wait, margin, answer } = request;
    let query = async {
        let Some(link) = shared.links.open(peer).await else {
            return RowAnswer::Unreachable;
        };
        let wait_ms = wait.as_millis() as u32;
        let rows = |context| link.client.rows(context, after, wait_ms);
        match call_with_timeout(wait + margin, rows).await {
            Ok(RowsReply { changes: Some(changes), .. }) => RowAnswer::Changes(changes),
            Ok(RowsReply { has_gap: true, .. }) => RowAnswer::Gap,
            Ok(_) => RowAnswer::Unavailable,
            Err(cause) => {
                log::debug!("no rows from {peer}: {cause}");
                if !matches!(cause, RpcError::DeadlineExceeded) {
                    shared.links.close(peer, &link).await;
                }
                RowAnswer::Unreachable
            }
        }
    };
    let outcome = tokio::time::timeout(wait + margin, query).await;
    answer(outcome.unwrap_or(RowAnswer::Unreachable));
}
