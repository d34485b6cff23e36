//! Rendezvous hashing (Thaler and Ravishankar, 1998): every instance finds the same owner
//! for a key without asking anyone, and losing an owner moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the index of the member that owns `key`; nothing without members.
///
/// ```
/// let owner = flaxtide_policy::rendezvous_owner(7, &["a", "b"]);
/// assert_eq!(owner, flaxtide_policy::rendezvous_owner(7, &["a", "b"]));
/// ```
#[must_use]
pub fn rendezvous_owner(key: u64, members: &[impl AsRef<str>]) -> Option<usize> {
    (0..members.len()).max_by_key(|index| (weight(key, members[*index].as_ref()), *index))
}

/// Returns the members' indexes in the order in which they would own `key`.
///
/// ```
/// assert_eq!(flaxtide_policy::rendezvous_order(7, &["a", "b", "c"]).len(), 3);
/// ```
#[must_use]
pub fn rendezvous_order(key: u64, members: &[impl AsRef<str>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(weight(key, members[*index].as_ref())));
    order
}

/// Returns the weight of a numbered member for a key.
pub(crate) fn numbered_weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the weight of a member for a key.
fn weight(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}
