//! Pushback: the rate limits, backoffs and notices of leaving that backend servers state
//! in their responses, the limits of cold servers, and how instances obey them together.

mod bucket;
mod cold;
mod group;
mod limit;
mod refusal;
mod report;
mod schedule;
mod server;
mod statement;
mod unlisted;

pub use self::cold::ColdStart;
pub use self::group::{DataCentreKey, GroupMember, InstanceGroup, InstanceKey};
pub(crate) use self::refusal::{REFUSAL_FRACTION, RefusalLimit};
pub use self::report::{PushbackLog, PushbackReport, ReportEffect, refusal_key};
pub use self::schedule::ReportSchedule;
pub(crate) use self::server::ServerPushback;
pub use self::statement::{RequestRate, ServerStatement, StatedRate};
pub(crate) use self::unlisted::UnlistedPushback;
