//! Pushback: what backend servers say of themselves in their answers, and what follows for the
//! instances that send to them.

mod bucket;
mod group;
mod limit;
mod report;
mod schedule;
mod server;
mod statement;
mod unlisted;

pub use self::group::{DataCentreKey, GroupMember, InstanceGroup, InstanceKey};
pub use self::report::{PushbackLog, PushbackReport, ReportEffect};
pub use self::schedule::ReportSchedule;
pub(crate) use self::server::ServerPushback;
pub use self::statement::{RequestRate, ServerStatement, StatedRate};
pub(crate) use self::unlisted::UnlistedPushback;
