//! `flaxctl capacity`: what each role needs at a size, from measured slopes.

use clap::ArgMatches;
use serde::{Deserialize, Serialize};

use crate::fault::CommandFault;
use crate::output::{print_json, table, wants_json};

/// The slopes of `docs/capacity/slopes.yaml`, built in.
const SLOPES: &str = include_str!("../../../docs/capacity/slopes.yaml");

/// The sizes of `docs/capacity/sizes.yaml`, built in.
const SIZES: &str = include_str!("../../../docs/capacity/sizes.yaml");

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// What was measured.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct MeasuredSlopes {
    /// Per cent of a core that an instance without peers uses.
    core_percent_alone: f64,
    /// Per cent of a core for each peer of the data centre.
    core_percent_per_peer: f64,
    /// Megabytes of an instance without peers.
    memory_mb_alone: f64,
    /// Megabytes for each peer of the data centre.
    memory_mb_per_peer: f64,
    /// Bytes of a beat with its reply, as a busy instance sends them.
    beat_bytes: f64,
    /// Seconds between two beats to one peer, for each instance of the data centre.
    beat_period_per_instance: f64,
    /// The longest time between two beats, in seconds.
    beat_period_longest: f64,
    /// Seconds between two looks at the newest settings version.
    settings_poll: f64,
    /// Seconds between two polls of a server's load.
    load_poll: f64,
    /// Reads of the platform's list that all instances make together, a second.
    list_reads: f64,
    /// Writes of claims that all instances may make together, a second.
    claim_writes: f64,
    /// The most claims in one write.
    claims_per_write: f64,
    /// Kilobytes of memory for each open stream.
    stream_kb: f64,
    /// Microseconds of processor time for each token passed on.
    token_us: f64,
    /// Kilobytes that are kept to explain one request.
    explained_kb: f64,
    /// How many requests are kept to be explained.
    explained_requests: f64,
}

/// What is expected.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedSizes {
    /// Entry instances.
    instances: f64,
    /// Data centres.
    data_centres: f64,
    /// Workers.
    workers: f64,
    /// Requests a second at the peak.
    requests: f64,
    /// Tokens a second at the peak.
    tokens: f64,
    /// The time between two tokens of a stream, in milliseconds.
    between_tokens_ms: f64,
    /// Organisations.
    organisations: f64,
    /// Changes of the settings a day.
    changes: f64,
    /// The part of requests that may not be repeated.
    keyed_part: f64,
    /// Instances replaced or restarted a day.
    replaced: f64,
    /// The budget of control: per cent of a core.
    budget_core_percent: f64,
    /// The budget of control: megabytes.
    budget_memory_mb: f64,
    /// The budget of control: kilobytes a second in each direction.
    budget_kb: f64,
    /// The budget of the table: reads a second.
    budget_reads: f64,
    /// The budget of the table: writes a second.
    budget_writes: f64,
    /// Within how many seconds a change must be in force.
    budget_change: f64,
    /// Within how many seconds the first token must come.
    budget_first_token: f64,
}

/// A line of the table.
#[derive(Debug, Clone, Serialize)]
struct CapacityLine {
    /// The role.
    role: &'static str,
    /// What it needs.
    what: &'static str,
    /// How much.
    value: f64,
    /// In which unit.
    unit: &'static str,
    /// How much it may need, if that is limited.
    budget: Option<f64>,
    /// The mechanism that carries it.
    mechanism: &'static str,
    /// What would have to change, if it doesn't fit.
    remedy: &'static str,
}

/// Runs `flaxctl capacity`.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFault> {
    let slopes: MeasuredSlopes = read(matches, "slopes", SLOPES)?;
    let sizes: ExpectedSizes = read(matches, "sizes", SIZES)?;
    let lines = lines(&slopes, &sizes);
    if wants_json(matches) {
        print_json(&lines);
        return Ok(());
    }
    if matches.get_flag("markdown") {
        print_markdown(&lines);
        return Ok(());
    }
    let mut rows = table(&["role", "what", "needs", "budget", "mechanism"]);
    for line in &lines {
        rows.add_row([
            line.role.to_owned(),
            line.what.to_owned(),
            line.amount(),
            line.verdict(),
            line.mechanism.to_owned(),
        ]);
    }
    println!("{rows}");
    Ok(())
}

/// Works out every line.
fn lines(slopes: &MeasuredSlopes, sizes: &ExpectedSizes) -> Vec<CapacityLine> {
    let mut lines = control_lines(slopes, sizes);
    lines.extend(data_lines(slopes, sizes));
    lines.extend(role_lines(slopes, sizes));
    lines.extend(platform_lines(slopes, sizes));
    lines
}

/// Works out what control costs an entry instance.
fn control_lines(slopes: &MeasuredSlopes, sizes: &ExpectedSizes) -> Vec<CapacityLine> {
    let role = "entry instance, control";
    let near = sizes.instances / sizes.data_centres;
    let far = sizes.data_centres - 1.0;
    let peers = near - 1.0 + far;
    let core = slopes.core_percent_alone + slopes.core_percent_per_peer * peers;
    let records = slopes.explained_kb * slopes.explained_requests / 1000.0;
    let memory = slopes.memory_mb_alone + slopes.memory_mb_per_peer * peers + records;
    let bytes = slopes.beat_bytes * peers / period(slopes, near) / 1000.0;
    let poll = slopes.settings_poll * 1.25;
    vec![
        CapacityLine {
            role,
            what: "processor time",
            value: core,
            unit: "% of a core",
            budget: Some(sizes.budget_core_percent),
            mechanism: "one thread for each duty; work on change, not on each message",
            remedy: "fewer polls: one long-lived connection to each watched server",
        },
        CapacityLine {
            role,
            what: "memory",
            value: memory,
            unit: "MB",
            budget: Some(sizes.budget_memory_mb),
            mechanism: "soft state of peers, settings, records of recent decisions",
            remedy: "keep fewer records of decisions",
        },
        CapacityLine {
            role,
            what: "bytes in, and as many out",
            value: bytes,
            unit: "KB/s",
            budget: Some(sizes.budget_kb),
            mechanism: "beats whose period grows with the data centre",
            remedy: "a longer period between beats",
        },
        CapacityLine {
            role,
            what: "change in force, at the latest",
            value: poll + period(slopes, near),
            unit: "s",
            budget: Some(sizes.budget_change),
            mechanism: "word in beats and replies; polls of the newest version behind it",
            remedy: "a shorter poll, if the table's reads allow it",
        },
    ]
}

/// Works out what the requests themselves cost an entry instance.
fn data_lines(slopes: &MeasuredSlopes, sizes: &ExpectedSizes) -> Vec<CapacityLine> {
    let role = "entry instance, requests";
    let tokens = sizes.tokens / sizes.instances;
    let streams = tokens * sizes.between_tokens_ms / 1000.0;
    vec![
        CapacityLine {
            role,
            what: "open streams",
            value: streams,
            unit: "streams",
            budget: None,
            mechanism: "one thread for each call, bounded by `call_limit`",
            remedy: "",
        },
        CapacityLine {
            role,
            what: "memory for streams",
            value: streams * slopes.stream_kb / 1000.0,
            unit: "MB",
            budget: None,
            mechanism: "small stacks; tokens are passed on, not kept",
            remedy: "",
        },
        CapacityLine {
            role,
            what: "processor time for tokens",
            value: tokens * slopes.token_us / 10_000.0,
            unit: "% of a core",
            budget: None,
            mechanism: "one event in, one event out",
            remedy: "",
        },
    ]
}

/// Works out what watchers, keepers and writers do.
fn role_lines(slopes: &MeasuredSlopes, sizes: &ExpectedSizes) -> Vec<CapacityLine> {
    let near = sizes.instances / sizes.data_centres;
    vec![
        CapacityLine {
            role: "engine watcher",
            what: "servers watched by one instance",
            value: sizes.workers / sizes.instances,
            unit: "servers",
            budget: None,
            mechanism: "rendezvous hashing with a bound, over the instances heard",
            remedy: "",
        },
        CapacityLine {
            role: "engine watcher",
            what: "polls of load by one instance",
            value: sizes.workers / sizes.instances / slopes.load_poll,
            unit: "a second",
            budget: None,
            mechanism: "HTTP, one after the other",
            remedy: "",
        },
        CapacityLine {
            role: "organisation keeper",
            what: "organisations kept by one instance",
            value: sizes.organisations / near,
            unit: "organisations",
            budget: None,
            mechanism: "rendezvous hashing; use comes in beats, parts go out in replies",
            remedy: "",
        },
        CapacityLine {
            role: "settings writer",
            what: "changes",
            value: sizes.changes / DAY,
            unit: "a second",
            budget: None,
            mechanism: "one transaction each: head, tree and audit record",
            remedy: "",
        },
    ]
}

/// Works out what the platform's services carry.
fn platform_lines(slopes: &MeasuredSlopes, sizes: &ExpectedSizes) -> Vec<CapacityLine> {
    let heads = sizes.instances / slopes.settings_poll;
    let lists = slopes.list_reads.min(sizes.instances / 2.0);
    let changes = sizes.changes / DAY * sizes.instances;
    let keyed = sizes.requests * sizes.keyed_part;
    let starts = sizes.replaced / DAY * 3.0;
    // Each request that may not be repeated writes its claim and its outcome.
    let rows = 2.0 * keyed;
    let writes = (rows / slopes.claims_per_write).max(rows.min(slopes.claim_writes));
    let per_instance = slopes.claim_writes / sizes.instances;
    let wait = if rows > slopes.claim_writes { 1.0 / per_instance } else { 0.0 };
    vec![
        CapacityLine {
            role: "table service",
            what: "reads",
            value: heads + lists + changes + starts + keyed * 0.01,
            unit: "a second",
            budget: Some(sizes.budget_reads),
            mechanism: "spread polls; changes fetched as edits; the list read in a budget",
            remedy: "a longer poll: word of changes comes in beats anyway",
        },
        CapacityLine {
            role: "table service",
            what: "writes",
            value: writes + sizes.changes / DAY,
            unit: "a second",
            budget: Some(sizes.budget_writes),
            mechanism: "group commits of claims, within a budget for each instance",
            remedy: "more claims in one write",
        },
        CapacityLine {
            role: "table service",
            what: "wait for a group commit, at the latest",
            value: wait,
            unit: "s",
            budget: Some(sizes.budget_first_token),
            mechanism: "a claim joins the next write of its instance",
            remedy: "send keyed requests on to a few instances, which write for all",
        },
        CapacityLine {
            role: "object store",
            what: "outcomes too large for a row, if one in ten is",
            value: keyed * 0.1,
            unit: "a second",
            budget: Some(sizes.budget_writes),
            mechanism: "one object for each, before its row names it",
            remedy: "larger rows, if the table allows them",
        },
    ]
}

/// Returns the time between two beats to one peer.
fn period(slopes: &MeasuredSlopes, near: f64) -> f64 {
    (slopes.beat_period_per_instance * near).min(slopes.beat_period_longest)
}

impl CapacityLine {
    /// Returns how much it needs, with its unit.
    fn amount(&self) -> String {
        format!("{} {}", rounded(self.value), self.unit)
    }

    /// Returns whether it fits.
    fn verdict(&self) -> String {
        match self.budget {
            None => String::new(),
            Some(budget) if self.value <= budget => format!("{} fits", rounded(budget)),
            Some(budget) => format!("{} DOES NOT FIT: {}", rounded(budget), self.remedy),
        }
    }
}

/// Rounds for people: three digits that count.
fn rounded(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value if value >= 0.1 => format!("{value:.2}"),
        value => format!("{value:.3}"),
    }
}

/// Prints the table as it stands in `docs/CAPACITY.md`.
fn print_markdown(lines: &[CapacityLine]) {
    println!("| role | what | needs | budget | mechanism |");
    println!("|---|---|---|---|---|");
    for line in lines {
        println!(
            "| {} | {} | {} | {} | {} |",
            line.role,
            line.what,
            line.amount(),
            line.verdict(),
            line.mechanism
        );
    }
}

/// Reads a file that the command line names, or what is built in.
fn read<T: serde::de::DeserializeOwned>(
    matches: &ArgMatches,
    name: &str,
    built_in: &str,
) -> Result<T, CommandFault> {
    let file = matches.get_one::<String>(name);
    let text = match file {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|cause| CommandFault::file(path, &cause))?,
        None => built_in.to_owned(),
    };
    serde_saphyr::from_str(&text).map_err(|cause| {
        let path = file.map_or("built in", String::as_str);
        let cause = cause.to_string();
        let line = cause.lines().next().unwrap_or_default();
        CommandFault::Argument { message: format!("{path}: {line}") }
    })
}
