//! The decisions under load and faults, against baselines and an upper bound.
//!
//! `cargo bench -p flaxtide-policy --bench policy -- --seed 1` prints a table, and as its
//! last line a JSON object: by scenario and policy, attainment, goodput and wasted work.
//! `--plot FILE.svg` draws goodput.

mod lab;

use std::thread;

use flaxtide_policy::PolicyOptions;
use serde_json::{Map, Value};

use self::lab::{PolicyKind, RunScore, SCENARIOS, Scenario, draw_goodput, run};

fn main() {
    let seed = read_word("--seed").and_then(|word| word.parse().ok()).unwrap_or(1);
    println!("seed {seed}; attainment by class, in per cent, and tokens a second");
    println!(
        "| {:<26} | {:<12} | grid | counter | question | notes | batch | goodput | of ideal | wasted | worst t0 wait | small org. |",
        "scenario", "policy"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut all = Map::new();
    let mut rows = vec![];
    for scenario in &SCENARIOS {
        let scores = run_all(scenario, seed);
        let ideal = scores.last().map_or(1.0, |(_, score)| score.goodput());
        let mut row = Map::new();
        for (kind, score) in &scores {
            print_row(scenario, *kind, score, ideal);
            row.insert(kind.name().into(), score.to_json());
        }
        all.insert(scenario.name.into(), Value::Object(row));
        rows.push(scores);
    }
    if let Some(file) = read_word("--plot") {
        draw_goodput(&file, &rows).expect("the plot can be written");
    }
    println!("{}", Value::Object(all));
}

/// Runs a scenario under every policy at once.
fn run_all(scenario: &Scenario, seed: u64) -> Vec<(PolicyKind, RunScore)> {
    let options = PolicyOptions::default();
    thread::scope(|scope| {
        let options = &options;
        let runs = PolicyKind::ALL
            .map(|kind| (kind, scope.spawn(move || run(scenario, kind, options, seed))));
        runs.into_iter()
            .map(|(kind, run)| (kind, run.join().unwrap()))
            .collect()
    })
}

/// Prints a row of the table.
fn print_row(scenario: &Scenario, kind: PolicyKind, score: &RunScore, ideal: f64) {
    let percent = |class| 100.0 * score.attainment(class);
    println!(
        "| {:<26} | {:<12} | {:5.1} | {:5.1} | {:5.1} | {:5.1} | {:5.1} | {:7.0} | {:5.1} % | {:4.1} % | {} ms | {:5.1} |",
        scenario.name,
        kind.name(),
        percent(0),
        percent(2),
        percent(3),
        percent(1),
        percent(4),
        score.goodput(),
        100.0 * score.goodput() / ideal,
        100.0 * score.wasted(),
        score.worst_wait[0].max(score.worst_wait[2]),
        100.0 * score.small_attainment(),
    );
}

/// Reads the word after a flag on the command line.
fn read_word(flag: &str) -> Option<String> {
    std::env::args().skip_while(|word| word != flag).nth(1)
}
