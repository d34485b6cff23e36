//! The messages between instances. They are encoded with bincode, so the order of methods,
//! variants and fields must not change.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName, SettingsVersion, StoreVersion};
use flaxtide_policy::{
    CrashReport, EvacuationRecord, PushbackReport, VersionAnswer, VersionNote,
    WindowCounts,
};
use serde::{Deserialize, Serialize};

use crate::answers::AnswerAges;
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::rows::RowsReply;
use crate::settings::{PieceAnswer, PieceQuestion};
use crate::versions::VersionQuestion;

/// The service that each instance offers its peers.
#[tarpc::service]
pub(crate) trait PeerLink {
    /// Records a peer's state, and answers with the peer's shares and this instance's state.
    async fn heartbeat(heartbeat: FleetHeartbeat) -> HeartbeatReply;

    /// Returns the next piece of the settings in force.
    async fn settings(question: PieceQuestion) -> PieceAnswer;

    /// Returns the rows that changed after a version, as soon as there are any or after
    /// `wait_ms` milliseconds.
    async fn rows(after: StoreVersion, wait_ms: u32) -> RowsReply;

    /// Records the state of an instance of another data centre, and answers with this one's
    /// digest.
    async fn digest(hello: GroupHello) -> GroupDigest;

    /// Records a peer's crash reports, and answers with those that the peer lacks if it asks
    /// for a comparison.
    async fn crashes(notice: CrashNotice) -> CrashReply;

    /// Records the usage that a peer has counted, and answers whether this instance holds the
    /// duties.
    async fn usage(notice: UsageNotice) -> bool;

    /// Records a peer's pushback reports.
    async fn pushback(notice: PushbackNotice);

    /// Returns which servers this instance reaches, for a peer whose own path is in doubt.
    async fn reach() -> ReachReply;

    /// Records the versions of a peer's streams.
    async fn versions(notes: Vec<VersionNote>);

    /// Returns what this instance knows of the versions of some streams, in their order.
    async fn ask_versions(questions: Vec<VersionQuestion>) -> Vec<VersionAnswer>;
}

/// What an instance offers to peers whose path to the backend servers is in doubt.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReply {
    /// The address at which the instance takes requests that peers forward; `None` if it takes
    /// none.
    pub address: Option<SocketAddr>,
    /// The servers that the instance reaches.
    pub pools: Vec<ReachDigest>,
}

/// How many servers of a pool an instance has lately reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachDigest {
    /// The key of the pool.
    pub pool: FleetKey,
    /// The number of servers that were reached.
    pub reached: u16,
    /// The number of servers that couldn't be reached.
    pub failed: u16,
}

/// The instance that holds the duties that a single instance carries out for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DutyHolder {
    /// The fencing token of its lease. Of two holders, the one with the higher token is the
    /// newer.
    pub fence: u64,
    /// The address at which the holder accepts links.
    pub address: SocketAddr,
}

/// The usage that an instance reports to the duty holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageNotice {
    /// The reporting instance.
    pub from: PeerInfo,
    /// The instance's epoch, drawn at random when it starts.
    pub epoch: u32,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// The time up to which its reports are complete, in Unix milliseconds.
    pub told_until_ms: u64,
    /// The windows that have changed since its last report to this holder.
    pub windows: Vec<WindowCounts>,
    /// The number of its running and waiting requests, by service.
    pub open: Vec<(FleetKey, u32)>,
}

/// The state of an instance, sent once per period to each peer of its group and, without
/// digests, to one instance of each other data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetHeartbeat {
    /// The name of the instance.
    pub from: InstanceName,
    /// The data centre of the instance.
    pub data_centre: DataCentreName,
    /// The address at which the instance accepts links.
    pub address: SocketAddr,
    /// The instance's epoch, drawn at random when it starts.
    pub epoch: u32,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// The settings version in force.
    pub version: SettingsVersion,
    /// The instance's running and waiting requests, by pool.
    pub demands: Vec<PoolDemand>,
    /// The load reports of the servers that the instance watches.
    pub servers: Vec<ServerDigest>,
    /// The instance's own requests, by backend server.
    pub loads: Vec<OwnLoad>,
    /// The shared prompt parts that servers have recently prefilled for the instance.
    pub reads: Vec<PartRead>,
    /// The servers that recently failed to respond to the instance.
    pub unresponsive: Vec<FleetKey>,
    /// The requests of the organisations whose rates the receiver owns.
    pub usage: Vec<UsageCount>,
    /// Whether the reply should list other instances, because the sender couldn't read the
    /// platform's list.
    pub wants_peers: bool,
    /// The known holder of the duties.
    pub duty: Option<DutyHolder>,
    /// What the instance has seen of the engines that it watches.
    pub engines: Vec<EngineDigest>,
    /// Recent changes of the prompt parts that these engines have cached.
    pub parts: Vec<PartUpdate>,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The epoch of the replying instance.
    pub epoch: u32,
    /// Whether the replying instance is stopping.
    pub leaving: bool,
    /// Its settings version in force.
    pub version: SettingsVersion,
    /// The receiver's shares of the servers that the replying instance watches.
    pub shares: Vec<ServerShare>,
    /// The receiver's shares of the rates that the replying instance owns.
    pub parts: Vec<RatePart>,
    /// The instances that the replying instance knows of, if the heartbeat asked for them.
    pub peers: Vec<PeerInfo>,
    /// The known holder of the duties.
    pub duty: Option<DutyHolder>,
    /// For how long the platform has been answering the replying instance.
    pub answers: Option<AnswerAges>,
}

/// The state of an instance and the size of its data centre, sent to a contact in another data
/// centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupHello {
    /// The sending instance.
    pub from: PeerInfo,
    /// The instance's epoch, drawn at random when it starts.
    pub epoch: u32,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// Its settings version in force.
    pub version: SettingsVersion,
    /// The number of live instances in its data centre.
    pub live: u16,
    /// The known holder of the duties.
    pub duty: Option<DutyHolder>,
}

/// The summed state of the instances of a data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The state of the instance that sends the digest.
    pub hello: GroupHello,
    /// A few other instances, as further contacts.
    pub contacts: Vec<PeerInfo>,
    /// The summed requests of the instances, by backend server.
    pub loads: Vec<OwnLoad>,
    /// The shared prompt parts that servers have recently prefilled for the instances, newest
    /// first.
    pub reads: Vec<PartRead>,
    /// What the instances have seen of the engines that they watch.
    pub engines: Vec<EngineDigest>,
    /// Recent changes of the prompt parts that these engines have cached, newest first.
    pub parts: Vec<PartUpdate>,
}

/// Reports of crashed servers, sent to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The sending instance.
    pub from: PeerInfo,
    /// New reports, or all that the sender knows.
    pub reports: Vec<CrashReport>,
    /// Whether the sender notifies all instances itself, so that the receiver doesn't forward
    /// the reports.
    pub to_all: bool,
    /// The digest of the sender's log, if the receiver should compare logs and return its
    /// reports.
    pub digest: Option<u64>,
}

/// The reply to a crash notice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReply {
    /// All reports of the replying instance, if a comparison was requested and the logs differ.
    pub reports: Vec<CrashReport>,
    /// The digest of the replying instance's log.
    pub digest: u64,
    /// The data centres that are or were evacuated.
    pub evacuations: Vec<EvacuationRecord>,
}

/// Reports of what backend servers have announced, sent to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushbackNotice {
    /// The sending instance.
    pub from: PeerInfo,
    /// New reports, or all that the sender knows.
    pub reports: Vec<PushbackReport>,
    /// Whether the sender notifies all instances itself, so that the receiver doesn't forward
    /// the reports.
    pub to_all: bool,
    /// The data centres that are or were evacuated.
    pub evacuations: Vec<EvacuationRecord>,
}

/// An instance's running and waiting requests for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The key of the pool.
    pub pool: FleetKey,
    /// The number of requests by tier, from the highest tier.
    pub tiers: Vec<u16>,
}

/// The last load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDigest {
    /// The key of the server.
    pub server: FleetKey,
    /// The number of requests that the server is running.
    pub running: u16,
    /// The number of requests that wait in the server.
    pub waiting: u16,
    /// The duration of a step, in units of 10 microseconds.
    pub step: u16,
    /// The age of the report, in units of 10 milliseconds.
    pub age: u16,
    /// Whether the server has announced that it is leaving.
    pub leaving: bool,
}

/// What a watcher has last seen of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The key of the engine.
    pub server: FleetKey,
    /// How long ago the engine last answered, in units of 10 milliseconds; the largest number
    /// if it never has.
    pub answered: u16,
    /// For how long calls have failed, in units of 10 milliseconds; 0 if they don't.
    pub failing: u16,
    /// The engine's report, if it has given one.
    pub report: Option<ReportDigest>,
}

/// The report of an engine in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDigest {
    /// The age of the report, in units of 10 milliseconds.
    pub age: u16,
    /// The number of waiting requests.
    pub waiting: u16,
    /// The number of running requests.
    pub running: u16,
    /// The number of running requests whose prompts are being prefilled; the largest number
    /// if the engine doesn't say.
    pub prefilling: u16,
    /// The prompt tokens of the first waiting request, in units of 16 tokens.
    pub next: u16,
    /// The memory that can't be evicted, in units of 1/65535 of the whole.
    pub memory: u16,
    /// How much longer the engine ran as of the report, in units of 10 milliseconds; the largest
    /// number if it doesn't say or runs for longer than the range.
    pub leaves: u16,
}

/// A change of a prompt part in the cache of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// The key of the engine.
    pub server: FleetKey,
    /// The key of the prompt part.
    pub part: u32,
    /// Whether the engine has the whole part cached now.
    pub cached: bool,
}

/// One instance's requests at a backend server, or the sum over several instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnLoad {
    /// The key of the server.
    pub server: FleetKey,
    /// The number of requests with a short prompt or none.
    pub short: u8,
    /// The number of requests with a long prompt.
    pub long: u8,
    /// The prompt tokens of these requests still to be prefilled, in units of 16 tokens, by the
    /// level of the request class.
    pub unread: [u16; 3],
}

/// A shared prompt part that a server has prefilled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRead {
    /// The key of the server.
    pub server: FleetKey,
    /// The key of the prompt part.
    pub part: u32,
}

/// The number of an organisation's requests since the last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The key of the organisation.
    pub organisation: FleetKey,
    /// The number of requests, capped at the largest `u16`.
    pub count: u16,
}

/// An instance's share of a server's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerShare {
    /// The key of the server.
    pub server: FleetKey,
    /// The number of slots in the share.
    pub slots: u16,
}

/// An instance's share of an organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatePart {
    /// The key of the organisation.
    pub organisation: FleetKey,
    /// The share, in units of 1/65535.
    pub part: u16,
}
