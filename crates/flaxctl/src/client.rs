//! The client of the administration API.

use std::time::Duration;

use attohttpc::{ProxySettings, RequestBuilder, Response};
use clap::ArgMatches;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::fault::CommandFault;

/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one instance's administration API.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    /// The address, as `HOST:PORT`.
    pub(crate) address: String,
    /// The operator's key.
    key: String,
}

impl AdminClient {
    /// Makes a client.
    pub(crate) fn new(address: &str, key: &str) -> Self {
        Self { address: address.to_owned(), key: key.to_owned() }
    }

    /// Makes a client for each instance that the command line names.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Vec<Self>, CommandFault> {
        let path = matches.get_one::<String>("key-file").map_or("", String::as_str);
        let key = std::fs::read_to_string(path)
            .map_err(|cause| CommandFault::file(path, &cause))?;
        let addresses = matches.get_many::<String>("admin").into_iter().flatten();
        Ok(addresses.map(|address| Self::new(address, key.trim())).collect())
    }

    /// Makes a client for the first instance that the command line names.
    pub(crate) fn first(matches: &ArgMatches) -> Result<Self, CommandFault> {
        Self::from_matches(matches)?.into_iter().next().ok_or_else(|| {
            CommandFault::Argument { message: "name an instance with --admin".into() }
        })
    }

    /// Reads something.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandFault> {
        self.read(attohttpc::get(self.url(path)))
    }

    /// Sends a change that was made from a version.
    pub(crate) fn change<T: DeserializeOwned>(
        &self,
        path: &str,
        base: u64,
        body: &impl Serialize,
    ) -> Result<T, CommandFault> {
        let request = match path {
            "/settings" => attohttpc::put(self.url(path)),
            _ => attohttpc::post(self.url(path)),
        };
        let request = request.header("If-Match", format!("\"{base}\"")).json(body);
        self.read(request.map_err(|cause| self.unreachable(&cause))?)
    }

    /// Sends a request and reads the answer.
    fn read<B: attohttpc::body::Body, T: DeserializeOwned>(
        &self,
        request: RequestBuilder<B>,
    ) -> Result<T, CommandFault> {
        let response = request
            .header("Authorization", format!("Bearer {}", self.key))
            .timeout(TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .send()
            .map_err(|cause| self.unreachable(&cause))?;
        if !response.is_success() {
            return Err(refused(response));
        }
        response.json().map_err(|cause| self.unreachable(&cause))
    }

    /// Returns the URL of a path.
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Builds the fault of an instance that can't be reached.
    fn unreachable(&self, cause: &attohttpc::Error) -> CommandFault {
        let (address, cause) = (self.address.clone(), cause.to_string());
        CommandFault::Unreachable { address, cause }
    }
}

/// Builds the fault of a request that was refused.
fn refused(response: Response) -> CommandFault {
    let status = response.status().as_u16();
    let body: Value = response.json().unwrap_or_default();
    let message = body["message"].as_str().unwrap_or("no reason given");
    let message = match body["remedy"].as_str().filter(|remedy| !remedy.is_empty()) {
        Some(remedy) => format!("{message} ({status}); {remedy}"),
        None => format!("{message} ({status})"),
    };
    CommandFault::Refused { message }
}
