//! The operators' program: settings, status, explanations, load, stand-ins, the demo.

mod capacity;
mod client;
mod command;
mod demo;
mod fault;
mod load;
mod output;
mod settings;
mod stand_in;
mod status;

use std::process::ExitCode;

use clap::ArgMatches;

use self::fault::CommandFault;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("flaxctl: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the subcommand that was named.
fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    match matches.subcommand() {
        Some(("settings", matches)) => settings::run(matches),
        Some(("audit", matches)) => settings::audit(matches),
        Some(("status", matches)) => status::status(matches),
        Some(("explain", matches)) => status::explain(matches),
        Some(("watch", matches)) => status::watch(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("stand-in", matches)) => stand_in::run(matches),
        Some(("capacity", matches)) => capacity::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        _ => unreachable!("clap asks for one of the subcommands"),
    }
}
