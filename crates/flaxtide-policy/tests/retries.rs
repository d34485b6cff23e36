//! Retries in the decision core are dispatched on time. Frequent load reports must not delay
//! them: the core's driver sends a tick only when no other event is pending.

use std::time::Duration;

use flaxtide_policy::{
    CallArrival, ClassRule, DecisionCore, LoadReport, PolicyAction, PolicyEvent,
    PolicyOptions, RuleSet, ServerFault, ServerRule,
};

#[test]
fn a_retry_is_dispatched_once_its_server_is_back_although_no_tick_comes() {
    let mut core = DecisionCore::new(PolicyOptions::default(), 1);
    let class = ClassRule {
        tier: 0,
        first_token: Duration::from_secs(5),
        give_up: Duration::from_secs(5),
        starvation_bound: Duration::from_secs(5),
        priority: 1,
        repeatable: true,
    };
    let rules = RuleSet {
        classes: [(0, class)].into(),
        servers: [(0, ServerRule { pools: vec![0], slots: 1 })].into(),
        ..RuleSet::default()
    };
    core.handle(PolicyEvent::Rules(rules), Duration::ZERO);
    let arrival = CallArrival {
        request: 1,
        pool: 0,
        class: 0,
        organisation: 0,
        prompt_tokens: 10,
        prefix: None,
        give_up: None,
        first_token: None,
        repeatable: true,
    };
    let dispatched = |actions: &[PolicyAction]| {
        actions
            .iter()
            .any(|action| matches!(action, PolicyAction::Dispatch { .. }))
    };
    assert!(dispatched(&core.handle(PolicyEvent::Arrive(arrival), Duration::ZERO)));
    let fault = PolicyEvent::Fail {
        request: 1,
        fault: ServerFault::Broken,
        passed_on: 0,
    };
    assert!(!dispatched(&core.handle(fault, Duration::from_millis(10))));
    // Load reports arrive so often that the core's driver never becomes idle and sends no
    // tick.
    let retried = (1..300).find(|round| {
        let now = Duration::from_millis(10 + round * 10);
        let step = Duration::from_millis(4);
        let report = LoadReport {
            server: 0,
            running: 0,
            waiting: 0,
            urgent: None,
            step,
            at: now,
        };
        dispatched(&core.handle(PolicyEvent::Report(report), now))
    });
    let retried = Duration::from_millis(retried.expect("the request is retried") * 10);
    assert!(retried < Duration::from_millis(2200), "retried only after {retried:?}");
}
