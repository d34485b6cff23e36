//! The number of engines for long prompts: the tighter their targets, the more.

mod common;

use std::collections::BTreeSet;

use self::common::{call, core_with, ms, server_of};

/// Returns how many of ten engines are used by long prompts with the given target.
fn engines_for_target(target_ms: u64) -> usize {
    let mut core = core_with(10);
    core.arrive(call(1000, 100, true), ms(0));
    let mut engines = BTreeSet::new();
    for request in 0..30 {
        let mut route_call = call(request, 9000, true);
        route_call.target = ms(target_ms);
        let now = ms(request * 60);
        engines.extend(server_of(&core.arrive(route_call, now)));
        core.cancel(request, now + ms(50));
        core.arrive(call(2000 + request, 100, true), now + ms(51));
        core.cancel(2000 + request, now + ms(52));
        // This prompt keeps the engine busy, so that the next one goes to another engine.
        let mut busy = call(3000 + request, 9000, true);
        busy.target = ms(target_ms);
        core.arrive(busy, now + ms(53));
    }
    engines.len()
}

#[test]
fn long_prompts_with_tight_targets_get_more_engines() {
    // At the assumed prefill rate, an engine takes 150 ms for one of these prompts.
    assert_eq!(engines_for_target(500), 8, "three in a row would be late");
    assert_eq!(engines_for_target(2000), 6, "several can wait for each other");
}
