//! Pushback: what backend servers say of themselves in their answers, and what follows for the
//! instances that send to them.

mod server;
mod statement;

pub(crate) use self::server::ServerPushback;
pub use self::statement::{RequestRate, ServerStatement, StatedRate};
