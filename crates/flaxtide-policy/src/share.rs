//! The division of a server's slots among the instances of its data centre.

use crate::rendezvous::rendezvous_order;

/// How many requests an instance has for a server, running or waiting, by tier from the
/// highest. Requests that several servers could take count in part for each.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SlotDemand {
    /// The requests of each tier.
    pub tiers: Vec<f64>,
}

/// Divides `slots` among instances with the given demands.
///
/// The demand of the highest tier is met first, in proportion where it can't be met
/// whole; what is left goes to the next tier, and what no demand asks for is divided
/// equally. Parts of a slot are rounded by rendezvous order for `key`, so that over many
/// servers each instance gets its due. The shares always add up to `slots`.
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

/// Returns the share of the member at `index` when nothing is known of the demands.
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

/// Rounds parts to whole slots that add up to `slots`: each gets its floor, and the rest
/// goes to the largest fractions, ties by rendezvous order.
fn round_shares(
    slots: u32,
    key: u64,
    members: &[impl AsRef<str>],
    exact_shares: &[f64],
) -> Vec<u32> {
    /// Fractions are compared in steps this fine, so that sums of floats don't decide.
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
