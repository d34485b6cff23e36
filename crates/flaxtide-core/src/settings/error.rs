//! Errors in settings trees and edits.

use derive_more::{Display, Error};

/// An error in a settings tree or edit, with its location and a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// The input can't be parsed, or has unknown fields or values of a wrong type.
    #[display("{}{message}; correct it, or see the settings reference in docs/OPERATING.md", line_prefix(*line))]
    Syntax {
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A value is invalid.
    #[display("{path}{}: {message}; {remedy}", line_suffix(*line))]
    Value {
        /// The dotted path of the value or its node.
        path: String,
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// What is wrong.
        message: String,
        /// How to correct it.
        remedy: String,
    },
    /// An edit removes a value that doesn't exist, or sets one below a value that isn't a node.
    #[display(
        "{path}: no such place in the settings; list the places with `flaxctl settings get`"
    )]
    NoSuchPath {
        /// The dotted path of the edit.
        path: String,
    },
}

/// Formats a line number for the start of a message; empty for 0, as edits have no lines.
fn line_prefix(line: usize) -> String {
    if line == 0 { String::new() } else { format!("line {line}: ") }
}

/// Formats a line number to follow a path; empty for 0, as edits have no lines.
fn line_suffix(line: usize) -> String {
    if line == 0 { String::new() } else { format!(" (line {line})") }
}
