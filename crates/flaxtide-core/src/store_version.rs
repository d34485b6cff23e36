//! Versions of the platform's store. A store that comes back from an older copy gives versions out
//! again, so a version means nothing without the era in which it was given out.

/// A version of the store with its era: the era in the upper 16 bits, so that every version of a
/// later era is the newer one. Versions of stores without eras are those of era 0.
pub type StoreVersion = u64;

/// How many bits the version within an era has: a thousand changes a second for 8,900 years.
const VERSION_BITS: u32 = 48;

/// Returns a version of an era.
///
/// ```
/// use flaxtide_core::{store_era, store_version, version_in_era};
/// let version = store_version(2, 40);
/// assert!(version > store_version(1, 900));
/// assert_eq!((store_era(version), version_in_era(version)), (2, 40));
/// assert_eq!(store_version(0, 7), 7);
/// ```
#[must_use]
pub fn store_version(era: u64, version: u64) -> StoreVersion {
    let max_version = (1 << VERSION_BITS) - 1;
    (era << VERSION_BITS) | version.min(max_version)
}

/// Returns the era of a version.
#[must_use]
pub fn store_era(version: StoreVersion) -> u64 {
    version >> VERSION_BITS
}

/// Returns the version as the store gave it out.
#[must_use]
pub fn version_in_era(version: StoreVersion) -> u64 {
    version & ((1 << VERSION_BITS) - 1)
}
