//! The fleet thread: it carries messages over tarpc. Nothing else in flaxtide is async.

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
use crate::links::call;
use crate::node::{
    FleetNode, FleetNotice, OutgoingCrashes, OutgoingHeartbeat, OutgoingHello,
    OutgoingPushback,
};
use crate::rows::{RowAnswer, RowQuestion, RowSource};
use crate::serve::serve;
use crate::settings::SettingsCopy;
use crate::shared::{ANSWER_TIMEOUT, CallFault, FleetOutput, FleetShared};
use crate::usage::UsageRound;
use crate::wire::PeerLinkClient;

/// How often the thread polls its rings.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The shortest time between two rounds of heartbeats that don't wait for their period.
const URGENT_PERIOD: Duration = Duration::from_millis(200);

/// How often links to peers that aren't known any more are closed.
const TIDY_PERIOD: Duration = Duration::from_secs(5);

/// An event for the fleet thread.
#[derive(Debug)]
pub enum FleetEvent {
    /// The node is to be changed.
    Update(FleetUpdate),
    /// Everyone is to hear at once.
    SendHeartbeats,
    /// A peer is to be asked for the rows that it has read.
    AskRows(RowQuestion),
    /// The thread is to end.
    Stop,
}

/// A change of the node, made on the fleet thread.
pub struct FleetUpdate(NodeChange);

/// What changes a node.
type NodeChange = Box<dyn FnOnce(&mut FleetNode, Duration) + Send>;

impl FleetUpdate {
    /// Makes a change.
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

/// The fleet thread, before it runs.
pub struct FleetThread {
    /// The listener for peers.
    listener: std::net::TcpListener,
    /// The async runtime, of one thread.
    runtime: Runtime,
    /// What all tasks share.
    shared: Arc<FleetShared>,
}

impl FleetThread {
    /// Listens for peers. `notices` takes what is heard, `adopt` takes settings that a peer
    /// sent, and `settings` gives the settings in force if newer than a version.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on the address.
    pub fn listen(
        address: SocketAddr,
        clock: MilliClock,
        notices: impl Fn(Vec<FleetNotice>) + Send + Sync + 'static,
        adopt: impl Fn(SettingsCopy) + Send + Sync + 'static,
        settings: impl Fn(SettingsVersion) -> Option<SettingsCopy> + Send + Sync + 'static,
        node: impl FnOnce(SocketAddr) -> FleetNode,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let node = node(listener.local_addr()?);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let output = move |output: FleetOutput| match output {
            FleetOutput::Notices(heard) => notices(heard),
            FleetOutput::Settings(copy) => adopt(copy),
        };
        let shared = FleetShared::new(node, clock, Box::new(output), Box::new(settings));
        let shared = Arc::new(shared);
        Ok(Self { listener, runtime, shared })
    }

    /// Has it give peers what this instance has read. Only the first source counts.
    pub fn set_row_source(&self, source: Arc<dyn RowSource>) {
        // A second source would be a fault of the caller's, and the first stays right.
        let _ = self.shared.rows.set(source);
    }

    /// Has it tell the one that holds the duties what this instance has counted. Only the first
    /// exchange counts.
    pub fn set_usage_exchange(&self, exchange: Arc<dyn UsageExchange>) {
        // A second exchange would be a fault of the caller's, and the first stays right.
        let _ = self.shared.duties.set(exchange);
    }

    /// Returns where it listens.
    ///
    /// # Errors
    ///
    /// Returns the fault if the address can't be told.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the count of the bytes on its links.
    #[must_use]
    pub fn bytes(&self) -> LinkBytes {
        self.shared.links.bytes.clone()
    }

    /// Carries messages until told to stop.
    pub fn run(self, events: &Receiver<FleetEvent>) {
        let Self { listener, runtime, shared } = self;
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::spawn(serve(listener, shared.clone()));
                    lead(&shared, events).await;
                }
                Err(cause) => log::error!("no listener for peers: {cause}"),
            }
        });
        // Links that are still open are dropped, not waited for.
        runtime.shutdown_background();
    }
}

/// Takes events and sends heartbeats until told to stop.
async fn lead(shared: &Arc<FleetShared>, events: &Receiver<FleetEvent>) {
    let mut urgent = UrgentRound::default();
    let mut fetch = None;
    let mut tidied = Duration::ZERO;
    let mut usage = UsageRound::default();
    while take_events(shared, events, &mut urgent) {
        let now = shared.clock.now();
        fetch_if_due(shared, &mut fetch, now);
        let mut heartbeats = shared.node().due_heartbeats(now);
        if heartbeats.is_empty() && urgent.is_due(now) {
            urgent = UrgentRound { wanted: false, last: Some(now) };
            heartbeats = shared.node().urgent_heartbeats();
        }
        for heartbeat in heartbeats {
            tokio::spawn(send(shared.clone(), heartbeat));
        }
        if now >= tidied + TIDY_PERIOD {
            tidied = now;
            let addresses = shared.node().addresses();
            shared.links.keep_only(|address| addresses.contains(address));
        }
        usage.tell_if_due(shared, now);
        let hellos = shared.node().due_hellos(now);
        for hello in hellos {
            tokio::spawn(ask_digest(shared.clone(), hello));
        }
        let crashes = shared.node().due_crashes(now);
        for outgoing in crashes {
            tokio::spawn(tell_crashes(shared.clone(), outgoing));
        }
        let pushback = shared.node().due_pushback(now);
        for outgoing in pushback {
            tokio::spawn(tell_pushback(shared.clone(), outgoing));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// A round of heartbeats that doesn't wait for its period.
#[derive(Debug, Default)]
struct UrgentRound {
    /// Whether there is something that everyone is to hear at once.
    wanted: bool,
    /// When the last one was.
    last: Option<Duration>,
}

impl UrgentRound {
    /// Returns whether it is to be sent now.
    fn is_due(&self, now: Duration) -> bool {
        self.wanted && self.last.is_none_or(|at| now >= at + URGENT_PERIOD)
    }
}

/// Takes all events that are in the ring. Returns whether to go on.
fn take_events(
    shared: &Arc<FleetShared>,
    events: &Receiver<FleetEvent>,
    urgent: &mut UrgentRound,
) -> bool {
    loop {
        match events.try_recv() {
            Ok(FleetEvent::Update(FleetUpdate(update))) => {
                let now = shared.clock.now();
                update(&mut shared.node(), now);
            }
            Ok(FleetEvent::SendHeartbeats) => urgent.wanted = true,
            Ok(FleetEvent::AskRows(question)) => {
                tokio::spawn(ask_rows(shared.clone(), question));
            }
            Err(TryRecvError::Empty) => return true,
            Ok(FleetEvent::Stop) | Err(TryRecvError::Disconnected) => return false,
        }
    }
}

/// Begins a fetch of settings if one is due and none is under way. One at a time, also
/// if several peers tell of newer settings: a fetch for each notice filled links with hundreds
/// of copies, and the memory of the providers.
fn fetch_if_due(
    shared: &Arc<FleetShared>,
    fetch: &mut Option<JoinHandle<()>>,
    now: Duration,
) {
    let mut node = shared.node();
    node.record_newer(now);
    if fetch.as_ref().is_none_or(JoinHandle::is_finished) && node.settings_due(now) {
        drop(node);
        *fetch = Some(tokio::spawn(fetch_settings(shared.clone())));
    }
}

/// Sends one heartbeat and handles the reply.
async fn send(shared: Arc<FleetShared>, outgoing: OutgoingHeartbeat) {
    let OutgoingHeartbeat { to, heartbeat } = outgoing;
    let ask = |client: PeerLinkClient, context| async move {
        client.heartbeat(context, heartbeat).await
    };
    let Some(reply) = shared.call_peer(&to, ANSWER_TIMEOUT, ask).await else { return };
    let now = shared.clock.now();
    let notices = shared.node().handle_reply(&to.name, &reply, now);
    shared.notify(notices);
}

/// Asks a contact in another data centre for its digest.
async fn ask_digest(shared: Arc<FleetShared>, outgoing: OutgoingHello) {
    let OutgoingHello { to, hello } = outgoing;
    let ask = |client: PeerLinkClient, context| async move {
        client.digest(context, hello).await
    };
    let Some(digest) = shared.call_peer(&to, ANSWER_TIMEOUT, ask).await else { return };
    let now = shared.clock.now();
    let notices = shared.node().handle_digest(&digest, now);
    shared.notify(notices);
}

/// Tells a peer of servers that ended under requests, and handles its answer.
async fn tell_crashes(shared: Arc<FleetShared>, outgoing: OutgoingCrashes) {
    let OutgoingCrashes { to, notice } = outgoing;
    let faults = NoticeFaults {
        missed: FleetNode::handle_crash_miss,
        broken: FleetNode::handle_crash_break,
    };
    let tell = |client: PeerLinkClient, context| async move {
        client.crashes(context, notice).await
    };
    let Some(reply) = deliver(&shared, &to, faults, tell).await else { return };
    let now = shared.clock.now();
    let notices = shared.node().handle_crash_reply(&to.name, &reply, now);
    shared.notify(notices);
}

/// Tells a peer what backend servers have said of themselves.
async fn tell_pushback(shared: Arc<FleetShared>, outgoing: OutgoingPushback) {
    let OutgoingPushback { to, notice } = outgoing;
    let faults = NoticeFaults {
        missed: FleetNode::handle_pushback_miss,
        broken: FleetNode::handle_pushback_break,
    };
    let tell = |client: PeerLinkClient, context| async move {
        client.pushback(context, notice).await
    };
    if deliver(&shared, &to, faults, tell).await.is_some() {
        shared.node().handle_pushback_reply(&to.name);
    }
}

/// What a node does about a notice that doesn't arrive.
struct NoticeFaults {
    /// There was no link for it.
    missed: fn(&mut FleetNode, &InstanceName, Duration),
    /// It broke its link.
    broken: fn(&mut FleetNode, &InstanceName, Duration),
}

/// Delivers a notice to a peer. Returns the reply, if one came in time.
async fn deliver<Reply, Answer>(
    shared: &FleetShared,
    to: &PeerInfo,
    faults: NoticeFaults,
    tell: impl FnOnce(PeerLinkClient, Context) -> Answer,
) -> Option<Reply>
where
    Answer: Future<Output = Result<Reply, RpcError>>,
{
    let fault = match shared.try_call_peer(to, ANSWER_TIMEOUT, tell).await {
        Ok(reply) => return Some(reply),
        Err(fault) => fault,
    };
    let now = shared.clock.now();
    match fault {
        CallFault::NoLink => (faults.missed)(&mut shared.node(), &to.name, now),
        CallFault::Broken => (faults.broken)(&mut shared.node(), &to.name, now),
        CallFault::Late => {}
    }
    None
}

/// Asks a peer for the rows that it has read. An answer that is late doesn't close the link:
/// its heartbeats tell whether the peer is there.
async fn ask_rows(shared: Arc<FleetShared>, question: RowQuestion) {
    let RowQuestion { peer, after, wait, margin, answer } = question;
    let asked = async {
        let Some(link) = shared.links.open(peer).await else {
            return RowAnswer::Unreachable;
        };
        let wait_ms = wait.as_millis() as u32;
        let rows = |context| link.client.rows(context, after, wait_ms);
        match call(wait + margin, rows).await {
            Ok(Some(changes)) => RowAnswer::Changes(changes),
            Ok(None) => RowAnswer::Unavailable,
            Err(cause) => {
                log::debug!("no rows from {peer}: {cause}");
                if !matches!(cause, RpcError::DeadlineExceeded) {
                    shared.links.close(peer, &link).await;
                }
                RowAnswer::Unreachable
            }
        }
    };
    let answered = tokio::time::timeout(wait + margin, asked).await;
    answer(answered.unwrap_or(RowAnswer::Unreachable));
}
