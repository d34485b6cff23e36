//! Watching engines: two instances call each engine regularly, so that all know whether it is
//! alive, what it works on and which prompt parts it has cached.
//!
//! - `engines.rs`: the engines that this instance watches, each with a task;
//! - `watcher.rs`: the task, which makes one call after the other over its own connection;
//! - `pace.rs`: which call is next, and when;
//! - `record.rs`: what the calls have shown of the engine itself;
//! - `parts.rs`: which prompt parts the watcher has reported as cached;
//! - `link.rs`: the connection;
//! - `own.rs`: what is passed on to peers;
//! - `host.rs`: what a watcher needs of the instance.

mod engines;
mod host;
mod link;
mod own;
mod pace;
mod parts;
mod record;
mod watcher;

pub(crate) use self::engines::EngineWatches;
pub(crate) use self::host::update_watches;
pub use self::own::OwnSightings;
pub use self::pace::{WatchCall, WatchPace};
pub use self::parts::ReportedParts;
pub use self::record::EngineRecord;
