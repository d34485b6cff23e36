//! `flaxctl settings` and `flaxctl audit`.

use std::io::Read;

use clap::ArgMatches;
use flaxtide::{EditBody, HistoryBody};
use flaxtide_core::{EffectiveValue, SettingsEdit, SettingsTree, hash_key};
use flaxtide_platform::{AuditRecord, SettingsVersioned};
use serde_json::Value;

use crate::client::AdminClient;
use crate::fault::CommandFault;
use crate::output::{print_json, table, wants_json};

/// Runs `flaxctl settings`.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    match matches.subcommand() {
        Some(("get", matches)) => get(matches),
        Some(("set", matches)) => set(matches),
        Some(("edit", matches)) => edit(matches),
        Some(("diff", matches)) => diff(matches),
        Some(("history", matches)) => audit(matches),
        Some(("hash-key", _)) => print_hash(),
        _ => unreachable!("clap asks for one of the subcommands"),
    }
}

/// Shows the tree, a part of it, or the values in force.
fn get(matches: &ArgMatches) -> Result<(), CommandFault> {
    let client = AdminClient::first(matches)?;
    let path = matches.get_one::<String>("path").map_or("", String::as_str);
    if matches.get_flag("effective") {
        return show_effective(matches, &client, path);
    }
    let versioned: SettingsVersioned = client.get("/settings")?;
    let Some(value) = versioned.tree.value_at(path) else {
        let message =
            format!("{path}: no such place; `flaxctl settings get` shows them all");
        return Err(CommandFault::Argument { message });
    };
    if wants_json(matches) {
        print_json(&value);
    } else {
        println!("# version {}", versioned.version);
        print!("{}", serde_saphyr::to_string(&value).unwrap_or_default());
    }
    Ok(())
}

/// Shows each value in force and the node that it comes from.
fn show_effective(
    matches: &ArgMatches,
    client: &AdminClient,
    path: &str,
) -> Result<(), CommandFault> {
    let values: Vec<EffectiveValue> =
        client.get(&format!("/settings/effective?path={path}"))?;
    if wants_json(matches) {
        print_json(&values);
        return Ok(());
    }
    let mut rows = table(&["field", "value", "from"]);
    for value in values {
        rows.add_row([value.field, value.value, value.source]);
    }
    println!("{rows}");
    Ok(())
}

/// Sets or removes one value.
fn set(matches: &ArgMatches) -> Result<(), CommandFault> {
    let path = matches.get_one::<String>("path").cloned().unwrap_or_default();
    let value = match matches.get_one::<String>("value") {
        _ if matches.get_flag("remove") => None,
        Some(text) => Some(parse_value(text)?),
        None => {
            let message = "give a value, or --remove".to_owned();
            return Err(CommandFault::Argument { message });
        }
    };
    let edits = vec![SettingsEdit { path, value }];
    change(matches, "/settings/edits", &EditBody { edits })
}

/// Replaces the whole tree.
fn edit(matches: &ArgMatches) -> Result<(), CommandFault> {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let text = std::fs::read_to_string(path)
        .map_err(|cause| CommandFault::file(path, &cause))?;
    let tree = SettingsTree::parse(&text).map_err(|fault| CommandFault::Argument {
        message: format!("{path}: {fault}"),
    })?;
    change(matches, "/settings", &tree)
}

/// Sends a change.
fn change(
    matches: &ArgMatches,
    path: &str,
    body: &impl serde::Serialize,
) -> Result<(), CommandFault> {
    let client = AdminClient::first(matches)?;
    let base = match matches.get_one::<u64>("base") {
        Some(base) => *base,
        None => client.get::<SettingsVersioned>("/settings")?.version,
    };
    let answer: Value = client.change(path, base, body)?;
    if wants_json(matches) {
        print_json(&answer);
    } else {
        println!("version {} is accepted", answer["version"]);
    }
    Ok(())
}

/// Shows what changed since a version.
fn diff(matches: &ArgMatches) -> Result<(), CommandFault> {
    let records = read_records(matches)?;
    if wants_json(matches) {
        print_json(&records);
        return Ok(());
    }
    for record in records {
        println!("version {} by {}", record.version, record.operator);
        for edit in &record.edits {
            println!("  {}", describe(edit));
        }
    }
    Ok(())
}

/// Shows the audit trail.
pub(crate) fn audit(matches: &ArgMatches) -> Result<(), CommandFault> {
    let records = read_records(matches)?;
    if wants_json(matches) {
        print_json(&records);
        return Ok(());
    }
    let mut rows = table(&["version", "at (ms since 1970)", "operator", "changes"]);
    for record in records {
        let changes: Vec<_> = record.edits.iter().map(describe).collect();
        let version = record.version.to_string();
        let at = record.at_unix_ms.to_string();
        rows.add_row([version, at, record.operator, changes.join("\n")]);
    }
    println!("{rows}");
    Ok(())
}

/// Reads the audit records after the version that the command line names.
fn read_records(matches: &ArgMatches) -> Result<Vec<AuditRecord>, CommandFault> {
    let client = AdminClient::first(matches)?;
    let after = matches.get_one::<u64>("after").copied().unwrap_or(0);
    let history: HistoryBody = client.get(&format!("/settings/history?after={after}"))?;
    Ok(history.records)
}

/// Describes a change on one line.
fn describe(edit: &SettingsEdit) -> String {
    match &edit.value {
        _ if edit.path.is_empty() => "the whole tree".into(),
        Some(value) => format!("{} = {value}", edit.path),
        None => format!("{} removed", edit.path),
    }
}

/// Prints the hash of a key.
fn print_hash() -> Result<(), CommandFault> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|cause| CommandFault::file("standard input", &cause))?;
    println!("{}", hash_key(key.trim()));
    Ok(())
}

/// Reads a value as YAML, so that `900ms`, `3` and `{rank: 0}` mean what they say.
fn parse_value(text: &str) -> Result<Value, CommandFault> {
    serde_saphyr::from_str(text).map_err(|cause| CommandFault::Argument {
        message: format!("`{text}` is no YAML value: {cause}"),
    })
}
