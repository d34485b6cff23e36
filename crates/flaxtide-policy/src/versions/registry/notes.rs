//! The versions of streams, as this instance and its peers have noted them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{MAX_WINDOW, NotedStream, VersionNote, VersionRegistry};
use crate::router::VersionKey;
use crate::versions::{ServiceKey, StreamKey};

/// The most streams that are noted. Further ones are neither noted nor told.
const MAX_NOTES: usize = 1 << 16;

/// The most versions of which peers have told that are remembered.
const MAX_TOLD_VERSIONS: usize = 64;

/// While there is no room for notes, expired ones are removed at most this often.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

impl VersionRegistry {
    /// Notes the version of a stream that this instance serves, whose caller may take it up
    /// again for `life`.
    pub fn note_own(
        &mut self,
        stream: StreamKey,
        version: VersionKey,
        life: Duration,
        now: Duration,
    ) {
        self.note(stream, version, life, true, now);
    }

    /// Notes what a peer has told of its streams.
    pub fn note_told(&mut self, notes: &[VersionNote], now: Duration) {
        for note in notes {
            let life = Duration::from_secs(note.life_s.into());
            self.note(note.stream, note.version, life, false, now);
            self.record_told(note.version, now + life.min(MAX_WINDOW), now);
        }
    }

    /// Records that a peer knows a version, at which streams may be taken up until a time.
    fn record_told(&mut self, version: VersionKey, until: Duration, now: Duration) {
        let told = &mut self.told_versions;
        if told.len() >= MAX_TOLD_VERSIONS && !told.contains_key(&version) {
            told.retain(|_, until| now < *until);
        }
        if told.len() < MAX_TOLD_VERSIONS || told.contains_key(&version) {
            let known = told.entry(version).or_default();
            *known = until.max(*known);
        }
    }

    /// Returns whether peers know a version that no server listed here has: the list of this instance
    /// is behind theirs, whatever the platform has answered.
    #[must_use]
    pub fn is_behind_peers(&self, now: Duration) -> bool {
        let mut told = self.told_versions.iter();
        told.any(|(version, until)| {
            let mut services = self.services.values();
            now < *until && !services.any(|known| known.listed.contains_key(version))
        })
    }

    /// Notes the listed versions of a service, for peers: those that list another one only learn
    /// that they are behind.
    pub fn note_listed(&mut self, service: ServiceKey, now: Duration) {
        let Some(known) = self.services.get(&service) else { return };
        let versions: Vec<VersionKey> = known.listed.keys().copied().collect();
        let life = self.window();
        for version in versions {
            self.note(listing_key(service, version), version, life, true, now);
        }
    }

    /// Notes the version of a stream. A stream keeps the version that was noted first.
    fn note(
        &mut self,
        stream: StreamKey,
        version: VersionKey,
        life: Duration,
        own: bool,
        now: Duration,
    ) {
        let life = life.min(MAX_WINDOW);
        self.longest_life = self.longest_life.max(life);
        if self.notes.len() >= MAX_NOTES && now >= self.expired_at + EXPIRY_PERIOD {
            self.expire(now);
        }
        if self.notes.len() >= MAX_NOTES && !self.notes.contains_key(&stream) {
            return;
        }
        let expires_at = now + life;
        let noted = NotedStream { version, expires_at, own };
        let known = self.notes.entry(stream).or_insert(noted);
        if now >= known.expires_at {
            *known = noted;
        }
        known.own |= own;
        known.expires_at = known.expires_at.max(expires_at);
    }

    /// Returns the note of a stream, with what is left of its life.
    #[must_use]
    pub fn note_of(&self, stream: StreamKey, now: Duration) -> Option<VersionNote> {
        let noted = self.notes.get(&stream).filter(|noted| now < noted.expires_at)?;
        let life_s = whole_seconds(noted.expires_at.saturating_sub(now));
        Some(VersionNote { stream, version: noted.version, life_s })
    }

    /// Removes the note of a stream that is complete.
    pub fn forget(&mut self, stream: StreamKey) {
        self.notes.remove(&stream);
    }

    /// Removes the notes of streams that aren't taken up any more.
    pub fn expire(&mut self, now: Duration) {
        self.expired_at = now;
        self.notes.retain(|_, noted| now < noted.expires_at);
    }

    /// Returns the number of notes.
    #[must_use]
    pub fn note_count(&self) -> usize {
        self.notes.len()
    }

    /// Returns the notes of the streams that this instance serves or has lately served.
    #[must_use]
    pub fn own_notes(&self, now: Duration) -> Vec<VersionNote> {
        let own = self.notes.iter().filter(|(_, noted)| noted.own);
        let notes = own.map(|(stream, noted)| VersionNote {
            stream: *stream,
            version: noted.version,
            life_s: whole_seconds(noted.expires_at.saturating_sub(now)),
        });
        notes.filter(|note| note.life_s > 0).collect()
    }
}

/// Returns the key under which the listing of a version is noted. It is that of no stream.
fn listing_key(service: ServiceKey, version: VersionKey) -> StreamKey {
    xxh3_64_with_seed(&version.to_le_bytes(), service.into())
}

/// Converts a time span to seconds, rounded up.
fn whole_seconds(span: Duration) -> u16 {
    let seconds = span.as_millis().div_ceil(1000);
    u16::try_from(seconds).unwrap_or(u16::MAX)
}
