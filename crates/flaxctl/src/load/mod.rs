//! `flaxctl load`: an open-loop load that checks every answer.

mod plan;
mod plot;
mod report;
mod send;

use std::net::SocketAddr;

use clap::ArgMatches;

pub(crate) use self::plan::{LoadBurst, LoadPlan, LoadStream, StreamTarget};
pub(crate) use self::plot::draw_plot;
pub(crate) use self::report::{LoadReport, LoadTargets, made_tokens, print_report};
pub(crate) use self::send::send_load;
use crate::fault::CommandFault;
use crate::output::{print_json, wants_json};

/// Runs `flaxctl load`.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    let path = matches.get_one::<String>("plan").map_or("", String::as_str);
    let text = std::fs::read_to_string(path)
        .map_err(|cause| CommandFault::file(path, &cause))?;
    let plan: LoadPlan = serde_saphyr::from_str(&text).map_err(|cause| {
        let cause = cause.to_string();
        let line = cause.lines().next().unwrap_or_default();
        CommandFault::Argument { message: format!("{path}: {line}") }
    })?;
    let targets = LoadTargets {
        entries: addresses(matches, "entry")?,
        engines: addresses(matches, "engine")?,
        services: addresses(matches, "service")?,
    };
    if targets.entries.is_empty() {
        let message = "name at least one entry instance with --entry".to_owned();
        return Err(CommandFault::Argument { message });
    }
    let made_before = made_tokens(&targets);
    let outcomes = send_load(&plan, &targets.entries);
    let report = LoadReport::new(&plan, &outcomes, &targets, made_before);
    if let Some(file) = matches.get_one::<String>("plot") {
        draw_plot(&plan, &outcomes, file)
            .map_err(|cause| CommandFault::file(file, &cause))?;
    }
    if wants_json(matches) {
        print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(())
}

/// Reads addresses.
fn addresses(matches: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, CommandFault> {
    let texts = matches.get_many::<String>(name).into_iter().flatten();
    texts
        .map(|text| {
            text.parse().map_err(|_| CommandFault::Argument {
                message: format!(
                    "`{text}` is no address; give one such as 127.0.0.1:8080"
                ),
            })
        })
        .collect()
}
