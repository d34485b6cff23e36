//! What inference engines report of themselves, and what instances tell each other of it.
//!
//! A few instances, the watchers, call each engine regularly. Their sightings show that an
//! engine is alive although it doesn't answer requests at the moment, what it works on, and
//! which prompt parts it has cached.

mod parts;
mod report;
mod sighting;

pub use self::parts::PartChange;
pub use self::report::EngineReport;
pub use self::sighting::{EngineSighting, EngineSightings, SIGHTING_BOUND};
