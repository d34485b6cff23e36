//! What one decision costs: admission, order and choice, at growing sizes.

use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use flaxtide_policy::{
    CallArrival, ClassRule, DecisionCore, LoadReport, OrganisationRule, PolicyAction,
    PolicyEvent, PolicyOptions, RuleSet, ServerRule,
};

/// Makes a core with some engines of eight slots, each reporting some load.
fn core(engines: u32) -> DecisionCore {
    let mut core = DecisionCore::new(PolicyOptions::default(), 1);
    let class = |tier| ClassRule {
        tier,
        first_token: Duration::from_secs(1000),
        give_up: Duration::from_secs(1000),
        starvation_bound: Duration::from_secs(1000),
        priority: 1,
        repeatable: true,
    };
    let organisation = OrganisationRule { priority: 1, requests_per_second: None };
    let rules = RuleSet {
        classes: (0..6).map(|id| (id, class((id % 3) as u8))).collect(),
        organisations: (0..100).map(|id| (id, organisation.clone())).collect(),
        servers: (0..engines)
            .map(|id| (id, ServerRule { pools: vec![0], slots: 8 }))
            .collect::<BTreeMap<_, _>>(),
    };
    core.handle(PolicyEvent::Rules(rules), Duration::ZERO);
    for server in 0..engines {
        let step = Duration::from_millis(4);
        let report = LoadReport {
            server,
            running: server % 8,
            waiting: 0,
            urgent: None,
            step,
            at: Duration::ZERO,
        };
        core.handle(PolicyEvent::Report(report), Duration::ZERO);
    }
    core
}

/// Makes a request.
fn arrival(request: u64) -> CallArrival {
    CallArrival {
        request,
        pool: 0,
        class: (request % 6) as u16,
        organisation: (request % 100) as u16,
        prompt_tokens: 400,
        prefix: Some(request % 1000),
        give_up: None,
        first_token: None,
        repeatable: true,
    }
}

/// Measures a request that comes, is dispatched and ends, with free slots.
fn with_free_slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit, order and choose");
    for engines in [60, 520] {
        let mut core = core(engines);
        let mut request = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                request += 1;
                let now = Duration::from_millis(request / 100);
                black_box(core.handle(PolicyEvent::Arrive(arrival(request)), now));
                let finish = PolicyEvent::Finish { request, tokens: 10 };
                black_box(core.handle(finish, now));
            });
        });
    }
    group.finish();
}

/// Measures a request that joins a long queue while another ends and the next goes out.
fn with_a_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("with a queue of");
    for length in [100u64, 1000, 4000] {
        let mut core = core(60);
        let mut running = VecDeque::new();
        let mut request = 0;
        for _ in 0..60 * 8 + length {
            request += 6;
            let actions =
                core.handle(PolicyEvent::Arrive(arrival(request)), Duration::ZERO);
            running.extend(dispatched(&actions));
        }
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter(|| {
                request += 6;
                let event = PolicyEvent::Arrive(arrival(request));
                running.extend(dispatched(&core.handle(event, Duration::ZERO)));
                let ended = running.pop_front().expect("some request is running");
                let finish = PolicyEvent::Finish { request: ended, tokens: 10 };
                running.extend(dispatched(&core.handle(finish, Duration::ZERO)));
            });
        });
    }
    group.finish();
}

/// Returns the requests that were dispatched.
fn dispatched(actions: &[PolicyAction]) -> impl Iterator<Item = u64> + '_ {
    actions.iter().filter_map(|action| match action {
        PolicyAction::Dispatch { request, .. } => Some(*request),
        _ => None,
    })
}

criterion_group!(benches, with_free_slots, with_a_queue);
criterion_main!(benches);
