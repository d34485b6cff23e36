//! Edits of single values in the settings tree.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::error::SettingsError;
use super::node::SettingsTree;

/// A change of one value or node in the settings tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsEdit {
    /// The dotted path, such as `classes.draft.policy.target.first_token`.
    pub path: String,
    /// The new value; `None` removes what is at the path.
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
    /// Returns an error if an edit removes a value that doesn't exist, sets one below a value
    /// that isn't a node, or leads to a tree that fails the checks. `self` isn't changed.
    pub fn apply(&self, edits: &[SettingsEdit]) -> Result<Self, SettingsError> {
        let mut root =
            serde_json::to_value(self).map_err(|cause| syntax_error(&cause))?;
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

    /// Parses and checks a tree from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn from_value(value: Value) -> Result<Self, SettingsError> {
        let tree: Self =
            serde_json::from_value(value).map_err(|cause| syntax_error(&cause))?;
        tree.check("")?;
        Ok(tree)
    }

    /// Returns the value at a dotted path, or the whole tree for an empty path.
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

/// Converts an error of `serde_json`. A JSON value has no lines, so the line is 0.
fn syntax_error(cause: &serde_json::Error) -> SettingsError {
    SettingsError::Syntax { line: 0, message: cause.to_string() }
}

/// Sets a value and creates missing nodes on its path. Returns `false` if the path leads through
/// a value that isn't a node.
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

/// Removes a value. Returns `false` if it doesn't exist.
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
