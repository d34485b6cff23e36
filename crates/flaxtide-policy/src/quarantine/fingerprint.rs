//! Fingerprints that identify a request across attempts and instances.

use sha2::{Digest, Sha256};

/// A hash of the path, caller and body of a request.
pub type Fingerprint = u128;

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
