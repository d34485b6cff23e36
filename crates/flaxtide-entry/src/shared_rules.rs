//! The newest rules of an instance, shared with its peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flaxtide_core::SettingsVersion;

/// Rules as they travel between instances: as the platform spells them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RulesCopy {
    /// The version.
    pub(crate) version: SettingsVersion,
    /// The text. Whoever gives it to peers shares it.
    pub(crate) text: Arc<str>,
}

/// The newest rules, for peers that ask.
#[derive(Debug, Default)]
pub(crate) struct SharedRules {
    /// The rules, once there are any.
    copy: Mutex<Option<RulesCopy>>,
}

impl SharedRules {
    /// Takes in newer rules.
    pub(crate) fn put(&self, copy: RulesCopy) {
        *self.lock() = Some(copy);
    }

    /// Tells whether rules are those in force, to the letter.
    pub(crate) fn holds(&self, text: &str) -> bool {
        self.lock().as_ref().is_some_and(|copy| *copy.text == *text)
    }

    /// Returns the rules if they are newer than a version.
    pub(crate) fn newer_than(&self, version: SettingsVersion) -> Option<RulesCopy> {
        self.lock().clone().filter(|copy| copy.version > version)
    }

    /// Locks the copy. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, Option<RulesCopy>> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
