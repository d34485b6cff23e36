//! The entry instance of flaxtide: it takes requests from callers, asks the decision core
//! what to do with each, and passes them to backend servers.
//!
//! Each duty has a thread, and bounded rings join them:
//!
//! - `accept` takes connections and starts a thread for each call;
//! - `call` leads one request through its life;
//! - `decide` owns the decision core;
//! - `claim` writes claims in group commits, and `settle` sees them to their last phase;
//! - `settings` follows the versions of the settings;
//! - `watch` polls the load of backend servers and the platform's list;
//! - `fleet` talks with peers, and `feed` keeps it up to date;
//! - `orders` has engines load models, under a lease of the data centre;
//! - `admin` answers operators.

mod accept;
mod admin;
mod call;
mod claim;
mod config;
mod decide;
mod error;
mod exchange;
mod explain;
mod fleet;
mod instance;
mod link;
mod logging;
mod messages;
mod metrics;
mod names;
mod orders;
mod request;
mod settings;
mod settle;
mod shared;
mod view;
mod watch;
mod watched;

pub use self::admin::{EditBody, HistoryBody, InstanceStatus, PoolStatus, ServerStatus};
pub use self::config::InstanceConfig;
pub use self::error::InstanceError;
pub use self::explain::{DecisionRecord, DecisionStep, StepKind};
pub use self::instance::{EntryInstance, InstanceAddresses};
pub use self::logging::init_logging;
