//! Hashing of API keys. Settings and key files hold hashes only, never a key itself.

use sha2::{Digest, Sha256};

/// Hashes a caller's or operator's key into the form that settings hold, `sha256:` and 64
/// hexadecimal digits.
///
/// Keys are long random strings, so an unsalted SHA-256 (FIPS 180-4) is enough.
///
/// ```
/// assert!(flaxtide_core::hash_key("k").starts_with("sha256:8254c329"));
/// ```
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::from("sha256:");
    for byte in digest {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
