//! The statuses of HTTP responses.

/// Returns whether a status is that of a final response, as HTTP defines them: 200 to 599. Those from
/// 100 to 199 announce one, and all others mean nothing.
///
/// ```
/// use flaxtide_core::is_final_status;
/// assert!(is_final_status(200) && is_final_status(599));
/// assert!(!is_final_status(0) && !is_final_status(101) && !is_final_status(600));
/// ```
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
