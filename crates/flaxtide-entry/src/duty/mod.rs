//! Duties that one instance performs for all: reporting usage, and ordering backend
//! servers.
//!
//! A few instances are candidates, and a lease in the platform's table determines which
//! one holds the duties. Every instance reports its counts to the holder
//! ([`SharedDuties`]). The holder's thread ([`DutyThread`]) keeps the lease, and while it
//! has it sends reports ([`ReportDuty`]) and orders ([`OrderDuty`]).
//!
//! The report of a window is settled, that is, written into the lease's row, before it is
//! sent. A later holder finds it there and repeats exactly the same report.

mod call_usage;
mod orders;
mod reports;
mod shared;
mod thread;
mod view;

pub(crate) use self::call_usage::CallUsage;
pub(crate) use self::shared::SharedDuties;
pub(crate) use self::thread::DutyThread;
pub(crate) use self::view::update_duty_view;
