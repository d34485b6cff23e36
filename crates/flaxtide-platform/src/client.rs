//! An HTTP client that implements the contracts with the platform.

use std::io::ErrorKind as IoKind;
use std::time::Duration;

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::body::read_whole_body;
use crate::contract::{
    CommitResult, InstanceList, ListedInstance, ObjectStore, TableRow, TableService,
    TableTransaction,
};
use crate::error::PlatformError;

/// The longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The longest text of an error that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// A client of the platform's table service, object store and instance list.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    /// The base URL, such as `http://127.0.0.1:9000`, without a slash at the end.
    address: String,
    /// The time-out of one call, from connecting to the end of the response.
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client without connecting to the platform.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_platform::{InstanceList, PlatformClient};
    /// let client = PlatformClient::new("http://127.0.0.1:1", Duration::from_secs(1));
    /// assert!(client.list().is_err());
    /// ```
    #[must_use]
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            address: address.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Sets the client's time-out on a request, and disables proxies and redirects.
    fn configure<B>(&self, builder: RequestBuilder<B>) -> RequestBuilder<B> {
        builder
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .timeout(self.timeout)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
    }

    /// Returns the URL of a path.
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.address)
    }

    /// Sends a GET request and parses the JSON response.
    fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        params: &[(&str, &str)],
    ) -> Result<T, PlatformError> {
        let request = self.configure(attohttpc::get(self.url(path)).params(params));
        let response =
            check_status(request.send().map_err(|cause| classify_error(&cause))?)?;
        read_json(response)
    }
}

impl TableService for PlatformClient {
    fn commit(
        &self,
        transactions: &[TableTransaction],
    ) -> Result<Vec<CommitResult>, PlatformError> {
        let request = attohttpc::post(self.url("/table/transactions"));
        let request = self
            .configure(request)
            .json(&json!({ "transactions": transactions }))
            .map_err(|cause| classify_error(&cause))?;
        let response =
            check_status(request.send().map_err(|cause| classify_error(&cause))?)?;
        read_json(response)
    }

    fn read(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        self.get_json("/table/row", &[("key", key)])
    }

    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let limit = limit.to_string();
        let params = [("prefix", prefix), ("after", after), ("limit", &limit)];
        self.get_json("/table/rows", &params)
    }
}

impl ObjectStore for PlatformClient {
    fn put(&self, key: &str, content: &[u8]) -> Result<(), PlatformError> {
        let request = attohttpc::put(self.url("/objects")).param("key", key);
        let request = self.configure(request.bytes(content));
        check_status(request.send().map_err(|cause| classify_error(&cause))?)?;
        Ok(())
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let request = attohttpc::get(self.url("/objects")).param("key", key);
        let response = self
            .configure(request)
            .send()
            .map_err(|cause| classify_error(&cause))?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        let response = check_status(response)?;
        read_whole_body(response, MAX_RESPONSE_BYTES)
            .map(Some)
            .map_err(|cause| classify_error(&cause))
    }
}

impl InstanceList for PlatformClient {
    fn list(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.get_json("/instances", &[])
    }
}

/// Reads a response as JSON.
fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    let body = read_whole_body(response, MAX_RESPONSE_BYTES)
        .map_err(|cause| classify_error(&cause))?;
    serde_json::from_slice(&body)
        .map_err(|cause| PlatformError::BadAnswer { message: cause.to_string() })
}

/// Turns a response with an error status into an error that tells whether the request may have
/// taken effect. Only 429 and 503 guarantee that it hasn't.
fn check_status(response: Response) -> Result<Response, PlatformError> {
    let status = response.status().as_u16();
    match status {
        200..=299 => Ok(response),
        429 | 503 => {
            Err(PlatformError::NotDone { message: format!("it answered {status}") })
        }
        400..=499 => {
            let text = read_whole_body(response, MAX_ERROR_BYTES).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            Err(PlatformError::BadAnswer { message: format!("{status}: {text}") })
        }
        _ => Err(PlatformError::NoAnswer { message: format!("it answered {status}") }),
    }
}

/// Classifies an error by whether the request may have reached the platform. It can't have if the
/// connection was refused.
fn classify_error(cause: &attohttpc::Error) -> PlatformError {
    let message = cause.to_string();
    match cause.kind() {
        ErrorKind::Io(error) if error.kind() == IoKind::ConnectionRefused => {
            PlatformError::NotDone { message }
        }
        ErrorKind::Json(_) => PlatformError::BadAnswer { message },
        _ => PlatformError::NoAnswer { message },
    }
}
