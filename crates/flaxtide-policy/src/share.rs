//! The division of a server's slots among the instances of its data centre.

use crate::rendezvous::rendezvous_order;

/// The requests that an instance has for one server, running or waiting. A request that
/// several servers could serve counts as a fraction for each.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SlotDemand {
    /// The number of requests of each tier, highest tier first.
    pub tiers: Vec<f64>,
}

/// Divides `slots` among instances with the given demands.
///
/// The demand of the highest tier is met first, or divided in proportion if it exceeds
/// the slots. Remaining slots go to the next tier in the same way, and slots without
/// demand are divided equally. Fractions of a slot are rounded by rendezvous order for
/// `key`, so that over many servers each instance gets its share. The shares always add
/// up to `slots`.
///
/// ```
/// use flaxtide_policy::{SlotDemand, divide_slots};
/// let high = SlotDemand { tiers: vec![8.0, 0.0] };
/// let low = SlotDemand { tiers: vec![0.0, 100.0] };
/// assert_eq!(divide_slots(10, 1, &["a", "b"], &[high, low]), [8, 2]);
/// ```
#[must_use]
pub fn divide_slots(
    slots: u32,
    key: u64,
    members: &[impl AsRef<str>],
    demands: &[SlotDemand],
) -> Vec<u32> {
    let tiers = demands.iter().map(|demand| demand.tiers.len()).max().unwrap_or(0);
    let mut exact_shares = vec![0.0; members.len()];
    let mut remaining = f64::from(slots);
    for tier in 0..tiers {
        let demanded: Vec<f64> = demands
            .iter()
            .map(|demand| demand.tiers.get(tier).copied().unwrap_or(0.0))
            .collect();
        let total: f64 = demanded.iter().sum();
        if total <= 0.0 {
            continue;
        }
        let granted = total.min(remaining);
        for (share, demanded) in exact_shares.iter_mut().zip(&demanded) {
            *share += granted * demanded / total;
        }
        remaining -= granted;
    }
    for share in &mut exact_shares {
        *share += remaining / members.len() as f64;
    }
    round_shares(slots, key, members, &exact_shares)
}

/// Returns the share of the member at `index` while no demands are known.
///
/// ```
/// use flaxtide_policy::equal_share;
/// let members = ["a", "b", "c"];
/// let sum: u32 = (0..3).map(|index| equal_share(10, 7, &members, index)).sum();
/// assert_eq!(sum, 10);
/// ```
#[must_use]
pub fn equal_share(
    slots: u32,
    key: u64,
    members: &[impl AsRef<str>],
    index: usize,
) -> u32 {
    let exact_shares = vec![f64::from(slots) / members.len() as f64; members.len()];
    round_shares(slots, key, members, &exact_shares)[index]
}

/// Rounds shares to whole slots that add up to `slots`. Each is rounded down, and the
/// remaining slots go to the largest fractions, with ties in rendezvous order.
fn round_shares(
    slots: u32,
    key: u64,
    members: &[impl AsRef<str>],
    exact_shares: &[f64],
) -> Vec<u32> {
    /// Fractions are compared in steps of this size, so that rounding errors of sums
    /// don't decide.
    const FRACTION_STEPS: f64 = 1e6;
    let mut shares: Vec<u32> =
        exact_shares.iter().map(|share| (share + 1e-9) as u32).collect();
    let rest = slots.saturating_sub(shares.iter().sum());
    let mut order = rendezvous_order(key, members);
    order.sort_by_key(|index| {
        let fraction = exact_shares[*index] - f64::from(shares[*index]);
        std::cmp::Reverse((fraction * FRACTION_STEPS).round() as i64)
    });
    for index in order.iter().cycle().take(rest as usize) {
        shares[*index] += 1;
    }
    shares
}
