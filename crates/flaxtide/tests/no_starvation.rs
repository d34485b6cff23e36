//! No class starves, and a large organisation doesn't crowd out a small one.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{FleetShape, ORGANISATION_KEYS, StopGuard, TestFleet, together, wait_for};
use flaxtide_policy::{
    CallArrival, ClassRule, DecisionCore, OrganisationRule, PolicyAction, PolicyEvent,
    PolicyOptions, RuleSet, ServerRule,
};
use flaxtide_standin::EngineOptions;

#[test]
fn batches_run_under_a_lasting_burst_of_the_top_tier() {
    let engine = EngineOptions { slots: 2, ..EngineOptions::default() };
    let fleet = TestFleet::start(&FleetShape { engine, ..FleetShape::default() });
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        for caller in 0..48 {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let prompt = format!("clerk {caller} {round}");
                    fleet.instances[caller % 2].ask(
                        ORGANISATION_KEYS[0],
                        "clerk",
                        &prompt,
                    );
                }
            });
        }
        wait_for("the burst fills the queues", || {
            fleet.instances.iter().all(|instance| {
                let status = instance.status().unwrap();
                status.pools["model/m"]
                    .waiting
                    .get(&0)
                    .is_some_and(|count| *count > 4)
            })
        });
        let start = Instant::now();
        let batches = together(6, |index| {
            let prompt = format!("batch {index}");
            fleet.instances[index % 2].ask(ORGANISATION_KEYS[1], "batch", &prompt)
        });
        let took = start.elapsed();
        stop.store(true, Ordering::SeqCst);
        for batch in &batches {
            assert!(batch.whole(), "{batch:?}");
        }
        assert!(took < Duration::from_secs(60), "{took:?}");
    });
    // They ran while the burst lasted, in turns with the top tier's priority.
    let records: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.records().into_values())
        .collect();
    assert!(records.iter().all(|record| record.priorities.contains(&0)));
}

#[test]
fn a_large_organisation_does_not_crowd_out_a_small_one() {
    let engine = EngineOptions { slots: 2, ..EngineOptions::default() };
    let fleet = TestFleet::start(&FleetShape { engine, ..FleetShape::default() });
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        for caller in 0..60 {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let prompt = format!("large {caller} {round}");
                    fleet.instances[caller % 2].ask(
                        ORGANISATION_KEYS[0],
                        "question",
                        &prompt,
                    );
                }
            });
        }
        wait_for("the large organisation fills the queues", || {
            fleet.instances.iter().all(|instance| {
                let status = instance.status().unwrap();
                status.pools["model/m"].waiting.values().sum::<usize>() > 10
            })
        });
        // With equal turns, the small one waits for about one of the large one's.
        for index in 0..10 {
            let instance = &fleet.instances[index % 2];
            let answer =
                instance.ask(ORGANISATION_KEYS[1], "question", &format!("small {index}"));
            assert!(answer.whole(), "{answer:?}");
        }
        stop.store(true, Ordering::SeqCst);
    });
}

/// How many requests the large organisation has waiting.
const LARGE: u64 = 200;

/// How many the small one then sends.
const SMALL: u64 = 10;

/// The small one's are through after so many turns: those that the large one may be ahead
/// by within the fairness window, and then one each.
const MOST_TURNS: usize = 45;

#[test]
fn a_small_organisation_takes_turns_with_a_large_one() {
    let mut core = DecisionCore::new(PolicyOptions::default(), 1);
    let class = ClassRule {
        tier: 0,
        first_token: Duration::from_secs(1000),
        give_up: Duration::from_secs(1000),
        starvation_bound: Duration::from_secs(1000),
        priority: 1,
        repeatable: true,
    };
    let organisation = OrganisationRule { priority: 1, requests_per_second: None };
    let rules = RuleSet {
        classes: [(0, class)].into(),
        organisations: [(0, organisation.clone()), (1, organisation)].into(),
        servers: [(0, ServerRule { pools: vec![0], slots: 1 })].into(),
    };
    core.handle(PolicyEvent::Rules(rules), Duration::ZERO);
    let mut running = 0;
    for request in 0..LARGE + SMALL {
        let arrival = CallArrival {
            request,
            pool: 0,
            class: 0,
            organisation: u16::from(request >= LARGE),
            prompt_tokens: 10,
            prefix: None,
            give_up: None,
            first_token: None,
            repeatable: true,
        };
        core.handle(PolicyEvent::Arrive(arrival), Duration::from_millis(request));
    }
    let mut order = vec![];
    for turn in 0..LARGE {
        let finish = PolicyEvent::Finish { request: running, tokens: 128 };
        for action in core.handle(finish, Duration::from_millis(1000 + turn)) {
            if let PolicyAction::Dispatch { request, .. } = action {
                running = request;
                order.push(request);
            }
        }
    }
    let last = order.iter().rposition(|request| *request >= LARGE).unwrap();
    assert!(last < MOST_TURNS, "the small one's last turn is {last}");
}
