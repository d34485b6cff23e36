//! Versions of the platform's store. A store that is restored from a backup assigns the same
//! versions a second time, so a version is only unique together with its era, a number that is
//! higher after each restore.

/// A version of the store together with its era. The era is in the upper 16 bits, so that every
/// version of a later era compares as newer. Stores without eras use era 0.
pub type StoreVersion = u64;

/// The number of bits for the version within an era, enough for a thousand changes a second for
/// 8,900 years.
const VERSION_BITS: u32 = 48;

/// Combines an era and a version within it. A version beyond 48 bits is clamped to the
/// largest; the upper bits of an era beyond 16 bits are lost.
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

/// Returns the version as the store assigned it, without its era.
#[must_use]
pub fn version_in_era(version: StoreVersion) -> u64 {
    version & ((1 << VERSION_BITS) - 1)
}
