//! The state shared by the tasks of the fleet thread, and calls to peers.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use flaxtide_core::{MilliClock, SettingsVersion};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::duty::UsageExchange;
use crate::info::PeerInfo;
use crate::links::{PeerLinks, call_with_timeout};
use crate::node::{FleetNode, NodeEvent};
use crate::partial::PartialCopy;
use crate::rows::RowSource;
use crate::settings::{PieceProvider, SettingsCopy};
use crate::versions::{VersionExchange, VersionState};
use crate::wire::PeerLinkClient;

/// How long a peer may take to answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the fleet thread passes on to the rest of the instance.
pub(crate) enum FleetOutput {
    /// The events from one message of a peer.
    Events(Vec<NodeEvent>),
    /// Settings fetched from peers.
    Settings(SettingsCopy),
}

/// Receives the output of the fleet thread.
type OutputHandler = Box<dyn Fn(FleetOutput) + Send + Sync>;

/// Returns the settings in force if they are newer than a version.
type SettingsLookup = Box<dyn Fn(SettingsVersion) -> Option<SettingsCopy> + Send + Sync>;

/// The state shared by all tasks of the fleet thread.
pub(crate) struct FleetShared {
    /// The instance's state in the fleet.
    node: Mutex<FleetNode>,
    /// The clock of all times that the node is given.
    pub(crate) clock: MilliClock,
    /// Receives events and fetched settings.
    pub(crate) output: OutputHandler,
    /// Returns the settings in force if they are newer than a version.
    pub(crate) settings_newer_than: SettingsLookup,
    /// The rows that this instance has read from the platform for its peers, once set.
    pub(crate) row_source: OnceLock<Arc<dyn RowSource>>,
    /// The exchange of usage counts with the duty holder, once set.
    pub(crate) usage_exchange: OnceLock<Arc<dyn UsageExchange>>,
    /// What this instance knows of the versions of streams, once set.
    pub(crate) versions: OnceLock<Arc<dyn VersionExchange>>,
    /// What the exchange of versions with peers remembers.
    pub(crate) version_state: VersionState,
    /// The open links to peers.
    pub(crate) links: PeerLinks,
    /// Sends settings to a few peers at a time.
    pub(crate) provider: Mutex<PieceProvider>,
    /// The settings being fetched. Pieces outlast a fetch that ends before the settings are
    /// complete.
    partial: Mutex<PartialCopy>,
}

/// Why a peer hasn't answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// There was no link to the peer, and none could be opened.
    NoLink,
    /// No answer arrived in time.
    TimedOut,
    /// The call broke the link.
    Broken,
}

/// Locks a mutex. What it protects stays usable after a panic in another task.
pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FleetShared {
    /// Creates the state without links and exchanges.
    pub(crate) fn new(
        node: FleetNode,
        clock: MilliClock,
        output: OutputHandler,
        settings_newer_than: SettingsLookup,
    ) -> Self {
        Self {
            node: Mutex::new(node),
            clock,
            output,
            settings_newer_than,
            row_source: OnceLock::new(),
            usage_exchange: OnceLock::new(),
            versions: OnceLock::new(),
            version_state: VersionState::default(),
            links: PeerLinks::default(),
            provider: Mutex::default(),
            partial: Mutex::default(),
        }
    }

    /// Locks the node. It stays usable after a panic in another task.
    pub(crate) fn node(&self) -> MutexGuard<'_, FleetNode> {
        lock(&self.node)
    }

    /// Locks the settings being fetched.
    pub(crate) fn partial(&self) -> MutexGuard<'_, PartialCopy> {
        lock(&self.partial)
    }

    /// Calls a peer and returns its answer. Without an answer in time, closes the link and
    /// returns `None`.
    pub(crate) async fn call_peer<Answer, Call>(
        &self,
        peer: &PeerInfo,
        timeout: Duration,
        ask: impl FnOnce(PeerLinkClient, Context) -> Call,
    ) -> Option<Answer>
    where
        Call: Future<Output = Result<Answer, RpcError>>,
    {
        self.try_call_peer(peer, timeout, ask).await.ok()
    }

    /// Calls a peer and returns its answer. Without an answer in time, closes the link.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn try_call_peer<Answer, Call>(
        &self,
        peer: &PeerInfo,
        timeout: Duration,
        ask: impl FnOnce(PeerLinkClient, Context) -> Call,
    ) -> Result<Answer, CallFault>
    where
        Call: Future<Output = Result<Answer, RpcError>>,
    {
        let link = self.links.open(peer.address).await.ok_or(CallFault::NoLink)?;
        let client = link.client.clone();
        match call_with_timeout(timeout, |context| ask(client, context)).await {
            Ok(answer) => Ok(answer),
            Err(cause) => {
                log::debug!("no answer from {}: {cause}", peer.name);
                self.links.close(peer.address, &link).await;
                let timed_out = matches!(cause, RpcError::DeadlineExceeded);
                Err(if timed_out { CallFault::TimedOut } else { CallFault::Broken })
            }
        }
    }

    /// Passes events on to the rest of the instance.
    pub(crate) fn emit(&self, events: Vec<NodeEvent>) {
        if !events.is_empty() {
            (self.output)(FleetOutput::Events(events));
        }
    }
}
