//! Identifiers that all packages share.

/// Identifies one request across all instances. An instance picks the upper 32 bits at
/// random when it starts, and counts its requests in the lower 32.
pub type RequestId = u64;

/// Identifies one attempt to run a request that must run at most once.
pub type AttemptId = u64;

/// Identifies one edit of the settings. If the platform's answer to an edit is lost, the id in
/// the audit record tells whether the edit was committed.
pub type EditId = u64;

/// The number of a settings version. It grows with each change.
pub type SettingsVersion = u64;

/// The name of a request class in the settings tree.
pub type ClassName = String;

/// The name of a service tier in the settings tree.
pub type TierName = String;

/// The name of an organisation in the settings tree.
pub type OrganisationName = String;

/// The name of a language model in the settings tree.
pub type ModelName = String;

/// The name of a data centre in the settings tree.
pub type DataCentreName = String;

/// The name of a region in the settings tree.
pub type RegionName = String;

/// The name of a backend server in the settings tree.
pub type ServerName = String;

/// The name of an entry instance in the platform's list.
pub type InstanceName = String;

/// The rank of a service tier. Rank 0 is the highest.
pub type TierRank = u8;

/// Identifies a request class within one process.
pub type ClassId = u16;

/// Identifies an organisation within one process.
pub type OrganisationId = u16;

/// Identifies a pool of backend servers within one process. The pool has the servers of one
/// model or plain service.
pub type PoolId = u16;

/// Identifies a backend server within one process.
pub type ServerId = u32;

/// Formats a request id as callers and logs see it, in sixteen hexadecimal digits.
///
/// ```
/// assert_eq!(flaxtide_core::format_request_id(255), "00000000000000ff");
/// ```
#[must_use]
pub fn format_request_id(request: RequestId) -> String {
    format!("{request:016x}")
}

/// Parses a request id of sixteen hexadecimal digits. Returns `None` if the text has another
/// length or isn't a hexadecimal number.
///
/// ```
/// assert_eq!(flaxtide_core::parse_request_id("00000000000000ff"), Some(255));
/// assert_eq!(flaxtide_core::parse_request_id("ff"), None);
/// ```
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 16 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}
