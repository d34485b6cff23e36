//! The messages between instances.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName, SettingsVersion, StoreVersion};
use flaxtide_policy::{CrashReport, PushbackReport, WindowCounts};
use serde::{Deserialize, Serialize};

use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::rows::RowChanges;
use crate::settings::{PieceAnswer, PieceQuestion};

/// What an instance answers its peers.
#[tarpc::service]
pub(crate) trait PeerLink {
    /// Records what a peer says of itself, and answers with what the peer should know.
    async fn heartbeat(heartbeat: FleetHeartbeat) -> HeartbeatReply;

    /// Returns the next piece of the settings in force.
    async fn settings(question: PieceQuestion) -> PieceAnswer;

    /// Returns the rows that changed after a version, as soon as there are any or after so
    /// many milliseconds; nothing if that can't be told.
    async fn rows(after: StoreVersion, wait_ms: u32) -> Option<RowChanges>;

    /// Hears how an instance of another data centre is, and answers with this one's digest.
    async fn digest(hello: GroupHello) -> GroupDigest;

    /// Hears which servers ended under which requests, and answers with what the peer lacks.
    async fn crashes(notice: CrashNotice) -> CrashReply;

    /// Hears what a peer has counted, and answers whether this instance holds the duties.
    async fn usage(notice: UsageNotice) -> bool;

    /// Hears what backend servers have said of themselves.
    async fn pushback(notice: PushbackNotice);
}

/// Who holds the duties that one instance has for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DutyHolder {
    /// Its fencing number. Of two holders the one with the higher is the newer.
    pub fence: u64,
    /// Where it hears its peers.
    pub address: SocketAddr,
}

/// What an instance tells the one that holds the duties.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageNotice {
    /// The instance.
    pub from: PeerInfo,
    /// Drawn at random at its start.
    pub epoch: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Up to when it has told everything, in milliseconds since the start of 1970.
    pub told_until_ms: u64,
    /// The windows that have changed since it last told.
    pub windows: Vec<WindowCounts>,
    /// How many of its requests run or wait, by service.
    pub open: Vec<(FleetKey, u32)>,
}

/// What an instance says of itself, once a period, to each peer of its data centre and to
/// one of each other data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetHeartbeat {
    /// Its name.
    pub from: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// Drawn at random at its start.
    pub epoch: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The settings version in force.
    pub version: SettingsVersion,
    /// Its requests for each pool.
    pub demands: Vec<PoolDemand>,
    /// The backend servers that it watches.
    pub servers: Vec<ServerDigest>,
    /// Its own requests at backend servers.
    pub loads: Vec<OwnLoad>,
    /// The shared parts of prompts that servers have read for it lately.
    pub reads: Vec<PartRead>,
    /// The servers that it has found silent lately.
    pub unresponsive: Vec<FleetKey>,
    /// The use of organisations whose rate the receiver keeps.
    pub usage: Vec<UsageCount>,
    /// Whether it wants to be told of other instances, as it can't read the list.
    pub wants_peers: bool,
    /// Who holds the duties, as far as it knows.
    pub duty: Option<DutyHolder>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The epoch of the instance that answers.
    pub epoch: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Its settings version in force.
    pub version: SettingsVersion,
    /// The sender's shares of the servers that the answering instance watches.
    pub shares: Vec<ServerShare>,
    /// The sender's parts of the rates that the answering instance keeps.
    pub parts: Vec<RatePart>,
    /// The instances that it knows of, if that was asked for.
    pub peers: Vec<PeerInfo>,
    /// Who holds the duties, as far as it knows.
    pub duty: Option<DutyHolder>,
}

/// What an instance says of itself and its data centre to a contact in another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupHello {
    /// The instance.
    pub from: PeerInfo,
    /// Drawn at random at its start.
    pub epoch: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Its settings version in force.
    pub version: SettingsVersion,
    /// How many instances of its data centre are alive.
    pub live: u16,
    /// Who holds the duties, as far as it knows.
    pub duty: Option<DutyHolder>,
}

/// What the instances of a data centre have in sum.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The instance that tells it.
    pub hello: GroupHello,
    /// A few others, as further contacts.
    pub contacts: Vec<PeerInfo>,
    /// Their requests at backend servers, in sum.
    pub loads: Vec<OwnLoad>,
    /// The shared parts of prompts that servers have read for them lately, the newest first.
    pub reads: Vec<PartRead>,
}

/// What an instance tells a peer of servers that ended under requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The instance.
    pub from: PeerInfo,
    /// News, or all that it knows.
    pub reports: Vec<CrashReport>,
    /// Whether it tells all other instances itself, so that nobody has to pass it on.
    pub to_all: bool,
    /// What its log adds up to, if the peer is to compare and tell what it knows.
    pub digest: Option<u64>,
}

/// The answer to a notice of crashes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReply {
    /// What the answering instance knows, if it was asked and its log differs.
    pub reports: Vec<CrashReport>,
    /// What its log adds up to.
    pub digest: u64,
}

/// What an instance tells a peer of what backend servers have said of themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushbackNotice {
    /// The instance.
    pub from: PeerInfo,
    /// News, or all that it knows.
    pub reports: Vec<PushbackReport>,
    /// Whether it tells all other instances itself, so that nobody has to pass it on.
    pub to_all: bool,
}

/// An instance's requests for one pool, running or waiting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: FleetKey,
    /// The requests of each tier, from the highest.
    pub tiers: Vec<u16>,
}

/// The last load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDigest {
    /// The server.
    pub server: FleetKey,
    /// How many requests it works on.
    pub running: u16,
    /// How many requests wait in it.
    pub waiting: u16,
    /// How long a step takes, in units of 10 microseconds.
    pub step: u16,
    /// How old the report is, in units of 10 milliseconds.
    pub age: u16,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// What one instance has at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnLoad {
    /// The server.
    pub server: FleetKey,
    /// How many of the instance's requests with short prompts, or none, are there.
    pub short: u8,
    /// How many with long prompts.
    pub long: u8,
    /// How many prompt tokens of them are still to be read, in units of 16, by the level of
    /// their class.
    pub unread: [u16; 3],
}

/// A server has read a shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRead {
    /// The server.
    pub server: FleetKey,
    /// What stands for the part.
    pub part: u32,
}

/// How many requests of an organisation came since the last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The organisation.
    pub organisation: FleetKey,
    /// How many requests.
    pub count: u16,
}

/// A share of a server's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerShare {
    /// The server.
    pub server: FleetKey,
    /// How many slots.
    pub slots: u16,
}

/// A part of an organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatePart {
    /// The organisation.
    pub organisation: FleetKey,
    /// The part, in units of 1/65535.
    pub part: u16,
}
