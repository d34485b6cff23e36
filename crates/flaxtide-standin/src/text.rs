//! The text that a stand-in engine answers with: a function of the prompt, so that whoever
//! sent it can check that the answer is whole and its own.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The shortest answer, in tokens.
const SHORTEST: u64 = 8;

/// Most answers are shorter than this many tokens.
const USUAL: u64 = 64;

/// One answer in this many is long.
const LONG_EVERY: u64 = 8;

/// Long answers are up to this many times the usual length.
const LONG_FACTOR: u64 = 4;

/// Returns how many tokens the answer to a prompt has, if no more than `most` are allowed.
/// The length shows in nothing that a router sees.
///
/// ```
/// assert_eq!(flaxtide_standin::answer_length("a prompt", 5), 5);
/// ```
#[must_use]
pub fn answer_length(prompt: &str, most: u32) -> u32 {
    let hash = hash(prompt);
    let spread =
        if hash.is_multiple_of(LONG_EVERY) { USUAL * LONG_FACTOR } else { USUAL };
    let length = SHORTEST + (hash >> 8) % spread;
    (length as u32).min(most)
}

/// Returns the token of the answer at an index.
///
/// ```
/// use flaxtide_standin::answer_token;
/// assert_ne!(answer_token("one prompt", 0), answer_token("another", 0));
/// ```
#[must_use]
pub fn answer_token(prompt: &str, index: u32) -> String {
    format!("{:04x}.{index} ", hash(prompt) & 0xffff)
}

/// Returns the whole answer to a prompt.
///
/// ```
/// assert_eq!(flaxtide_standin::answer_text("p", 2).split_whitespace().count(), 2);
/// ```
#[must_use]
pub fn answer_text(prompt: &str, most: u32) -> String {
    (0..answer_length(prompt, most))
        .map(|index| answer_token(prompt, index))
        .collect()
}

/// Hashes a prompt, the same in every process.
fn hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
