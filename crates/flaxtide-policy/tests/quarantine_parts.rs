//! Which prompt parts are quarantined after crashes, and which requests that keeps away: a table
//! of cases, and a series of crashes with many sound requests beside the harmful ones.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{CallProgress, CrashLog, Fingerprint, part_fingerprint};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A part that crashes servers.
const BAD: u64 = 1;

/// A sound part that most requests have.
const COMMON: u64 = 2;

/// A sound part that few requests have.
const RARE: u64 = 3;

/// What happens to a log, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum LogStep {
    /// A server crashes, at a time, while it runs a request with parts that was sent 60 ms before.
    Crash(u32, u64, Fingerprint, &'static [u64]),
    /// A server responds to a part of a request that was sent at a time.
    Proof(u64, u64),
}

use LogStep::{Crash, Proof};

/// Returns a time in milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records a crash of a server while it ran a request with parts.
fn record(log: &mut CrashLog, server: u32, at: u64, request: Fingerprint, parts: &[u64]) {
    let progress = CallProgress { sent: ms(at.saturating_sub(60)), begun: false };
    log.record(request, server, progress, ms(at));
    for part in parts {
        log.record(part_fingerprint(*part), server, progress, ms(at));
    }
}

/// Returns the log after some steps.
fn log_after(steps: &[LogStep]) -> CrashLog {
    let mut log = CrashLog::default();
    for step in steps {
        match step {
            Crash(server, at, request, parts) => {
                record(&mut log, *server, *at, *request, parts);
            }
            Proof(part, sent) => {
                log.clear_part(*part, ms(*sent), ms(sent + 100));
            }
        }
    }
    log
}

/// Returns whether a request that was never seen, with some parts, is kept from servers.
fn is_refused(log: &CrashLog, parts: &[u64]) -> bool {
    log.find_quarantined(9999, parts).is_some()
}

/// Guards against parts that crash servers and are sent on, and against sound parts beside them
/// that no request may have any more.
#[test]
fn the_part_is_refused_that_alone_explains_the_crashes() {
    let three = |parts: &'static [u64]| -> Vec<LogStep> {
        (0..3)
            .map(|at| Crash(at, 100 * u64::from(at + 1), u128::from(10 + at), parts))
            .collect()
    };
    let with = |parts, more: &[LogStep]| [three(parts), more.to_vec()].concat();
    // The case, its steps, the parts of a request, and whether it is refused.
    let cases: Vec<(&str, Vec<LogStep>, &[u64], bool)> = vec![
        ("two crashes may be a coincidence", three(&[BAD])[..2].to_vec(), &[BAD], false),
        ("three of different requests are not", three(&[BAD]), &[BAD], true),
        ("whatever else the request has", three(&[BAD]), &[COMMON, BAD, RARE], true),
        ("others are served", three(&[BAD]), &[COMMON, RARE], false),
        (
            "one request that came three times is to blame itself",
            (0..3)
                .map(|at| Crash(at, 100 * u64::from(at + 1), 10, &[RARE]))
                .collect(),
            &[RARE],
            false,
        ),
        (
            "a common part is cleared by later requests with it",
            with(&[COMMON, BAD], &[Proof(COMMON, 310)]),
            &[COMMON],
            false,
        ),
        (
            "and the other one is left",
            with(&[COMMON, BAD], &[Proof(COMMON, 310)]),
            &[BAD],
            true,
        ),
        (
            "a response that began before the crashes clears nothing",
            with(&[BAD], &[Proof(BAD, 50)]),
            &[BAD],
            true,
        ),
        (
            "parts that always came together are refused together",
            three(&[RARE, BAD]),
            &[RARE, BAD],
            true,
        ),
        ("one of them alone may be tried", three(&[RARE, BAD]), &[COMMON, RARE], false),
        (
            "once that has crashed a server it is to blame",
            with(&[RARE, BAD], &[Crash(7, 500, 20, &[BAD])]),
            &[BAD],
            true,
        ),
        (
            "and not the other one",
            with(&[RARE, BAD], &[Crash(7, 500, 20, &[BAD])]),
            &[RARE],
            false,
        ),
        (
            "a rare part that ran beside it three times",
            [
                three(&[RARE]),
                (0..4)
                    .map(|at| {
                        Crash(at, 100 * u64::from(at + 1), u128::from(30 + at), &[BAD])
                    })
                    .collect(),
            ]
            .concat(),
            &[RARE],
            false,
        ),
    ];
    for (case, steps, parts, refused) in cases {
        assert_eq!(is_refused(&log_after(&steps), parts), refused, "{case}");
    }
}

/// A sound request that met three crashes by chance, each time sent again.
#[test]
fn a_request_beside_the_part_is_refused_no_longer_once_the_part_is_known() {
    let mut log = CrashLog::default();
    for at in 0..4 {
        record(&mut log, at, 100 * u64::from(at + 1), u128::from(10 + at), &[BAD]);
        if at < 3 {
            record(&mut log, at, 100 * u64::from(at + 1), 77, &[]);
        }
    }
    assert_eq!(log.find_quarantined(77, &[COMMON]), None);
    assert!(log.find_quarantined(78, &[BAD]).is_some());
}

/// A request that runs, and when it was sent.
#[derive(Debug, Clone)]
struct RunningRequest {
    fingerprint: Fingerprint,
    parts: [u64; 2],
    tries: u32,
    sent: u64,
}

/// Simulates 60 seconds of eighteen engines with twenty sound requests each, whose first part is
/// one of four and whose second is one of `rare`, and harmful requests beside them, no two alike,
/// that share both with sound ones. Requests on a crashed server go to another one, at most three
/// times. Returns the sound requests, how many of these were refused, and the crashed servers.
fn simulate(rare: u64, seed: u64) -> (usize, usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut log = CrashLog::default();
    let mut running: BTreeMap<u32, Vec<RunningRequest>> = BTreeMap::new();
    let mut servers: Vec<u32> = (0..18).collect();
    let (mut sound, mut refused, mut crashed) = (0, 0, 0);
    let (mut next, mut next_server) = (1000, 18);
    for now in (0..60_000u64).step_by(5) {
        for server in &servers {
            let here = running.entry(*server).or_default();
            here.retain(|request| {
                // A tenth of them end in 100 ms.
                let ends = now > request.sent + 100 && random.random_bool(0.005);
                if ends {
                    log.clear(request.fingerprint, ms(now));
                    for part in request.parts {
                        log.clear_part(part, ms(request.sent), ms(now));
                    }
                }
                !ends
            });
            while here.len() < 20 {
                next += 1;
                sound += 1;
                let parts = [
                    100 + random.random_range(0..4),
                    1000 + random.random_range(0..rare),
                ];
                if log.find_quarantined(next, &parts).is_some() {
                    refused += 1;
                    continue;
                }
                here.push(RunningRequest {
                    fingerprint: next,
                    parts,
                    tries: 0,
                    sent: now,
                });
            }
        }
        if now < 5000 || now % 150 != 0 {
            continue;
        }
        next += 1;
        let parts = [100, BAD, 1000 + random.random_range(0..rare)];
        if log.find_quarantined(next, &parts).is_some() {
            continue;
        }
        let place = random.random_range(0..servers.len());
        let server = servers[place];
        crashed += 1;
        record(&mut log, server, now, next, &parts);
        let fallen = running.remove(&server).unwrap_or_default();
        for request in &fallen {
            let begun = now > request.sent + 100;
            let progress = CallProgress { sent: ms(request.sent), begun };
            log.record(request.fingerprint, server, progress, ms(now));
            for part in request.parts.iter().filter(|_| !begun) {
                log.record(part_fingerprint(*part), server, progress, ms(now));
            }
        }
        servers[place] = next_server;
        next_server += 1;
        for mut request in fallen {
            request.tries += 1;
            request.sent = now;
            if log.find_quarantined(request.fingerprint, &request.parts).is_some() {
                refused += 1;
            } else if request.tries < 3 {
                let target = servers[random.random_range(0..servers.len())];
                running.entry(target).or_default().push(request);
            }
        }
    }
    (sound, refused, crashed)
}

#[test]
fn sound_requests_beside_a_harmful_part_are_served() {
    for rare in [1, 20, 150, 5000] {
        let (mut all, mut wrongly, mut most) = (0, 0, 0);
        for seed in 0..10 {
            let (sound, refused, crashed) = simulate(rare, seed);
            all += sound;
            wrongly += refused;
            most = most.max(crashed);
        }
        println!(
            "{rare} rare parts: {wrongly} of {all} sound refused, {most} crashes at most"
        );
        assert!(most <= 5, "{rare}: {most} servers crashed");
        assert!(
            wrongly * 1000 <= all,
            "{rare}: {wrongly} of {all} sound requests refused"
        );
    }
}
