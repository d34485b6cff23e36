//! No request is shed or preempted for one of a lower tier.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::{FleetShape, ORGANISATION_KEYS, StopGuard, TestFleet, together, wait_for};
use flaxtide_core::FailureReason;
use flaxtide_policy::{
    CallArrival, ClassRule, DecisionCore, PolicyAction, PolicyEvent, PolicyOptions,
    RuleSet, ServerRule,
};
use flaxtide_standin::EngineOptions;

#[test]
fn clerks_are_served_while_batches_of_both_instances_fill_the_engines() {
    let engine = EngineOptions { slots: 4, ..EngineOptions::default() };
    let fleet = TestFleet::start(&FleetShape { engine, ..FleetShape::default() });
    let stop = AtomicBool::new(false);
    let clerks = thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        for caller in 0..40 {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let prompt = format!("batch {caller} {round}");
                    let instance = &fleet.instances[caller % 2];
                    instance.ask_for(ORGANISATION_KEYS[1], "batch", &prompt, 400, true);
                }
            });
        }
        wait_for("batches wait at both instances", || {
            fleet.instances.iter().all(|instance| {
                let status = instance.status().unwrap();
                status.pools["model/m"].waiting.values().sum::<usize>() > 0
            })
        });
        // Clerks come through one instance only, whose share must follow them.
        let clerks = together(24, |index| {
            let prompt = format!("clerk {index}");
            fleet.instances[0].ask(ORGANISATION_KEYS[0], "clerk", &prompt)
        });
        stop.store(true, Ordering::SeqCst);
        clerks
    });
    for clerk in &clerks {
        assert!(clerk.whole(), "{clerk:?}");
    }
    // Preemption is by the engine: it is told the tiers.
    let records: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.records().into_values())
        .collect();
    let told: Vec<i64> =
        records.iter().flat_map(|record| record.priorities.clone()).collect();
    assert!(told.contains(&0) && told.contains(&2), "{told:?}");
}

/// A core with one server that has `slots`, and one class for each of three tiers.
fn small_core(slots: u32, queue_limit: usize) -> DecisionCore {
    let options = PolicyOptions { queue_limit, ..PolicyOptions::default() };
    let mut core = DecisionCore::new(options, 1);
    let class = |tier| ClassRule {
        tier,
        first_token: Duration::from_secs(10),
        give_up: Duration::from_secs(60),
        starvation_bound: Duration::from_secs(600),
        priority: 1,
        repeatable: true,
    };
    let rules = RuleSet {
        classes: (0..3).map(|tier| (u16::from(tier), class(tier))).collect(),
        servers: [(1, ServerRule { pools: vec![0], slots })].into(),
        ..RuleSet::default()
    };
    core.handle(PolicyEvent::Rules(rules), Duration::ZERO);
    core
}

/// Has a request of a tier come.
fn arrive(
    core: &mut DecisionCore,
    request: u64,
    tier: u16,
    at: u64,
) -> Vec<PolicyAction> {
    let arrival = CallArrival {
        request,
        pool: 0,
        class: tier,
        organisation: 0,
        prompt_tokens: 10,
        prefix: None,
        give_up: None,
        first_token: None,
        repeatable: true,
    };
    core.handle(PolicyEvent::Arrive(arrival), Duration::from_millis(at))
}

#[test]
fn a_full_queue_gives_up_the_lowest_tier_first_and_its_youngest() {
    let mut core = small_core(1, 4);
    // The first one runs; the queue then holds tiers 0, 1, 2 and 2.
    for (request, tier) in [(1, 0), (2, 0), (3, 1), (4, 2), (5, 2)] {
        arrive(&mut core, request, tier, request);
    }
    let refused = |actions: &[PolicyAction]| {
        actions.iter().find_map(|action| match action {
            PolicyAction::Refuse { request, reason, retry_after } => {
                assert!(!retry_after.is_zero());
                Some((*request, *reason))
            }
            _ => None,
        })
    };
    let mut given_up = vec![];
    for (request, tier) in [(10, 0), (11, 1), (12, 1), (13, 2), (14, 0)] {
        given_up.extend(refused(&arrive(&mut core, request, tier, 10 + request)));
    }
    let evicted = FailureReason::Evicted;
    let full = FailureReason::QueueFull;
    assert_eq!(
        given_up,
        [(5, evicted), (4, evicted), (12, full), (13, full), (11, evicted)]
    );
}

#[test]
fn a_waiting_higher_tier_always_goes_first() {
    let mut core = small_core(1, 100);
    arrive(&mut core, 1, 0, 0);
    for request in 2..20 {
        arrive(&mut core, request, (request % 3) as u16, request);
    }
    let mut order = vec![];
    let mut running = 1;
    for step in 0..18 {
        let finish = PolicyEvent::Finish { request: running, tokens: 10 };
        for action in core.handle(finish, Duration::from_millis(100 + step)) {
            if let PolicyAction::Dispatch { request, .. } = action {
                order.push((request % 3) as u16);
                running = request;
            }
        }
    }
    assert!(order.is_sorted(), "{order:?}");
    assert_eq!(order.len(), 18);
}
