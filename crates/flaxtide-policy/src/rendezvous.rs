//! Rendezvous hashing (Thaler and Ravishankar, 1998): all instances compute the same
//! owner for a key without communicating, and removing an owner moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the index of the member that owns `key`, or `None` without members.
///
/// ```
/// let owner = flaxtide_policy::rendezvous_owner(7, &["a", "b"]);
/// assert_eq!(owner, flaxtide_policy::rendezvous_owner(7, &["a", "b"]));
/// ```
#[must_use]
pub fn rendezvous_owner(key: u64, members: &[impl AsRef<str>]) -> Option<usize> {
    (0..members.len())
        .max_by_key(|index| (named_weight(key, members[*index].as_ref()), *index))
}

/// Returns the indices of the members in the order of their rank for `key`, the owner
/// first.
///
/// ```
/// assert_eq!(flaxtide_policy::rendezvous_order(7, &["a", "b", "c"]).len(), 3);
/// ```
#[must_use]
pub fn rendezvous_order(key: u64, members: &[impl AsRef<str>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|index| {
        std::cmp::Reverse(named_weight(key, members[*index].as_ref()))
    });
    order
}

/// Returns the index of each key's owner such that no member owns more than `1 + slack`
/// times the mean number of keys. A key whose first member is full goes to the next in
/// its order (consistent hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam,
/// 2018).
///
/// ```
/// let owners = flaxtide_policy::bounded_owners(&[1, 2, 3, 4], &["a", "b"], 0.0);
/// assert_eq!(owners.iter().filter(|owner| **owner == 0).count(), 2);
/// ```
#[must_use]
pub fn bounded_owners(
    keys: &[u64],
    members: &[impl AsRef<str>],
    slack: f64,
) -> Vec<usize> {
    if members.is_empty() {
        return vec![];
    }
    let even = keys.len() as f64 / members.len() as f64;
    let max_keys = (even * (1.0 + slack)).ceil() as usize;
    let mut counts = vec![0; members.len()];
    let mut owner_of = |key: u64| {
        let order = rendezvous_order(key, members);
        let owner = order.into_iter().find(|member| counts[*member] < max_keys);
        let owner = owner.unwrap_or_default();
        counts[owner] += 1;
        owner
    };
    keys.iter().map(|key| owner_of(*key)).collect()
}

/// Returns the weight for `key` of a member that is identified by a number.
pub(crate) fn rendezvous_weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the weight for `key` of a member that is identified by its name.
fn named_weight(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}
