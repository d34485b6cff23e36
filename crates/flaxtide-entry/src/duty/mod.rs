//! Duties that one instance has for all: to report usage, and to order backend servers.
//!
//! A few instances stand for them; a lease in the platform's table says which one holds them.
//! Every instance tells the holder what it has counted ([`DutyBoard`]). The holder's thread
//! ([`DutyThread`]) keeps the lease, and under it reports ([`ReportDuty`]) and orders
//! ([`OrderDuty`]).
//!
//! What is to be reported for a window is settled in the row of the lease before it is sent.
//! The next holder finds it there, and repeats exactly that.

mod board;
mod call_usage;
mod orders;
mod reports;
mod thread;
mod view;

pub(crate) use self::board::DutyBoard;
pub(crate) use self::call_usage::CallUsage;
pub(crate) use self::thread::DutyThread;
pub(crate) use self::view::show_duties;
