//! What the tasks of the fleet thread share, and their calls to peers.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use flaxtide_core::{MilliClock, SettingsVersion};
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::duty::UsageExchange;
use crate::info::PeerInfo;
use crate::links::{PeerLinks, call};
use crate::node::{FleetNode, FleetNotice};
use crate::partial::PartialCopy;
use crate::rows::RowSource;
use crate::settings::{PieceProvider, SettingsCopy};
use crate::wire::PeerLinkClient;

/// How long a peer may take to answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the fleet thread passes on: what peers have told, or settings.
pub(crate) enum FleetOutput {
    /// What peers have told, as it came in one message.
    Notices(Vec<FleetNotice>),
    /// The settings that a peer sent.
    Settings(SettingsCopy),
}

/// Takes what the fleet thread passes on.
type TakeOutput = Box<dyn Fn(FleetOutput) + Send + Sync>;

/// Gives the settings in force, if newer than a version.
type GiveSettings = Box<dyn Fn(SettingsVersion) -> Option<SettingsCopy> + Send + Sync>;

/// What all tasks of the fleet thread share.
pub(crate) struct FleetShared {
    /// The node.
    node: Mutex<FleetNode>,
    /// The clock.
    pub(crate) clock: MilliClock,
    /// Takes what is heard.
    pub(crate) output: TakeOutput,
    /// Gives the settings in force to peers.
    pub(crate) settings: GiveSettings,
    /// What this instance has read from the platform for peers, once it does.
    pub(crate) rows: OnceLock<Arc<dyn RowSource>>,
    /// What this instance counts for the one that holds the duties, if there are any.
    pub(crate) duties: OnceLock<Arc<dyn UsageExchange>>,
    /// The open links to peers.
    pub(crate) links: PeerLinks,
    /// Gives the settings to a few peers at a time.
    pub(crate) provider: Mutex<PieceProvider>,
    /// What has come of the settings that are being fetched. It outlasts a fetch that ends
    /// before they are whole.
    partial: Mutex<PartialCopy>,
}

/// Why a peer hasn't answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// There was no link to it.
    NoLink,
    /// No answer came in time.
    Late,
    /// The call broke its link.
    Broken,
}

impl FleetShared {
    /// Starts without links or rows to give.
    pub(crate) fn new(
        node: FleetNode,
        clock: MilliClock,
        output: TakeOutput,
        settings: GiveSettings,
    ) -> Self {
        Self {
            node: Mutex::new(node),
            clock,
            output,
            settings,
            rows: OnceLock::new(),
            duties: OnceLock::new(),
            links: PeerLinks::default(),
            provider: Mutex::default(),
            partial: Mutex::default(),
        }
    }

    /// Locks the node. A panic elsewhere doesn't spoil it.
    pub(crate) fn node(&self) -> MutexGuard<'_, FleetNode> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what has come of settings.
    pub(crate) fn partial(&self) -> MutexGuard<'_, PartialCopy> {
        self.partial.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a peer over its link, which is closed unless an answer comes in time. Returns
    /// nothing without an answer.
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

    /// The same.
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
        match call(timeout, |context| ask(client, context)).await {
            Ok(answer) => Ok(answer),
            Err(cause) => {
                log::debug!("no answer from {}: {cause}", peer.name);
                self.links.close(peer.address, &link).await;
                let late = matches!(cause, RpcError::DeadlineExceeded);
                Err(if late { CallFault::Late } else { CallFault::Broken })
            }
        }
    }

    /// Passes on what has been heard.
    pub(crate) fn notify(&self, notices: Vec<FleetNotice>) {
        if !notices.is_empty() {
            (self.output)(FleetOutput::Notices(notices));
        }
    }
}
