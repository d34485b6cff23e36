//! The instance's part in the fleet: it hands on rules, and tells its load.

use std::sync::{Mutex, MutexGuard, PoisonError};

use flaxtide_core::SettingsVersion;

/// Rules as they travel between instances: as the platform spells them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RulesCopy {
    /// The version.
    pub(crate) version: SettingsVersion,
    /// The text.
    pub(crate) text: String,
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

    /// Returns the rules if they are newer than a version.
    pub(crate) fn newer_than(&self, version: SettingsVersion) -> Option<RulesCopy> {
        self.lock().clone().filter(|copy| copy.version > version)
    }

    /// Locks the copy. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, Option<RulesCopy>> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
