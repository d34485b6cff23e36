//! The newest rules of an instance, shared with its peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flaxtide_core::SettingsVersion;

/// A copy of the rules as it travels between instances: in the text form of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RulesCopy {
    /// The version of the rules.
    pub(crate) version: SettingsVersion,
    /// The text as read from the platform, shared by all threads that send it.
    pub(crate) text: Arc<str>,
}

/// The newest rules, for peers that ask for them.
#[derive(Debug, Default)]
pub(crate) struct SharedRules {
    /// The rules, or `None` before the first ones.
    copy: Mutex<Option<RulesCopy>>,
}

impl SharedRules {
    /// Replaces the rules by newer ones.
    pub(crate) fn put(&self, copy: RulesCopy) {
        *self.lock() = Some(copy);
    }

    /// Returns whether a text equals that of the rules in force.
    pub(crate) fn holds(&self, text: &str) -> bool {
        self.lock().as_ref().is_some_and(|copy| *copy.text == *text)
    }

    /// Returns the rules if they are newer than a version.
    pub(crate) fn newer_than(&self, version: SettingsVersion) -> Option<RulesCopy> {
        self.lock().clone().filter(|copy| copy.version > version)
    }

    /// Locks the rules, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, Option<RulesCopy>> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
