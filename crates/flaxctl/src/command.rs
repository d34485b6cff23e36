//! The command line.

use clap::{Arg, ArgAction, Command};

/// Describes the command line.
pub(crate) fn command() -> Command {
    Command::new("flaxctl")
        .about("Operates flaxtide")
        .subcommand_required(true)
        .subcommand(settings())
        .subcommand(
            admin(Command::new("audit"))
                .about("Shows who changed what in the settings, and when")
                .arg(after()),
        )
        .subcommand(admin(Command::new("status")).about("Shows how instances stand"))
        .subcommand(
            admin(Command::new("explain"))
                .about("Shows why a request was served, delayed or refused")
                .arg(Arg::new("request").required(true).value_name("REQUEST_ID")),
        )
        .subcommand(
            admin(Command::new("watch"))
                .about("Shows queues and decisions as they change")
                .arg(number("rounds", "How many times to look; without it, for ever")),
        )
        .subcommand(load())
        .subcommand(stand_in())
        .subcommand(
            Command::new("capacity")
                .about("Shows what each role needs at a size, from measured slopes")
                .arg(file("slopes", "Slopes other than the measured ones"))
                .arg(file("sizes", "Sizes other than the expected ones"))
                .arg(json())
                .arg(
                    Arg::new("markdown")
                        .long("markdown")
                        .action(ArgAction::SetTrue)
                        .help("Print the table of docs/CAPACITY.md"),
                ),
        )
        .subcommand(
            Command::new("demo")
                .about("Shows all of it in one process, on loopback")
                .arg(json())
                .arg(number("seed", "The seed of the load"))
                .arg(number("seconds", "How long the load lasts"))
                .arg(plot()),
        )
}

/// Describes `settings`.
fn settings() -> Command {
    let path = || Arg::new("path").value_name("PATH");
    Command::new("settings")
        .about("Shows and changes the settings")
        .subcommand_required(true)
        .subcommand(
            admin(Command::new("get"))
                .about("Shows the tree, or the part at PATH")
                .arg(path())
                .arg(
                    Arg::new("effective")
                        .long("effective")
                        .action(ArgAction::SetTrue)
                        .help("Show each value in force and the node it comes from"),
                ),
        )
        .subcommand(
            admin(Command::new("set"))
                .about("Sets the value at PATH, or removes it with --remove")
                .arg(path().required(true))
                .arg(Arg::new("value").value_name("VALUE"))
                .arg(Arg::new("remove").long("remove").action(ArgAction::SetTrue))
                .arg(base()),
        )
        .subcommand(
            admin(Command::new("edit"))
                .about("Replaces the whole tree by a YAML file")
                .arg(Arg::new("file").required(true).value_name("FILE"))
                .arg(base()),
        )
        .subcommand(
            admin(Command::new("diff"))
                .about("Shows what changed since a version")
                .arg(after().required(true)),
        )
        .subcommand(
            admin(Command::new("history"))
                .about("Lists the versions")
                .arg(after()),
        )
        .subcommand(
            Command::new("hash-key")
                .about("Prints the hash of a key read from standard input"),
        )
}

/// Describes `load`.
fn load() -> Command {
    Command::new("load")
        .about("Sends an open-loop load and checks every answer")
        .arg(
            Arg::new("plan")
                .long("plan")
                .required(true)
                .value_name("FILE")
                .help("The load plan, in YAML; see docs/OPERATING.md"),
        )
        .arg(many("entry", "An entry instance, as HOST:PORT"))
        .arg(many("engine", "A stand-in engine, whose records are checked"))
        .arg(many("service", "A stand-in service, whose runs are checked"))
        .arg(json())
        .arg(plot())
}

/// Describes `stand-in`.
fn stand_in() -> Command {
    let listen = || {
        Arg::new("listen")
            .long("listen")
            .required(true)
            .value_name("HOST:PORT")
    };
    Command::new("stand-in")
        .about("Runs a small stand-in for something that flaxtide meets")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Table service, object store and list of instances")
                .arg(listen()),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(listen())
                .arg(number("slots", "How many requests it works on at once"))
                .arg(number("step-ms", "How long one step takes"))
                .arg(number("prefill-ms", "How long it takes to read a prompt")),
        )
        .subcommand(Command::new("service").about("A plain service").arg(listen()))
}

/// Adds the arguments by which an instance is reached.
fn admin(command: Command) -> Command {
    command
        .arg(
            Arg::new("admin")
                .long("admin")
                .action(ArgAction::Append)
                .required(true)
                .value_name("HOST:PORT")
                .help("The administration address of an instance"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .required(true)
                .value_name("FILE")
                .help("A file that holds your operator key"),
        )
        .arg(json())
}

/// The argument for output as JSON.
fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

/// An argument that takes a file.
fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE.yaml").help(help)
}

/// The argument for a plot.
fn plot() -> Arg {
    Arg::new("plot")
        .long("plot")
        .value_name("FILE.svg")
        .help("Draw a plot")
}

/// The argument for a base version.
fn base() -> Arg {
    number("base", "The version that the change is made from; without it, the newest")
}

/// The argument for a version after which to begin.
fn after() -> Arg {
    number("after", "The version after which to begin")
}

/// An argument that takes a number.
fn number(name: &'static str, help: &'static str) -> Arg {
    let parser = clap::value_parser!(u64);
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(parser)
        .help(help)
}

/// An argument that may be given several times.
fn many(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .value_name("HOST:PORT")
        .help(help)
}
