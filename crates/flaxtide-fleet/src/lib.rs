//! What entry instances say to each other.
//!
//! A [`FleetNode`] is the pure part: what one instance knows of its peers, which backend
//! servers it watches, and how it divides their slots and the rates of organisations. All
//! of it is soft state: it is heard again within a few periods, and what isn't heard
//! expires. [`FleetThread`] carries the messages over tarpc.

mod contact;
mod counted;
mod duty;
mod fetch;
mod info;
mod key;
mod links;
mod news;
mod node;
mod partial;
mod peer;
mod rate;
mod rows;
mod serve;
mod settings;
mod shared;
mod thread;
mod usage;
mod wire;

pub use self::counted::LinkBytes;
pub use self::duty::{UnsentUsage, UsageExchange};
pub use self::info::PeerInfo;
pub use self::key::{FleetKey, fleet_key};
pub use self::node::{
    FleetNode, FleetNotice, FleetServer, FleetTiming, NodeStatus, OutgoingCrashes,
    OutgoingHeartbeat, OutgoingHello, OutgoingPushback, SettingsSource,
};
pub use self::rate::rate_part;
pub use self::rows::{
    ListPlan, ListReader, RowAnswer, RowChanges, RowCopy, RowQuestion, RowSource,
};
pub use self::settings::{
    CopyAssembly, PIECE_BYTES, PieceAnswer, PieceProvider, PieceQuestion, SettingsCopy,
    SettingsPiece, TakenPiece,
};
pub use self::thread::{FleetEvent, FleetThread, FleetUpdate};
pub use self::wire::{
    CrashNotice, CrashReply, DutyHolder, FleetHeartbeat, GroupDigest, GroupHello,
    HeartbeatReply, OwnLoad, PartRead, PoolDemand, PushbackNotice, RatePart,
    ServerDigest, ServerShare, UsageCount, UsageNotice,
};
