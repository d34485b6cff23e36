//! Duties that one instance has for all: to report usage, and to order backend servers.
//!
//! A few instances stand for them; a lease in the platform's table says which one holds them.
//! Every instance tells the holder what it has counted ([`SharedDuties`]). The holder's thread
//! ([`DutyThread`]) keeps the lease, and under it reports ([`ReportDuty`]) and orders
//! ([`OrderDuty`]).
//!
//! What is to be reported for a window is settled in the row of the lease before it is sent.
//! The next holder finds it there, and repeats exactly that.

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
