//! Patterns of load, played against the real routers of many instances.
//!
//! A [`LoadPattern`] is plain data: how many instances, which servers, which requests, and
//! how instances hear of each other's requests ([`GossipShape`]). [`play`] moves a manual
//! clock from event to event; nothing is read from a network, a thread or the machine's
//! clock, and the same pattern and seed give the same [`LoadReport`].

mod burst;
mod engine;
mod event;
mod fleet;
mod pattern;
mod server;
mod versions;
mod world;

pub use self::burst::{BurstPattern, BurstReport, StreamShape, play_burst};
pub use self::fleet::{
    EngineLoss, FleetPattern, FleetReport, LoadBurst, LossKind, play_fleet,
};
pub use self::pattern::{GossipShape, LoadPattern};
pub use self::versions::{VersionOutcome, VersionPattern, play_versions};
pub use self::world::{LoadReport, play};
