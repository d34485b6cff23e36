//! The report of a load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ProxySettings;
use flaxtide_standin::{RunRecord, ServiceRun};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::plan::{LoadPlan, LoadStream};
use super::send::{CallOutcome, OutcomeEnd};
use crate::output::table;

/// What a load is sent to, and where its effects are looked up.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadTargets {
    /// The entry instances.
    pub(crate) entries: Vec<SocketAddr>,
    /// The engines, whose records tell what was made.
    pub(crate) engines: Vec<SocketAddr>,
    /// The plain services, whose runs tell what was run.
    pub(crate) services: Vec<SocketAddr>,
}

/// The report of a load.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadReport {
    /// By class.
    pub(crate) classes: BTreeMap<String, ClassReport>,
    /// Tokens a second of answers that met their target.
    pub(crate) goodput_tokens_per_s: f64,
    /// Tokens that were made and reached nobody as part of a whole answer.
    pub(crate) wasted_tokens: u64,
    /// Requests that ended without a word, or with a wrong answer.
    pub(crate) lost: usize,
    /// Calls that may not be repeated and ran more than once.
    pub(crate) doubled: usize,
}

/// The report of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ClassReport {
    /// Requests sent.
    pub(crate) sent: usize,
    /// Whole answers.
    pub(crate) whole: usize,
    /// Requests refused without running.
    pub(crate) refused: usize,
    /// Requests that failed and may have run.
    pub(crate) failed: usize,
    /// The part of requests sent that met their target.
    pub(crate) attainment: f64,
    /// The median time to the first token, in milliseconds.
    pub(crate) first_token_p50_ms: u64,
    /// The 99th percentile of the time to the first token, in milliseconds.
    pub(crate) first_token_p99_ms: u64,
}

impl LoadReport {
    /// Makes the report of a load. The engines had made `made_before` tokens before it.
    pub(crate) fn new(
        plan: &LoadPlan,
        outcomes: &[CallOutcome],
        targets: &LoadTargets,
        made_before: u64,
    ) -> Self {
        let mut classes: BTreeMap<String, ClassReport> = BTreeMap::new();
        let mut spans: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut good_tokens = 0;
        let mut received = 0;
        for outcome in outcomes {
            let stream = &plan.streams[outcome.stream];
            let class = classes.entry(stream.class.clone()).or_default();
            class.sent += 1;
            match outcome.end {
                OutcomeEnd::Whole => {
                    class.whole += 1;
                    received += u64::from(outcome.tokens);
                }
                OutcomeEnd::Refused => class.refused += 1,
                OutcomeEnd::Failed => class.failed += 1,
                OutcomeEnd::Wrong | OutcomeEnd::Lost => {}
            }
            if met_target(stream, outcome) {
                class.attainment += 1.0;
                good_tokens += u64::from(outcome.tokens);
            }
            let span = outcome.first_token.unwrap_or_default().as_millis() as u64;
            if outcome.end == OutcomeEnd::Whole {
                let histogram =
                    spans.entry(stream.class.clone()).or_insert_with(new_histogram);
                histogram.saturating_record(span);
            }
        }
        for (name, class) in &mut classes {
            class.attainment /= class.sent.max(1) as f64;
            if let Some(histogram) = spans.get(name) {
                class.first_token_p50_ms = histogram.value_at_quantile(0.5);
                class.first_token_p99_ms = histogram.value_at_quantile(0.99);
            }
        }
        let lost = |outcome: &&CallOutcome| {
            matches!(outcome.end, OutcomeEnd::Lost | OutcomeEnd::Wrong)
        };
        let seconds = Duration::from_millis(plan.millis.max(1)).as_secs_f64();
        Self {
            classes,
            goodput_tokens_per_s: good_tokens as f64 / seconds,
            wasted_tokens: made_tokens(targets).saturating_sub(made_before + received),
            lost: outcomes.iter().filter(lost).count(),
            doubled: doubled_calls(targets),
        }
    }
}

/// Tells whether a request was answered whole within its stream's targets.
pub(crate) fn met_target(stream: &LoadStream, outcome: &CallOutcome) -> bool {
    let Some(first) = outcome.first_token else { return false };
    if outcome.end != OutcomeEnd::Whole {
        return false;
    }
    let target = Duration::from_millis(stream.first_token_ms);
    let between = Duration::from_millis(stream.between_tokens_ms);
    let rest = outcome.whole.saturating_sub(first);
    first <= target && rest <= between * outcome.tokens.max(1)
}

/// Returns how many tokens the engines have made so far.
pub(crate) fn made_tokens(targets: &LoadTargets) -> u64 {
    let records = targets.engines.iter().filter_map(|address| {
        look_up::<BTreeMap<String, RunRecord>>(*address, "/records")
    });
    records
        .flat_map(BTreeMap::into_values)
        .map(|record| u64::from(record.tokens))
        .sum()
}

/// Returns how many idempotency keys have been run more than once.
fn doubled_calls(targets: &LoadTargets) -> usize {
    let runs = targets
        .services
        .iter()
        .filter_map(|address| look_up::<Vec<ServiceRun>>(*address, "/runs"));
    let keys: Vec<_> = runs.flatten().filter_map(|run| run.idempotency_key).collect();
    let unique: BTreeSet<_> = keys.iter().collect();
    keys.len() - unique.len()
}

/// Reads JSON from a stand-in.
fn look_up<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = attohttpc::get(format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build());
    request.send().ok()?.json().ok()
}

/// Makes a histogram of milliseconds.
fn new_histogram() -> Histogram<u64> {
    /// The longest span that is told apart: ten minutes.
    const LONGEST_MS: u64 = 600_000;
    Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are valid")
}

/// Prints a report for people.
pub(crate) fn print_report(report: &LoadReport) {
    let header = [
        "class",
        "sent",
        "whole",
        "refused",
        "failed",
        "attainment",
        "first token p50",
        "p99",
    ];
    let mut rows = table(&header);
    for (name, class) in &report.classes {
        rows.add_row([
            name.clone(),
            class.sent.to_string(),
            class.whole.to_string(),
            class.refused.to_string(),
            class.failed.to_string(),
            format!("{:.1} %", class.attainment * 100.0),
            format!("{} ms", class.first_token_p50_ms),
            format!("{} ms", class.first_token_p99_ms),
        ]);
    }
    println!("{rows}");
    println!(
        "goodput {:.0} tokens/s, wasted work {} tokens, lost {}, doubled {}",
        report.goodput_tokens_per_s, report.wasted_tokens, report.lost, report.doubled
    );
}
