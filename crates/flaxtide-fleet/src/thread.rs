//! The fleet thread: it carries messages over tarpc. Nothing else in flaxtide is async.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, TryRecvError};
use flaxtide_core::{MilliClock, SettingsVersion};
use futures::StreamExt;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

use crate::counted::LinkBytes;
use crate::fetch::{PartialCopy, fetch_settings};
use crate::links::{PeerLinks, call, transport};
use crate::node::{FleetNode, FleetNotice, OutgoingHeartbeat, OutgoingHello};
use crate::rows::{RowAnswer, RowChanges, RowQuestion, RowSource};
use crate::settings::{PieceAnswer, PieceProvider, PieceQuestion, SettingsCopy};
use crate::wire::{FleetHeartbeat, GroupDigest, GroupHello, HeartbeatReply, PeerLink};

/// How often the thread polls its rings.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// How long a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How many requests of one link are answered side by side.
const REQUESTS_OF_A_LINK: usize = 8;

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
    Urgent,
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

/// What the fleet thread passes on: what peers have told, or settings.
pub(crate) enum FleetOutput {
    /// What peers have told, as it came in one message.
    Notices(Vec<FleetNotice>),
    /// The settings that a peer sent.
    Settings(SettingsCopy),
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

/// What all tasks of the fleet thread share.
pub(crate) struct FleetShared {
    /// The node.
    node: Mutex<FleetNode>,
    /// The clock.
    pub(crate) clock: MilliClock,
    /// Takes what is heard.
    pub(crate) output: Box<dyn Fn(FleetOutput) + Send + Sync>,
    /// Gives the settings in force to peers.
    settings: Box<dyn Fn(SettingsVersion) -> Option<SettingsCopy> + Send + Sync>,
    /// What this instance has read from the platform for peers, once it does.
    rows: OnceLock<Arc<dyn RowSource>>,
    /// The open links to peers.
    pub(crate) links: PeerLinks,
    /// Gives the settings to a few peers at a time.
    provider: Mutex<PieceProvider>,
    /// What has come of the settings that are being fetched. It outlasts a fetch that ends
    /// before they are whole.
    begun: Mutex<PartialCopy>,
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
        let shared = Arc::new(FleetShared {
            node: Mutex::new(node),
            clock,
            output: Box::new(output),
            settings: Box::new(settings),
            rows: OnceLock::new(),
            links: PeerLinks::default(),
            provider: Mutex::default(),
            begun: Mutex::default(),
        });
        Ok(Self { listener, runtime, shared })
    }

    /// Has it give peers what this instance has read. Only the first source counts.
    pub fn share_rows(&self, source: Arc<dyn RowSource>) {
        // A second source would be a fault of the caller's, and the first stays right.
        let _ = self.shared.rows.set(source);
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

impl FleetShared {
    /// Locks the node. A panic elsewhere doesn't spoil it.
    pub(crate) fn node(&self) -> MutexGuard<'_, FleetNode> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what has come of settings.
    pub(crate) fn begun(&self) -> MutexGuard<'_, PartialCopy> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes on what has been heard.
    fn tell(&self, notices: Vec<FleetNotice>) {
        if !notices.is_empty() {
            (self.output)(FleetOutput::Notices(notices));
        }
    }
}

/// Takes events and sends heartbeats until told to stop.
async fn lead(shared: &Arc<FleetShared>, events: &Receiver<FleetEvent>) {
    let mut urgent = UrgentRound::default();
    let mut fetch = None;
    let mut tidied = Duration::ZERO;
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
        let hellos = shared.node().due_hellos(now);
        for hello in hellos {
            tokio::spawn(ask_digest(shared.clone(), hello));
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
            Ok(FleetEvent::Urgent) => urgent.wanted = true,
            Ok(FleetEvent::AskRows(question)) => {
                tokio::spawn(ask_rows(shared.clone(), question));
            }
            Err(TryRecvError::Empty) => return true,
            Ok(FleetEvent::Stop) | Err(TryRecvError::Disconnected) => return false,
        }
    }
}

/// Begins a fetch of settings if one is due and none is under way. One at a time, whoever
/// tells of newer settings meanwhile: a fetch for each notice filled links with hundreds of
/// copies, and the memory of who gave them.
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

/// Sends one heartbeat and takes in the reply.
async fn send(shared: Arc<FleetShared>, outgoing: OutgoingHeartbeat) {
    let address = outgoing.to.address;
    let Some(link) = shared.links.open(address).await else { return };
    let heartbeat = |context| link.client.heartbeat(context, outgoing.heartbeat);
    match call(ANSWER_TIMEOUT, heartbeat).await {
        Ok(reply) => {
            let now = shared.clock.now();
            let notices = shared.node().handle_reply(&outgoing.to.name, &reply, now);
            shared.tell(notices);
        }
        Err(cause) => {
            log::debug!("no answer from {}: {cause}", outgoing.to.name);
            shared.links.close(address, &link).await;
        }
    }
}

/// Asks a contact in another data centre for its digest.
async fn ask_digest(shared: Arc<FleetShared>, outgoing: OutgoingHello) {
    let address = outgoing.to.address;
    let Some(link) = shared.links.open(address).await else { return };
    let digest = |context| link.client.digest(context, outgoing.hello);
    match call(ANSWER_TIMEOUT, digest).await {
        Ok(digest) => {
            let now = shared.clock.now();
            let notices = shared.node().handle_digest(&digest, now);
            shared.tell(notices);
        }
        Err(cause) => {
            log::debug!("no digest from {}: {cause}", outgoing.to.name);
            shared.links.close(address, &link).await;
        }
    }
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
            Ok(Some(changes)) => RowAnswer::Told(changes),
            Ok(None) => RowAnswer::Unable,
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

/// Answers peers.
async fn serve(listener: TcpListener, shared: Arc<FleetShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(POLL_PERIOD).await;
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
        self.shared.tell(notices);
        reply
    }

    async fn digest(self, _: Context, hello: GroupHello) -> GroupDigest {
        let now = self.shared.clock.now();
        self.shared.node().handle_hello(&hello, now)
    }

    async fn settings(self, _: Context, question: PieceQuestion) -> PieceAnswer {
        let shared = &self.shared;
        let newest = || (shared.settings)(question.newer_than);
        let mut provider = shared.provider.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = provider.answer(question, newest, shared.clock.now());
        log_given(question, &answer);
        answer
    }

    async fn rows(self, _: Context, after: u64, wait_ms: u32) -> Option<RowChanges> {
        let source = self.shared.rows.get()?.clone();
        let wait = Duration::from_millis(wait_ms.into()).min(ANSWER_TIMEOUT);
        let changed = source.changed();
        let woken = changed.notified();
        let notices = source.changes_after(after)?;
        if !notices.rows.is_empty() {
            return Some(notices);
        }
        // Without updates in time, the answer says up to when there was none.
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
