//! The settings thread: it follows the versions of the settings.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use flaxtide_core::{SettingsEdit, SettingsError, SettingsTree, SettingsVersion};
use flaxtide_platform::{AuditRecord, PlatformError};
use rand::Rng;

use crate::shared::SharedState;

/// How often the thread looks whether it is to end.
const STOP_PERIOD: Duration = Duration::from_millis(200);

/// Polls are spread over this part of their period, so that instances that start together
/// don't ask together.
const POLL_SPREAD: f64 = 0.5;

/// The most changes that are fetched one by one instead of as a whole tree.
const MOST_CHANGES: u64 = 32;

/// Runs the settings thread until the instance stops.
pub(crate) fn follow_settings(
    shared: &Arc<SharedState>,
    news: &Receiver<SettingsVersion>,
) {
    // The first look is at once: an instance without settings is of no use.
    let mut due = shared.now();
    while !shared.stopped() {
        match news.recv_timeout(STOP_PERIOD) {
            Ok(version) if version > shared.view().version => due = shared.now(),
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if shared.now() < due {
            continue;
        }
        let result = match look(shared) {
            Ok(()) => "ok",
            Err(cause) => {
                log::warn!("the settings can't be read from the platform: {cause}");
                // The fleet thread fetches them from a peer, once one is known to have them.
                "failed"
            }
        };
        shared
            .metrics
            .platform_calls
            .with_label_values(&["settings", result])
            .inc();
        let spread = 1.0 + POLL_SPREAD * (rand::rng().random::<f64>() - 0.5);
        due = shared.now() + shared.config.settings_poll.mul_f64(spread);
    }
}

/// Looks for a newer version and puts it in force.
fn look(shared: &SharedState) -> Result<(), PlatformError> {
    let head = shared.settings.head()?;
    let view = shared.view();
    if head.version <= view.version {
        return Ok(());
    }
    if view.version > 0 && head.version - view.version <= MOST_CHANGES {
        let records = shared.settings.audit_after(view.version, MOST_CHANGES as usize)?;
        if let Some((version, tree)) = replay_changes(view.version, &view.tree, &records)
        {
            shared.adopt(version, tree);
            return Ok(());
        }
    }
    if let Some(newest) = shared.settings.newest()? {
        shared.adopt(newest.version, newest.tree);
    }
    Ok(())
}

/// Applies changes one after the other. Nothing if one is missing or doesn't apply; then
/// the whole tree is fetched.
fn replay_changes(
    version: SettingsVersion,
    tree: &SettingsTree,
    records: &[AuditRecord],
) -> Option<(SettingsVersion, SettingsTree)> {
    let (mut version, mut tree) = (version, tree.clone());
    for record in records {
        if record.version != version + 1 {
            return None;
        }
        tree = apply_change(&tree, &record.edits).ok()?;
        version = record.version;
    }
    Some((version, tree))
}

/// Applies the edits of one change.
pub(crate) fn apply_change(
    tree: &SettingsTree,
    edits: &[SettingsEdit],
) -> Result<SettingsTree, SettingsError> {
    match edits {
        // A whole tree in place of the old one.
        [SettingsEdit { path, value: Some(value) }] if path.is_empty() => {
            SettingsTree::from_value(value.clone())
        }
        _ => tree.apply(edits),
    }
}
