//! The instance file, which configures an entry instance.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use flaxtide_core::{
    DataCentreName, InstanceName, RegionName, deserialize_span, message_line,
};
use flaxtide_policy::RouteOptions;
use serde::Deserialize;

use crate::error::EntryError;

/// The configuration of an entry instance, read at its start and whenever the file changes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConfig {
    /// The instance's name.
    pub name: InstanceName,
    /// The data centre of the instance. Servers in the same one are local.
    pub data_centre: DataCentreName,
    /// The region of the data centre.
    #[serde(default)]
    pub region: RegionName,
    /// The region of each data centre, for requests that are limited to regions. A server
    /// in a data centre that isn't listed gets none of them.
    #[serde(default)]
    pub regions: BTreeMap<DataCentreName, RegionName>,
    /// The instance's own address, used for outgoing calls.
    pub ip: IpAddr,
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The address on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: String,
    /// The address on which peers are served.
    pub fleet: SocketAddr,
    /// The address on which requests are taken that peers forward; `None` if none are taken.
    #[serde(default)]
    pub forward: Option<SocketAddr>,
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// Peers to contact at the start; they may not be running.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub platform: SocketAddr,
    /// How long a planned stop may take.
    #[serde(deserialize_with = "deserialize_span")]
    pub stop_within: Duration,
    /// The time within which a leaving server must get no more requests.
    #[serde(deserialize_with = "deserialize_span")]
    pub leave_within: Duration,
    /// The time within which new rules must be in force.
    #[serde(deserialize_with = "deserialize_span", default = "usual_rules_within")]
    pub rules_within: Duration,
    /// How often backend servers renew their rows in the platform's list.
    #[serde(deserialize_with = "deserialize_span", default = "usual_renewal")]
    pub row_renewal: Duration,
    /// With fewer instances than this, each reads the server list from the platform itself.
    #[serde(default = "usual_alone_below")]
    pub read_alone_below: usize,
    /// With fewer instances than this, engines aren't watched: each instance then has requests
    /// at most engines, which show whether they are alive.
    #[serde(default = "usual_alone_below")]
    pub watch_engines_from: usize,
    /// The duties that one instance carries out for all; `None` if there are none.
    #[serde(default)]
    pub duties: Option<DutyConfig>,
    /// How many retries each request adds to the retry budget shared by all instances.
    pub retry_ratio: f64,
    /// How many retries in ten seconds all instances may make regardless of that budget.
    pub retry_slack: f64,
    /// Overrides of the router's defaults; usually none.
    #[serde(default)]
    pub router: RouteOptions,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// The number of file descriptors that the process may open.
    pub descriptors: u64,
}

impl EntryConfig {
    /// Reads an instance file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line if its content is invalid.
    pub fn read(path: &Path) -> Result<Self, EntryError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| EntryError::ReadConfig { path: path.to_owned(), cause })?;
        Self::parse(&text)
            .map_err(|message| EntryError::BadConfig { path: path.to_owned(), message })
    }

    /// Returns the region of a data centre, if it is known.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let listed = self.regions.get(data_centre);
        let own = (self.data_centre == data_centre && !self.region.is_empty())
            .then_some(&self.region);
        listed.or(own).map(String::as_str)
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
    /// Returns a message with the line of the error.
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
            return Err("`usage_window` must be longer than zero, such as `5s`".into());
        }
        Ok(config)
    }
}

/// The duties that one instance carries out for all.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutyConfig {
    /// The address at which the platform takes reports and orders.
    pub address: SocketAddr,
    /// The tasks to carry out. Unknown names are ignored.
    pub tasks: Vec<String>,
    /// The minimum time between two holders of the duties. The lease is longer by a margin for
    /// calls in flight.
    #[serde(deserialize_with = "deserialize_span", default = "usual_lease")]
    pub lease: Duration,
    /// The length of a usage window.
    #[serde(deserialize_with = "deserialize_span", default = "usual_window")]
    pub usage_window: Duration,
    /// The time after the end of a usage window within which its report is due.
    #[serde(deserialize_with = "deserialize_span", default = "usual_within")]
    pub usage_within: Duration,
}

impl DutyConfig {
    /// The name of the task that reports usage.
    pub const USAGE: &str = "usage_report";
    /// The name of the task that orders backend servers.
    pub const SCALING: &str = "autoscale";

    /// Returns whether a task is to be carried out.
    #[must_use]
    pub fn has_task(&self, task: &str) -> bool {
        self.tasks.iter().any(|name| name == task)
    }
}

/// Returns the default of `rules_within`.
fn usual_rules_within() -> Duration {
    Duration::from_secs(3)
}

/// Returns the default of `row_renewal`.
fn usual_renewal() -> Duration {
    Duration::from_millis(1200)
}

/// Returns the default of `lease`.
fn usual_lease() -> Duration {
    Duration::from_secs(3)
}

/// Returns the default of `usage_window`.
fn usual_window() -> Duration {
    Duration::from_secs(5)
}

/// Returns the default of `usage_within`.
fn usual_within() -> Duration {
    Duration::from_secs(10)
}

/// The default of `read_alone_below`. In smaller groups, a shared reader costs the platform more
/// calls than it saves.
const DEFAULT_READ_ALONE_BELOW: usize = 10;

/// Returns the default of `read_alone_below`.
fn usual_alone_below() -> usize {
    DEFAULT_READ_ALONE_BELOW
}
