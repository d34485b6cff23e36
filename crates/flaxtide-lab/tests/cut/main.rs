//! Instances that lose the path to all servers, on a manual clock: how many of their callers are
//! served through peers, what peers carry, how often requests are sent again if the servers
//! refuse them, and whether servers get what they state that they bear.

#[path = "../common/mod.rs"]
mod common;
mod play;

use std::time::Duration;

use self::play::{CutPattern, CutPlay, JUDGED_FROM, ServerLimit};

/// The forwarded requests that an instance takes at a time. The play sets no limit, so that
/// the test shows whether the choice of peers keeps to it.
const MAX_CARRIED: usize = 256;

/// A small fleet of which some are cut.
const SMALL: CutPattern = CutPattern {
    instances: 9,
    data_centres: 4,
    cut: 5,
    servers: 18,
    rate: 20.0,
    refused: 0.0,
    slack: 58.0,
    limit: ServerLimit::Anything,
    slots: 64,
    waiting: 2,
};

/// A fleet of which a data centre is cut.
const LARGE: CutPattern = CutPattern {
    instances: 84,
    data_centres: 3,
    cut: 28,
    servers: 60,
    rate: 12.0,
    slack: 200.0,
    ..SMALL
};

/// Returns the most events of a window, and in how many windows that follow each other there were
/// more than `limit`.
fn count_beyond(times: &[Duration], window: Duration, limit: f64) -> (usize, usize) {
    let (mut most, mut beyond, mut next) = (0, 0, Duration::ZERO);
    for (place, from) in times.iter().enumerate() {
        let count = times[place..].iter().take_while(|at| **at < *from + window).count();
        most = most.max(count);
        if count as f64 > limit && *from >= next {
            beyond += 1;
            next = *from + window;
        }
    }
    (most, beyond)
}

/// Some of nine instances; most of them; a data centre and most of a second one of six.
const PATTERNS: [CutPattern; 4] = [
    SMALL,
    CutPattern { cut: 8, ..SMALL },
    LARGE,
    CutPattern {
        instances: 294,
        data_centres: 6,
        cut: 90,
        servers: 160,
        rate: 8.0,
        ..LARGE
    },
];

/// The parts of all requests that servers refuse.
const REFUSED: [f64; 3] = [0.5, 0.8, 0.95];

/// Returns the part of the requests that were served.
fn part((came, served): (u32, u32)) -> f64 {
    f64::from(served) / f64::from(came)
}

// Guards against callers of instances that reach no server being refused while others are served,
// and against a few peers getting all the work.
#[test]
fn callers_of_cut_instances_are_served_and_no_peer_is_overrun() {
    println!("instances cut served_cut served_others most_carried back_ms");
    for pattern in PATTERNS {
        let result = CutPlay::new(pattern, 7).run();
        println!(
            "{} {} {:.4} {:.4} {} {}",
            pattern.instances,
            pattern.cut,
            part(result.cut),
            part(result.others),
            result.most_carried,
            result.back_after.as_millis()
        );
        // The bound that users set is two thirds of the others' part.
        assert!(part(result.cut) >= 0.98, "{pattern:?}: {result:?}");
        assert!(part(result.others) >= 0.98, "{pattern:?}: {result:?}");
        assert!(result.most_carried <= MAX_CARRIED, "{pattern:?}: {result:?}");
        assert!(result.back_after <= Duration::from_secs(2), "{pattern:?}: {result:?}");
    }
}

// Guards against requests being sent again beyond the retry budget, as an instance that forwards
// them doesn't know that servers have refused them at a peer. Callers of these instances must not
// pay for it.
#[test]
fn forwarded_requests_that_servers_refuse_are_repeated_within_the_budget() {
    println!("instances cut refused repeats excess served_cut served_others");
    let mut broken = vec![];
    let patterns = [SMALL, CutPattern { cut: 8, ..SMALL }, LARGE];
    for (fleet, refused) in patterns
        .iter()
        .flat_map(|pattern| REFUSED.map(|refused| (pattern, refused)))
    {
        let pattern = CutPattern { refused, ..*fleet };
        let result = CutPlay::new(pattern, 11).run();
        let excess = result.worst_excess(pattern.slack);
        let served = (part(result.cut), part(result.others));
        let repeats = result.repeats.len();
        let (instances, cut) = (pattern.instances, pattern.cut);
        println!(
            "{instances} {cut} {refused} {repeats} {excess:.0} {:.3} {:.3}",
            served.0, served.1
        );
        assert!(repeats > 0, "{pattern:?}: nothing was sent again");
        // The bound that users set is two thirds of the others' part.
        if excess > 0.0 || served.0 < served.1 * 2.0 / 3.0 {
            broken.push((instances, cut, refused, excess, served));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// The window in which the requests at a server are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

// Guards against servers getting more than they state because instances forward their requests.
#[test]
fn servers_get_no_more_than_they_state_while_requests_are_forwarded() {
    println!("instances limit most_in_window beyond served_cut served_others");
    for fleet in [SMALL, CutPattern { cut: 8, ..SMALL }, LARGE] {
        for rate in [2.0, 8.0] {
            let pattern = CutPattern { limit: ServerLimit::Rate(rate), ..fleet };
            let result = CutPlay::new(pattern, 5).run();
            let allowed = rate * RATE_WINDOW.as_secs_f64() * 1.25 + 3.0;
            let counts = result
                .arrivals
                .values()
                .map(|times| count_beyond(times, RATE_WINDOW, allowed));
            let (most, beyond) = counts.fold((0, 0), |(most, sum), (count, beyond)| {
                (most.max(count), sum + beyond)
            });
            println!("{} {rate} {most} {beyond}", pattern.instances);
            assert_eq!(beyond, 0, "{pattern:?}: {most} in a window, {allowed} allowed");
        }
    }
}

// Guards against servers that bear few refusals failing because instances forward requests that
// servers have refused.
#[test]
fn servers_that_bear_few_refusals_do_not_fail_while_requests_are_forwarded() {
    /// The refusals a second that a server bears.
    const LIMIT: u32 = 8;
    // The load is 1.5 times as much as the servers have room for.
    let small = CutPattern { servers: 4, slots: 6, rate: 66.0, ..SMALL };
    let large = CutPattern { servers: 30, slots: 6, rate: 54.0, ..LARGE };
    let mut broken = vec![];
    let fleets = [small, CutPattern { cut: 8, ..small }, large];
    for (fleet, waiting) in fleets.iter().flat_map(|fleet| [(fleet, 0), (fleet, 2)]) {
        for cut in [0, fleet.cut] {
            let limit = ServerLimit::Refusals(LIMIT);
            let pattern = CutPattern { limit, cut, waiting, ..*fleet };
            let result = CutPlay::new(pattern, 5).run();
            let second = Duration::from_secs(1);
            let counts = result.refusals.values().map(|times| {
                // Each instance has learnt the limits with its first responses.
                let told = times.iter().copied().filter(|at| *at >= JUDGED_FROM);
                count_beyond(&told.collect::<Vec<_>>(), second, f64::from(LIMIT))
            });
            let falls: usize = counts.map(|(_, beyond)| beyond).sum();
            let refusals: usize = result.refusals.values().map(Vec::len).sum();
            println!("{} {cut} {waiting} {refusals} {falls}", pattern.instances);
            // The bound that users set: two falls and a tenth of the servers.
            let most = 2 + pattern.servers as usize / 10;
            if falls > most {
                broken.push((pattern.instances, cut, waiting, falls));
            }
        }
    }
    assert!(broken.is_empty(), "falls: {broken:?}");
}
