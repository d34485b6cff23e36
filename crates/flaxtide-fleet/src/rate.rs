//! Division of an organisation's rate among the instances that it uses.

/// The fraction of a rate that is divided equally whatever the usage, so that an instance which
/// the organisation starts to use has some.
const EQUAL_FRACTION: f64 = 0.2;

/// Returns the share of an organisation's rate for the instance at `index`, given the usage at
/// each instance. The shares of all instances add up to 1.
///
/// ```
/// use flaxtide_fleet::rate_share;
/// let usage = [30.0, 10.0];
/// assert!(rate_share(&usage, 0) > 2.0 * rate_share(&usage, 1));
/// assert!((rate_share(&usage, 0) + rate_share(&usage, 1) - 1.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn rate_share(usage: &[f64], index: usize) -> f64 {
    let total: f64 = usage.iter().sum();
    let equal = 1.0 / usage.len().max(1) as f64;
    if total <= 0.0 {
        return equal;
    }
    EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * usage[index] / total
}
