//! `flaxctl stand-in`.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use clap::ArgMatches;
use flaxtide_standin::{EngineOptions, EngineStandin, PlatformStandin, ServiceStandin};

use crate::fault::CommandFault;

/// Runs a stand-in until the process is ended.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    match matches.subcommand() {
        Some(("platform", matches)) => {
            let standin = PlatformStandin::start(listen(matches)?);
            let standin = standin.map_err(|cause| CommandFault::start("it", &cause))?;
            println!("a platform stand-in listens on {}", standin.url());
            wait(&standin)
        }
        Some(("engine", matches)) => {
            let standin = EngineStandin::start(listen(matches)?, engine_options(matches));
            let standin = standin.map_err(|cause| CommandFault::start("it", &cause))?;
            println!("an engine stand-in listens on {}", standin.address());
            wait(&standin)
        }
        Some(("service", matches)) => {
            let standin = ServiceStandin::start(listen(matches)?);
            let standin = standin.map_err(|cause| CommandFault::start("it", &cause))?;
            println!("a service stand-in listens on {}", standin.address());
            wait(&standin)
        }
        _ => unreachable!("clap asks for one of the subcommands"),
    }
}

/// Keeps a stand-in until the process is ended.
fn wait<T>(_standin: &T) -> Result<(), CommandFault> {
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}

/// Reads the options of an engine.
fn engine_options(matches: &ArgMatches) -> EngineOptions {
    let usual = EngineOptions::default();
    let millis = |name: &str, usual: Duration| {
        matches
            .get_one::<u64>(name)
            .map_or(usual, |millis| Duration::from_millis(*millis))
    };
    EngineOptions {
        slots: matches
            .get_one::<u64>("slots")
            .map_or(usual.slots, |slots| *slots as usize),
        step: millis("step-ms", usual.step),
        prefill: millis("prefill-ms", usual.prefill),
        ..usual
    }
}

/// Reads the address to listen on.
fn listen(matches: &ArgMatches) -> Result<SocketAddr, CommandFault> {
    let text = matches.get_one::<String>("listen").map_or("", String::as_str);
    text.parse().map_err(|_| CommandFault::Argument {
        message: format!("`{text}` is no address; give one such as 127.0.0.1:9000"),
    })
}
