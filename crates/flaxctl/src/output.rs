//! Output for people and for programs.

use clap::ArgMatches;
use comfy_table::Table;
use serde::Serialize;

/// Tells whether JSON is asked for.
pub(crate) fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

/// Prints JSON on one line.
pub(crate) fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Makes a table with a header.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(header.to_vec());
    table
}
