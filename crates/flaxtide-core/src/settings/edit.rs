//! Edits of one place in the tree.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::error::SettingsError;
use super::node::SettingsTree;

/// A change of one place in the settings tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsEdit {
    /// The dotted path, such as `classes.draft.policy.target.first_token`.
    pub path: String,
    /// The new value; without one, the place is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

impl SettingsTree {
    /// Applies edits in order and checks the result.
    ///
    /// ```
    /// use flaxtide_core::{SettingsEdit, SettingsTree};
    /// let tree = SettingsTree::parse("models: {small: {}}").unwrap();
    /// let edit = SettingsEdit {
    ///     path: "models.small.max_tokens".into(),
    ///     value: Some(64.into()),
    /// };
    /// let tree = tree.apply(&[edit]).unwrap();
    /// assert_eq!(tree.models["small"].max_tokens, Some(64));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a fault if an edit removes a place that isn't there, or if the resulting
    /// tree doesn't pass the checks. The tree itself isn't changed.
    pub fn apply(&self, edits: &[SettingsEdit]) -> Result<Self, SettingsError> {
        let mut root = serde_json::to_value(self).map_err(|cause| shape_error(&cause))?;
        for edit in edits {
            let parts: Vec<&str> = edit.path.split('.').collect();
            let changed = match &edit.value {
                Some(value) => set_value(&mut root, &parts, value.clone()),
                None => remove_value(&mut root, &parts),
            };
            if !changed {
                return Err(SettingsError::NoSuchPath { path: edit.path.clone() });
            }
        }
        Self::from_value(root)
    }

    /// Reads and checks a tree from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn from_value(value: Value) -> Result<Self, SettingsError> {
        let tree: Self =
            serde_json::from_value(value).map_err(|cause| shape_error(&cause))?;
        tree.check("")?;
        Ok(tree)
    }

    /// Returns the value at a dotted path; the whole tree for an empty path.
    #[must_use]
    pub fn value_at(&self, path: &str) -> Option<Value> {
        let mut value = serde_json::to_value(self).ok()?;
        if path.is_empty() {
            return Some(value);
        }
        for part in path.split('.') {
            value = value.get_mut(part)?.take();
        }
        Some(value)
    }
}

/// Turns a fault of shape into a settings error. There is no text, so no line.
fn shape_error(cause: &serde_json::Error) -> SettingsError {
    SettingsError::Syntax { line: 0, message: cause.to_string() }
}

/// Sets a value, making the nodes on the way to it. Fails on the way through a value
/// that isn't a node.
fn set_value(node: &mut Value, parts: &[&str], value: Value) -> bool {
    let Some((first, rest)) = parts.split_first() else {
        *node = value;
        return true;
    };
    if node.is_null() {
        *node = Value::Object(serde_json::Map::new());
    }
    let Some(map) = node.as_object_mut() else { return false };
    set_value(map.entry(*first).or_insert(Value::Null), rest, value)
}

/// Removes a value.
fn remove_value(node: &mut Value, parts: &[&str]) -> bool {
    let Some(map) = node.as_object_mut() else { return false };
    match parts {
        [] => false,
        [last] => map.shift_remove(*last).is_some(),
        [first, rest @ ..] => {
            map.get_mut(*first).is_some_and(|node| remove_value(node, rest))
        }
    }
}
