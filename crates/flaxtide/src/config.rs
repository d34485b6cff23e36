//! The instance file: what a process must know before it has any settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use flaxtide_core::{DataCentreName, InstanceName, deserialize_span, message_line};
use serde::Deserialize;

use crate::error::InstanceError;

/// What one entry instance is told at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceConfig {
    /// The instance's name, as in the platform's list.
    pub name: InstanceName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where its peers reach it.
    pub fleet: SocketAddr,
    /// Where other instances hear their peers, for a start while the platform is out.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The platform's address, such as `http://10.0.0.5:9000`.
    pub platform: String,
    /// Hashes of keys that may change the settings before there are any.
    #[serde(default)]
    pub operator_key_hashes: Vec<String>,
    /// How often the newest settings version is asked for.
    #[serde(default = "settings_poll", deserialize_with = "deserialize_span")]
    pub settings_poll: Duration,
    /// How often the load of a backend server is asked for.
    #[serde(default = "load_poll", deserialize_with = "deserialize_span")]
    pub load_poll: Duration,
    /// The longest time between two beats to one peer.
    #[serde(default = "beat_period", deserialize_with = "deserialize_span")]
    pub beat_period: Duration,
    /// How long the platform may take to answer.
    #[serde(default = "platform_timeout", deserialize_with = "deserialize_span")]
    pub platform_timeout: Duration,
    /// How long a stopping instance still takes requests, so that the balancer notices.
    #[serde(default = "stop_notice", deserialize_with = "deserialize_span")]
    pub stop_notice: Duration,
    /// The most requests that are in the instance at once.
    #[serde(default = "call_limit")]
    pub call_limit: usize,
    /// The seed of the random choices; drawn at random without one.
    #[serde(default)]
    pub seed: Option<u64>,
}

impl InstanceConfig {
    /// Reads an instance file.
    ///
    /// # Errors
    ///
    /// Returns the fault with its file, line and remedy.
    pub fn read(path: &Path) -> Result<Self, InstanceError> {
        let text = std::fs::read_to_string(path).map_err(|cause| {
            InstanceError::ReadConfig { path: path.to_owned(), cause }
        })?;
        Self::parse(&text).map_err(|message| InstanceError::BadConfig {
            path: path.to_owned(),
            message,
        })
    }

    /// Parses the text of an instance file.
    ///
    /// ```
    /// use flaxtide::InstanceConfig;
    /// assert!(InstanceConfig::parse("nmae: a").unwrap_err().contains("line 1"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let config: Self = serde_saphyr::from_str(text)
            .map_err(|cause| message_line(&cause.to_string()))?;
        if !config.platform.starts_with("http://") {
            return Err(
                "`platform` must be an address such as http://10.0.0.5:9000".into()
            );
        }
        Ok(config)
    }
}

/// The default of `settings_poll`: with 580 instances, 145 reads a second.
fn settings_poll() -> Duration {
    Duration::from_secs(4)
}

/// The default of `load_poll`: with the word to peers, a leaving server is known well
/// within 3 s.
fn load_poll() -> Duration {
    Duration::from_secs(1)
}

/// The default of `beat_period`: 58 instances then stay within their bytes a second.
fn beat_period() -> Duration {
    Duration::from_millis(2500)
}

/// The default of `platform_timeout`.
fn platform_timeout() -> Duration {
    Duration::from_secs(2)
}

/// The default of `stop_notice`.
fn stop_notice() -> Duration {
    Duration::from_secs(5)
}

/// The default of `call_limit`.
fn call_limit() -> usize {
    8192
}
