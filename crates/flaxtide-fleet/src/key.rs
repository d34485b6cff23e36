//! Short keys that replace names in messages. They keep messages small and don't depend on the
//! settings version.

use xxhash_rust::xxh3::xxh3_64;

/// The key of a server, pool or organisation: a hash of its name. Names only have to differ
/// within a data centre. With 520 of a fleet's 5,200 servers in one, the chance that two of
/// them share a key is about 3 in 100,000.
pub type FleetKey = u32;

/// Returns the key of a name.
///
/// ```
/// assert_eq!(flaxtide_fleet::fleet_key("a"), flaxtide_fleet::fleet_key("a"));
/// ```
#[must_use]
pub fn fleet_key(name: &str) -> FleetKey {
    xxh3_64(name.as_bytes()) as FleetKey
}
