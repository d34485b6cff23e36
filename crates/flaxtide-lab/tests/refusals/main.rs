//! Servers that fail if they have to refuse many requests in a second, under more load than
//! they have room for, on a manual clock.

#[path = "../common/mod.rs"]
mod common;
mod play;

use std::time::Duration;

use self::play::{BrittlePattern, BrittlePlay};

/// Few instances before a few plain servers.
const PLAIN: BrittlePattern = BrittlePattern {
    instances: 9,
    data_centres: 1,
    servers: 4,
    engines: false,
    slots: 6,
    work: Duration::from_millis(60),
    waiting: (2, 2),
    told_every: Duration::from_millis(2300),
    renews: false,
    load: 1.0,
    idle: 0.0,
    states: true,
};

/// Few instances before a few engines, at which fewer requests wait once they are brittle.
const ENGINES: BrittlePattern = BrittlePattern {
    engines: true,
    slots: 16,
    work: Duration::from_millis(900),
    waiting: (33, 8),
    ..PLAIN
};

/// Many instances of one data centre.
const MANY_ENGINES: BrittlePattern =
    BrittlePattern { instances: 81, servers: 30, ..ENGINES };

/// Many instances of three data centres.
const THREE_CENTRES: BrittlePattern = BrittlePattern {
    instances: 61,
    data_centres: 3,
    servers: 90,
    ..ENGINES
};

/// The loads as a multiple of what fits.
const LOADS: [f64; 2] = [1.0, 1.6];

/// Plays a pattern and prints what was seen. Returns what is wrong: more falls than users allow, or
/// fewer answers than `least_part` of what fits.
fn judge(pattern: BrittlePattern, seed: u64, least_part: f64) -> Option<String> {
    let result = BrittlePlay::new(pattern, seed).run();
    let BrittlePattern { instances, servers, load, .. } = pattern;
    let fits = pattern.capacity().min(f64::from(result.came));
    let part = f64::from(result.answered) / fits;
    println!(
        "{instances} {servers} {load} {} {} {} {part:.3} {} {} {} {}",
        pattern.renews,
        pattern.idle,
        pattern.waiting.1,
        result.falls,
        result.refused,
        result.answered,
        result.unserved
    );
    // The bound that users set: two falls and a tenth of the servers.
    let most = 2 + servers / 10;
    let fails = result.falls > most || part < least_part || result.unserved > 0;
    fails.then(|| {
        format!(
            "{pattern:?}, {seed}: {} falls, {part:.3} answered, {} instances answered none",
            result.falls, result.unserved
        )
    })
}

/// Judges patterns at each load, with servers that come back as new incarnations or not.
fn judge_all(
    patterns: &[BrittlePattern],
    renewals: &[bool],
    seeds: u64,
    least_part: f64,
) {
    println!(
        "instances servers load renews idle waiting part falls refused answered unserved"
    );
    let mut wrong = vec![];
    for pattern in patterns {
        for (load, renews) in LOADS
            .iter()
            .flat_map(|load| renewals.iter().map(move |it| (*load, *it)))
        {
            let pattern = BrittlePattern { load, renews, ..*pattern };
            wrong.extend((0..seeds).filter_map(|seed| judge(pattern, seed, least_part)));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// Guards against servers being made to fail by requests that they have to refuse.
#[test]
fn servers_that_bear_few_refusals_do_not_fail_under_overload() {
    let many = BrittlePattern { instances: 81, servers: 30, ..PLAIN };
    judge_all(&[PLAIN], &[false, true], 3, 0.9);
    judge_all(&[many], &[true], 1, 0.8);
    judge_all(&[ENGINES], &[false, true], 3, 0.64);
    // Few of the instances have all requests.
    judge_all(&[BrittlePattern { idle: 0.6, ..ENGINES }], &[false, true], 1, 0.64);
}

// Guards against servers being made to fail because no request waits there.
#[test]
fn servers_without_a_queue_do_not_fail_under_overload() {
    let plain = BrittlePattern { waiting: (0, 0), ..PLAIN };
    let engines = BrittlePattern { waiting: (0, 0), ..ENGINES };
    judge_all(&[plain, engines], &[false, true], 3, 0.64);
}

// Guards against servers being made to fail again and again because most of many instances haven't
// heard how much they bear.
#[test]
fn servers_do_not_fail_before_many_instances_of_one_data_centre() {
    // Their requests are told to nobody.
    let untold = BrittlePattern { engines: false, ..MANY_ENGINES };
    judge_all(&[MANY_ENGINES], &[false, true], 1, 0.75);
    judge_all(&[untold], &[true], 1, 0.75);
}

// Guards against the same where instances know only those of their own data centre by name.
#[test]
fn servers_do_not_fail_before_many_instances_of_three_data_centres() {
    let smaller = BrittlePattern { instances: 81, servers: 30, ..THREE_CENTRES };
    judge_all(&[THREE_CENTRES, smaller], &[true], 1, 0.75);
    // Few of the instances have all requests.
    let idle = BrittlePattern { idle: 0.6, ..THREE_CENTRES };
    judge_all(&[idle], &[true], 1, 0.4);
}

// Guards against instances that answer none of their requests because a small service has fewer
// slots than there are instances to divide them.
#[test]
fn every_instance_is_served_by_a_small_service_that_bears_few_refusals() {
    let few = BrittlePattern {
        instances: 4,
        servers: 3,
        slots: 2,
        waiting: (1, 1),
        ..PLAIN
    };
    let many = BrittlePattern { instances: 61, data_centres: 3, ..PLAIN };
    let one_centre = BrittlePattern { data_centres: 1, ..many };
    judge_all(&[few, many, one_centre], &[false, true], 3, 0.9);
    let engines = BrittlePattern { instances: 61, data_centres: 3, ..ENGINES };
    judge_all(&[engines], &[false, true], 3, 0.64);
}
