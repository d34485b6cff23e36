//! The division of an organisation's rate among the instances that it uses.

/// The part of a rate that is divided equally, whatever the use, so that an instance that
/// the organisation begins to use isn't without any.
const EQUAL_PART: f64 = 0.2;

/// Returns the part of an organisation's rate that the instance at `index` gets, by the
/// use that each instance has seen. The parts of all instances add up to 1.
///
/// ```
/// use flaxtide_fleet::rate_part;
/// let usage = [30.0, 10.0];
/// assert!(rate_part(&usage, 0) > 2.0 * rate_part(&usage, 1));
/// assert!((rate_part(&usage, 0) + rate_part(&usage, 1) - 1.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn rate_part(usage: &[f64], index: usize) -> f64 {
    let total: f64 = usage.iter().sum();
    let equal = 1.0 / usage.len().max(1) as f64;
    if total <= 0.0 {
        return equal;
    }
    EQUAL_PART * equal + (1.0 - EQUAL_PART) * usage[index] / total
}
