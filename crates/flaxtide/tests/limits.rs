//! Organisations' limits hold over all instances, and after one is lost.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{FleetShape, ORGANISATION_KEYS, TestFleet, together, wait_for};
use flaxtide_core::FailureReason;

/// The limit, in requests a second over all instances.
const LIMIT: f64 = 30.0;

/// How long the organisation floods the instances.
const FLOOD: Duration = Duration::from_secs(4);

/// How much over the limit may get through: a second's worth is saved up at the start, and
/// parts are worked out anew when an instance is lost.
const OVERSHOOT: f64 = 1.5;

/// Floods instances and returns how many requests a second got through.
fn flood(fleet: &TestFleet, instances: &[usize]) -> f64 {
    let start = Instant::now();
    let passed = together(12, |caller| {
        let instance = &fleet.instances[instances[caller % instances.len()]];
        let mut passed = 0;
        for round in 0.. {
            if start.elapsed() >= FLOOD {
                break;
            }
            let prompt = format!("{caller} {round} {instances:?}");
            let answer =
                instance.ask_for(ORGANISATION_KEYS[0], "question", &prompt, 2, true);
            if answer.whole() {
                passed += 1;
                continue;
            }
            let failure = answer.failure.expect("a final word");
            assert_eq!(failure.reason, FailureReason::LimitReached);
            assert!(failure.retry_after_ms.is_some());
            thread::sleep(Duration::from_millis(20));
        }
        passed
    });
    f64::from(passed.iter().sum::<i32>()) / FLOOD.as_secs_f64()
}

#[test]
fn a_limit_holds_over_all_instances_and_after_a_loss() {
    let mut fleet =
        TestFleet::start(&FleetShape { instances: 3, ..FleetShape::default() });
    let path = "organisations.one.policy.limits.requests_per_second";
    let (status, answer) = fleet.instances[0].set(1, path, LIMIT as u64);
    assert_eq!(status, 200, "{answer}");
    wait_for("the limit is in force", || {
        fleet.instances.iter().all(|instance| {
            instance.status().is_some_and(|status| status.settings_version == 2)
        })
    });
    // Evenly, then through one instance alone, whose part must follow the use.
    for instances in [&[0, 1, 2][..], &[1][..]] {
        let rate = flood(&fleet, instances);
        println!("{rate:.1} a second of {LIMIT} through {instances:?}");
        assert!(rate <= LIMIT * OVERSHOOT, "{rate} through {instances:?}");
        assert!(rate >= LIMIT * 0.4, "{rate} through {instances:?}");
    }
    fleet.instances[2].kill();
    let rate = flood(&fleet, &[0, 1]);
    println!("{rate:.1} a second of {LIMIT} after a loss");
    assert!(rate <= LIMIT * OVERSHOOT, "{rate} after a loss");
    assert!(rate >= LIMIT * 0.4, "{rate} after a loss");
}
