//! `flaxctl status`, `flaxctl explain` and `flaxctl watch`.

use std::thread;
use std::time::Duration;

use clap::ArgMatches;
use flaxtide::{DecisionRecord, InstanceStatus, StepKind};

use crate::client::AdminClient;
use crate::fault::CommandFault;
use crate::output::{print_json, table, wants_json};

/// How often `flaxctl watch` looks.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// How many decisions `flaxctl watch` shows of each instance.
const WATCHED_DECISIONS: usize = 5;

/// Shows how instances stand.
pub(crate) fn status(matches: &ArgMatches) -> Result<(), CommandFault> {
    let mut statuses: Vec<InstanceStatus> = vec![];
    for client in AdminClient::from_matches(matches)? {
        statuses.push(client.get("/status")?);
    }
    if wants_json(matches) {
        print_json(&statuses);
    } else {
        print_statuses(&statuses);
    }
    Ok(())
}

/// Prints how instances stand.
fn print_statuses(statuses: &[InstanceStatus]) {
    let header =
        ["instance", "data centre", "ready", "settings", "calls", "peers", "queues"];
    let mut rows = table(&header);
    for status in statuses {
        let queues = status.pools.iter().map(|(name, pool)| {
            let waiting: usize = pool.waiting.values().sum();
            let running: u32 = pool.running.values().sum();
            format!("{name}: {waiting} waiting, {running} of {} slots", pool.slots)
        });
        rows.add_row([
            status.name.clone(),
            status.data_centre.clone(),
            if status.ready { "yes".into() } else { "no".into() },
            status.settings_version.to_string(),
            status.open_calls.to_string(),
            status.live_peers.to_string(),
            queues.collect::<Vec<_>>().join("\n"),
        ]);
    }
    println!("{rows}");
}

/// Shows why a request was served, delayed or refused.
pub(crate) fn explain(matches: &ArgMatches) -> Result<(), CommandFault> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut last = None;
    // The record is with the instance that took the request.
    for client in AdminClient::from_matches(matches)? {
        match client.get::<DecisionRecord>(&format!("/decisions/{request}")) {
            Ok(record) => {
                if wants_json(matches) {
                    print_json(&record);
                } else {
                    print_record(&record);
                }
                return Ok(());
            }
            Err(fault) => last = Some(fault),
        }
    }
    last.map_or(Ok(()), Err)
}

/// Prints the record of a request.
pub(crate) fn print_record(record: &DecisionRecord) {
    println!(
        "request {} of {}: class {}, tier rank {}, for {}",
        record.request_id, record.organisation, record.class, record.tier, record.target
    );
    for step in &record.steps {
        println!("  after {:>6} ms  {}", step.after_ms, describe(&step.kind));
    }
}

/// Describes a step in the field's terms.
pub(crate) fn describe(kind: &StepKind) -> String {
    match kind {
        StepKind::Queued { place, predicted_ms } => {
            format!("queued behind {place}, predicted wait {predicted_ms} ms")
        }
        StepKind::Dispatched {
            server,
            rule,
            load,
            runner_up,
            runner_up_load,
            eligible,
            attempt,
            priority,
        } => {
            let other = match (runner_up, runner_up_load) {
                (Some(other), Some(load)) => format!(" against {other} at {load:.2}"),
                _ => String::new(),
            };
            format!(
                "attempt {attempt}: dispatched to {server} at load {load:.2}{other} \
                 ({rule}, {eligible} with a free slot, priority {priority})"
            )
        }
        StepKind::Claimed => "claimed its idempotency key".into(),
        StepKind::FirstToken => "first token".into(),
        StepKind::ServerFailed { fault, passed_on } => {
            format!("the server failed ({fault}) after {passed_on} tokens")
        }
        StepKind::Answered { tokens, met_target } => {
            let met = if *met_target { "met" } else { "missed" };
            format!("answered whole, {tokens} tokens, target {met}")
        }
        StepKind::Refused { reason, retry_after_ms } => {
            let after = retry_after_ms
                .map_or(String::new(), |millis| format!(", retry after {millis} ms"));
            format!("refused without running: {}{after}", reason.name())
        }
        StepKind::Failed { reason } => {
            format!("failed, may have run: {}", reason.name())
        }
        StepKind::Replayed => "the recorded answer was given again".into(),
        StepKind::CallerGone => "the caller has gone; cancelled".into(),
    }
}

/// Shows queues and decisions as they change.
pub(crate) fn watch(matches: &ArgMatches) -> Result<(), CommandFault> {
    let rounds = matches.get_one::<u64>("rounds").copied().unwrap_or(u64::MAX);
    let clients = AdminClient::from_matches(matches)?;
    for round in 0..rounds {
        if round > 0 {
            thread::sleep(WATCH_PERIOD);
        }
        for client in &clients {
            look(matches, client)?;
        }
    }
    Ok(())
}

/// Shows one look at one instance.
fn look(matches: &ArgMatches, client: &AdminClient) -> Result<(), CommandFault> {
    let status: InstanceStatus = client.get("/status")?;
    let path = format!("/decisions?count={WATCHED_DECISIONS}");
    let records: Vec<DecisionRecord> = client.get(&path)?;
    if wants_json(matches) {
        print_json(&serde_json::json!({ "status": status, "decisions": records }));
        return Ok(());
    }
    print_statuses(&[status]);
    for record in records {
        let last = record.steps.last().map(|step| describe(&step.kind));
        let last = last.unwrap_or_else(|| "just arrived".into());
        println!("  {} {}: {last}", record.request_id, record.class);
    }
    Ok(())
}
