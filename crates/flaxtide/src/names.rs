//! Numbers for names: the decision core works with small numbers.

use std::collections::HashMap;

/// Gives each name a number, and never forgets one, so that numbers stay right across
/// settings versions.
#[derive(Debug, Clone, Default)]
pub(crate) struct NameTable {
    /// The numbers.
    numbers: HashMap<String, usize>,
    /// The names, by number.
    names: Vec<String>,
}

impl NameTable {
    /// Returns a name's number, giving it one if it has none.
    pub(crate) fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns a name's number, if it has one.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the name with a number.
    pub(crate) fn name(&self, number: usize) -> &str {
        self.names.get(number).map_or("?", String::as_str)
    }
}
