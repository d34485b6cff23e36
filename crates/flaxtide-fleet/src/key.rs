//! Short keys for names: what goes over the links is small and fits any settings version.

use xxhash_rust::xxh3::xxh3_64;

/// Stands for the name of a server, pool or organisation. Of 5,200 names, the chance that
/// two of one data centre's 520 share a key is about 3 in 100,000.
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
