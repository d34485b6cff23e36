//! Small stand-ins for what flaxtide meets: the platform, a model engine, a plain service,
//! and a relay that plays a bad network.
//!
//! Each listens on an address, runs on threads of its own until it is dropped, and has
//! faults that can be turned on while it runs, in the process or over HTTP under `/faults`.

mod endless;
mod engine;
mod listen;
mod platform;
mod relay;
mod service;
mod text;

pub use self::endless::EndlessKind;
pub use self::engine::{
    EngineFaults, EngineOptions, EngineOrder, EngineStandin, RunRecord,
};
pub use self::platform::{PlatformCounts, PlatformFaults, PlatformStandin};
pub use self::relay::{NetworkRelay, RelayFault};
pub use self::service::{ServiceFaults, ServiceRun, ServiceStandin};
pub use self::text::{answer_length, answer_text, answer_token};
