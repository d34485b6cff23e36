//! What can be wrong with settings.

use derive_more::{Display, Error};

/// A fault in a settings tree or edit, with its place and a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// The text isn't YAML, or not of the tree's shape.
    #[display("{}{message}; correct it, or see the settings reference in docs/OPERATING.md", line_prefix(*line))]
    Syntax {
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// What the parser says.
        message: String,
    },
    /// A value can't be meant.
    #[display("{path}{}: {message}; {remedy}", line_suffix(*line))]
    Value {
        /// The dotted path of the node.
        path: String,
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// What is wrong.
        message: String,
        /// What to do about it.
        remedy: String,
    },
    /// An edit names a place that the tree doesn't have.
    #[display(
        "{path}: no such place in the settings; list the places with `flaxctl settings get`"
    )]
    NoSuchPath {
        /// The dotted path of the edit.
        path: String,
    },
}

/// Names a line before a message; an edit has none.
fn line_prefix(line: usize) -> String {
    if line == 0 { String::new() } else { format!("line {line}: ") }
}

/// Names a line behind a path; an edit has none.
fn line_suffix(line: usize) -> String {
    if line == 0 { String::new() } else { format!(" (line {line})") }
}
