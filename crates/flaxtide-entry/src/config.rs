//! The instance file of the traffic path.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use flaxtide_core::{
    DataCentreName, InstanceName, RegionName, deserialize_span, message_line,
};
use flaxtide_policy::RouteOptions;
use serde::Deserialize;

use crate::error::EntryError;

/// What an entry instance is told at its start, and again when the file changes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConfig {
    /// The instance's name.
    pub name: InstanceName,
    /// The data centre in which it stands.
    pub data_centre: DataCentreName,
    /// The region around it, for the log.
    #[serde(default)]
    pub region: RegionName,
    /// Its own address, from which it calls.
    pub ip: IpAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// On which path the balancer asks.
    pub ready_path: String,
    /// Where its peers reach it.
    pub fleet: SocketAddr,
    /// Where it shows its metrics.
    pub metrics: SocketAddr,
    /// Instances that may be there.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's store is.
    pub platform: SocketAddr,
    /// How long a planned stop may take.
    #[serde(deserialize_with = "deserialize_span")]
    pub stop_within: Duration,
    /// Within what time a leaving server may get no more work.
    #[serde(deserialize_with = "deserialize_span")]
    pub leave_within: Duration,
    /// Fleets of fewer instances read the list of servers each for itself.
    #[serde(default = "usual_alone_below")]
    pub read_alone_below: usize,
    /// The duties that one instance has for all; nothing where there are none.
    #[serde(default)]
    pub duties: Option<DutyConfig>,
    /// How many repeats each request pays for, over all instances.
    pub retry_ratio: f64,
    /// How many repeats in ten seconds are free, over all instances.
    pub retry_slack: f64,
    /// What is turned on the router; usually nothing.
    #[serde(default)]
    pub router: RouteOptions,
    /// The bytes of memory that the process may take, in megabytes.
    pub memory_mb: u64,
    /// How many descriptors the process may open.
    pub descriptors: u64,
}

impl EntryConfig {
    /// Reads an instance file.
    ///
    /// # Errors
    ///
    /// Returns the fault with its file, line and remedy.
    pub fn read(path: &Path) -> Result<Self, EntryError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| EntryError::ReadConfig { path: path.to_owned(), cause })?;
        Self::parse(&text)
            .map_err(|message| EntryError::BadConfig { path: path.to_owned(), message })
    }

    /// Parses the text of an instance file.
    ///
    /// ```
    /// use flaxtide_entry::EntryConfig;
    /// assert!(EntryConfig::parse("nmae: a").unwrap_err().contains("nmae"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let config: Self = serde_saphyr::from_str(text)
            .map_err(|cause| message_line(&cause.to_string()))?;
        if !(0.0..=1.0).contains(&config.retry_ratio) {
            return Err("`retry_ratio` must lie between 0 and 1".into());
        }
        if config
            .duties
            .as_ref()
            .is_some_and(|duties| duties.usage_window.is_zero())
        {
            return Err("`usage_window` must be longer than nothing, such as `5s`".into());
        }
        Ok(config)
    }
}

/// The duties that one instance has for all.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutyConfig {
    /// Where the platform takes reports and orders.
    pub address: SocketAddr,
    /// What is to be done; names that aren't known are left to others.
    pub tasks: Vec<String>,
    /// For how long holders have to be kept apart.
    #[serde(deserialize_with = "deserialize_span", default = "usual_lease")]
    pub lease: Duration,
    /// The length of a window of usage.
    #[serde(deserialize_with = "deserialize_span", default = "usual_window")]
    pub usage_window: Duration,
    /// Within what time after its end the usage of a window is due.
    #[serde(deserialize_with = "deserialize_span", default = "usual_within")]
    pub usage_within: Duration,
}

impl DutyConfig {
    /// The task to report usage.
    pub const USAGE: &str = "usage_report";
    /// The task to order backend servers.
    pub const SCALING: &str = "autoscale";

    /// Returns whether a task is to be done.
    #[must_use]
    pub fn has_task(&self, task: &str) -> bool {
        self.tasks.iter().any(|known| known == task)
    }
}

/// Returns for how long holders are kept apart if nobody says.
fn usual_lease() -> Duration {
    Duration::from_secs(3)
}

/// Returns the usual length of a window.
fn usual_window() -> Duration {
    Duration::from_secs(5)
}

/// Returns within what time usage is due if nobody says.
fn usual_within() -> Duration {
    Duration::from_secs(10)
}

/// Below this size a reader for all saves less of the platform's calls than its own calls,
/// which are more frequent, cost: about 100 in a minute against 20 an instance.
const ALONE_BELOW: usize = 17;

/// Returns the usual size of fleets without readers.
fn usual_alone_below() -> usize {
    ALONE_BELOW
}
