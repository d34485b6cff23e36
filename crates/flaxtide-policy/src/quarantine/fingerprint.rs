//! Fingerprints that identify what may crash servers across attempts and instances: a request,
//! or a part of a prompt.

use sha2::{Digest, Sha256};

/// A hash of the path, caller and body of a request, or the key of a part of prompts.
pub type Fingerprint = u128;

/// The upper half of the fingerprint of each part. A request has it with a probability of one in
/// 2^64.
const PART_MARK: u64 = 0x9d3c_5a1e_7042_b68f;

/// Returns the fingerprint of a request, which is the same on every instance.
///
/// The hash is collision-resistant, so no caller can craft a request with the fingerprint
/// of another caller's request. It needs no key, which all instances would have to share.
///
/// ```
/// use flaxtide_policy::request_fingerprint;
/// let first = request_fingerprint("/draft/1", Some("kino"), b"text");
/// assert_eq!(first, request_fingerprint("/draft/1", Some("kino"), b"text"));
/// assert_ne!(first, request_fingerprint("/draft/1", Some("lux"), b"text"));
/// ```
#[must_use]
pub fn request_fingerprint(path: &str, caller: Option<&str>, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    let caller_bytes = caller.unwrap_or_default().as_bytes();
    // Without the lengths, bytes could move from one field to the next with the same
    // hash.
    for field in [path.as_bytes(), &[u8::from(caller.is_some())], caller_bytes, body] {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let digest = hash.finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    u128::from_le_bytes(bytes)
}

/// Returns the fingerprint of a part of prompts. Whose request brings the part makes no
/// difference.
///
/// ```
/// use flaxtide_policy::{part_fingerprint, part_of};
/// assert_eq!(part_of(part_fingerprint(0x5c1e)), Some(0x5c1e));
/// assert_eq!(part_of(7), None);
/// ```
#[must_use]
pub fn part_fingerprint(part: u64) -> Fingerprint {
    u128::from(PART_MARK) << 64 | u128::from(part)
}

/// Returns the key of the part that a fingerprint denotes, or `None` if it denotes a request.
#[must_use]
pub fn part_of(fingerprint: Fingerprint) -> Option<u64> {
    ((fingerprint >> 64) as u64 == PART_MARK).then_some(fingerprint as u64)
}
