//! The entry instance's program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command};
use flaxtide::{InstanceConfig, init_logging};
use flaxtide_adapter::{
    PlatformDialect, PlatformDuties, PlatformEngines, PlatformVersions, TableFeed,
};
use flaxtide_core::SettingsTree;
use flaxtide_entry::{EntryConfig, EntryInstance, init_entry_logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve(matches),
        Some(("enter", matches)) => enter(matches),
        Some(("check", matches)) => check(matches),
        _ => Err("no subcommand; see `flaxtide --help`".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("flaxtide: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Describes the command line.
fn command() -> Command {
    Command::new("flaxtide")
        .about("A router for language-model traffic with service levels and priorities")
        .subcommand_required(true)
        .subcommand(
            Command::new("serve")
                .about("Runs an entry instance until SIGTERM")
                .arg(config_argument()),
        )
        .subcommand(
            Command::new("enter")
                .about("Runs an entry instance on the users' platform until SIGTERM")
                .arg(config_argument()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks an instance file or a settings tree, offline")
                .arg(Arg::new("file").required(true).value_name("FILE")),
        )
}

/// Describes the argument that names an instance file.
fn config_argument() -> Arg {
    Arg::new("config")
        .long("config")
        .required(true)
        .value_name("FILE")
        .help("The instance file")
}

/// Runs an entry instance on the users' platform.
fn enter(matches: &ArgMatches) -> Result<(), String> {
    let file = path(matches, "config");
    let config = EntryConfig::read(&file).map_err(|fault| fault.to_string())?;
    init_entry_logging();
    let feed = TableFeed::new(config.platform)
        .map_err(|cause| format!("no runtime for the platform's store: {cause}"))?;
    let dialect = Arc::new(PlatformDialect);
    let duties = config.duties.as_ref().map(|duties| duties.address);
    let store = config.platform;
    let versions = PlatformVersions::new(store)
        .map_err(|cause| format!("no runtime for versions in the store: {cause}"))?;
    let mut instance = EntryInstance::new(file, config, dialect, Arc::new(feed))
        .with_engines(Arc::new(PlatformEngines))
        .with_versions(Arc::new(versions));
    if let Some(address) = duties {
        let duties = PlatformDuties::new(store, address)
            .map_err(|cause| format!("no runtime for the platform's duties: {cause}"))?;
        instance = instance.with_duties(Arc::new(duties));
    }
    instance.run().map_err(|fault| fault.to_string())
}

/// Runs an entry instance.
fn serve(matches: &ArgMatches) -> Result<(), String> {
    let config = InstanceConfig::read(&path(matches, "config"))
        .map_err(|fault| fault.to_string())?;
    init_logging();
    // Registered before anything starts, so that no signal is missed.
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|cause| format!("no signals: {cause}"))?;
    let instance =
        flaxtide::EntryInstance::start(config).map_err(|fault| fault.to_string())?;
    // Whoever started the process learns here which free ports it was given.
    let addresses = serde_json::to_string(&instance.addresses());
    println!("{}", addresses.unwrap_or_default());
    signals.forever().next();
    instance.stop();
    Ok(())
}

/// Checks a file.
fn check(matches: &ArgMatches) -> Result<(), String> {
    let file = path(matches, "file");
    let text = std::fs::read_to_string(&file)
        .map_err(|cause| format!("{}: {cause}", file.display()))?;
    // Only an instance file says where it listens.
    let is_instance = text.lines().any(|line| line.starts_with("listen:"));
    let (kind, result) = if is_instance {
        ("instance file", InstanceConfig::parse(&text).map(drop))
    } else {
        let parsed = SettingsTree::parse(&text).map(drop);
        ("settings tree", parsed.map_err(|fault| fault.to_string()))
    };
    result.map_err(|message| format!("{}: {message}", file.display()))?;
    println!("{}: a right {kind}", file.display());
    Ok(())
}

/// Returns an argument that is a path.
fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    let text = matches.get_one::<String>(name).map(String::as_str);
    Path::new(text.unwrap_or_default()).to_owned()
}
