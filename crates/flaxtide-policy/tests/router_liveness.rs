//! Engines that have watchers: busy ones keep their requests, dead ones lose them, and what
//! this instance sees of a bad path still counts.

mod common;

use flaxtide_policy::{
    EngineReport, EngineSighting, EngineSightings, HealthCause, LevelTokens, PeerLoad,
    RetryDecision, RouteAction, RouteCall, RouteCore, RouteFault, RouteOptions,
    SIGHTING_BOUND,
};

use self::common::{call, core_with, ms, server_of};

/// What a watcher says of an engine, in milliseconds.
#[derive(Clone, Copy)]
enum Word {
    /// The engine answered a call this long ago.
    Answered(u64),
    /// Calls have failed for this long.
    Failing(u64),
    /// The engine answered just now that it has no requests.
    Idle,
}

/// Passes a watcher's word on to a router.
fn sight(core: &mut RouteCore, server: u32, watcher: u32, word: Word, at: u64) {
    let mut sighting = EngineSighting {
        server,
        watcher,
        answered_ago: None,
        failing_for: None,
        report: None,
    };
    match word {
        Word::Answered(ago) => sighting.answered_ago = Some(ms(ago)),
        Word::Failing(span) => sighting.failing_for = Some(ms(span)),
        Word::Idle => {
            sighting.answered_ago = Some(ms(0));
            sighting.report = Some((EngineReport::default(), ms(300)));
        }
    }
    core.record_sightings(&[sighting], ms(at));
}

/// Creates a core whose first engine has been busy with a prompt since 0 ms.
fn core_with_busy_engine(engines: u32) -> RouteCore {
    let mut core = core_with(engines);
    sight(&mut core, 0, 7, Word::Answered(0), 0);
    sight(&mut core, 0, 8, Word::Answered(0), 0);
    send_to(&mut core, 0, call(1, 6000, true), 0);
    core
}

/// Has a call come that is sent to a certain engine. The others get calls before it that
/// are cancelled at once.
fn send_to(core: &mut RouteCore, server: u32, call: RouteCall, at: u64) {
    let request = call.request;
    let mut probe = 1_000_000 + at * 1000;
    let mut probes = vec![];
    while server_of(&core.arrive(RouteCall { request: probe, ..call.clone() }, ms(at)))
        != Some(server)
    {
        probes.push(probe);
        probe += 1;
        assert!(probes.len() < 100, "{request} isn't sent to {server}");
    }
    core.cancel(probe, ms(at));
    assert_eq!(server_of(&core.arrive(call, ms(at))), Some(server));
    for probe in probes {
        core.cancel(probe, ms(at));
    }
}

/// Returns whether an engine gets any of forty short calls, more than the other engines have
/// room for.
fn gets_calls(core: &mut RouteCore, server: u32, at: u64) -> bool {
    let first = 5_000_000 + at * 1000;
    let requests: Vec<u64> = (first..first + 40).collect();
    let mut servers = vec![];
    for request in &requests {
        servers.push(server_of(&core.arrive(call(*request, 100, true), ms(at))));
    }
    for request in requests {
        core.cancel(request, ms(at));
    }
    servers.contains(&Some(server))
}

/// Returns the cause for which an engine has become unhealthy since the last call.
fn cause_of(core: &mut RouteCore, server: u32, at: u64) -> Option<HealthCause> {
    let changes = core.health_changes(ms(at));
    changes.iter().find(|change| change.server == server)?.cause
}

#[test]
fn a_busy_engine_stays_eligible_and_keeps_its_prompts() {
    let mut core = core_with_busy_engine(3);
    for at in (500..=10_000).step_by(500) {
        sight(&mut core, 0, 7, Word::Answered(900), at);
        assert!(!core.may_abort_silent(1, false, ms(at)), "aborted at {at}");
        assert!(gets_calls(&mut core, 0, at), "not eligible at {at}");
        assert_eq!(cause_of(&mut core, 0, at), None);
        assert!(core.silent_servers(ms(at)).is_empty(), "reported at {at}");
    }
}

#[test]
fn without_watchers_silence_counts() {
    let mut core = core_with(3);
    send_to(&mut core, 0, call(1, 6000, true), 0);
    assert!(!gets_calls(&mut core, 0, 2000));
    assert_eq!(cause_of(&mut core, 0, 2000), Some(HealthCause::Silence));
    assert!(core.may_abort_silent(1, false, ms(2000)));
}

#[test]
fn once_no_watcher_is_heard_silence_counts_again() {
    let mut core = core_with_busy_engine(3);
    let last = SIGHTING_BOUND.as_millis() as u64;
    assert!(gets_calls(&mut core, 0, last - 1));
    assert!(!gets_calls(&mut core, 0, last));
    assert!(core.may_abort_silent(1, false, ms(last)));
    // An idle engine isn't dead for that.
    assert!(gets_calls(&mut core, 1, last));
}

#[test]
fn a_peers_report_counts_only_against_proof_of_life() {
    // The word of both watchers, and whether the report counts at 10 s.
    let cases = [
        (None, true),
        (Some(Word::Answered(0)), false),
        (Some(Word::Answered(2900)), false),
        (Some(Word::Answered(3100)), true),
        (Some(Word::Failing(100)), true),
    ];
    for (index, (word, counts)) in cases.into_iter().enumerate() {
        let mut core = core_with(2);
        for watcher in [7, 8] {
            if let Some(word) = word {
                sight(&mut core, 0, watcher, word, 10_000);
            }
        }
        core.record_silence_reports(&[0], ms(10_000));
        let cause = counts.then_some(HealthCause::PeerReport);
        assert_eq!(cause_of(&mut core, 0, 10_001), cause, "case {index}");
        assert_eq!(gets_calls(&mut core, 0, 10_001), !counts, "case {index}");
    }
}

#[test]
fn proof_of_life_ends_the_pause_after_a_peers_report() {
    let mut core = core_with(2);
    core.record_silence_reports(&[0], ms(10_000));
    assert!(!gets_calls(&mut core, 0, 10_001));
    sight(&mut core, 0, 7, Word::Answered(0), 10_010);
    assert!(gets_calls(&mut core, 0, 10_011));
}

#[test]
fn an_engine_is_dead_once_all_watchers_in_touch_have_failed_for_the_bound() {
    // The words of two watchers and whether the engine is dead.
    let cases = [
        (Word::Failing(1200), Word::Failing(1500), true),
        (Word::Failing(1100), Word::Failing(1500), false),
        (Word::Failing(5000), Word::Answered(400), false),
    ];
    for (index, (one, other, dead)) in cases.into_iter().enumerate() {
        let mut core = core_with(2);
        // This instance has nothing there.
        sight(&mut core, 0, 7, one, 10_000);
        sight(&mut core, 0, 8, other, 10_000);
        let cause = dead.then_some(HealthCause::WatcherReport);
        assert_eq!(cause_of(&mut core, 0, 10_000), cause, "case {index}");
        assert_eq!(gets_calls(&mut core, 0, 10_000), !dead, "case {index}");
    }
}

#[test]
fn a_stall_of_this_instance_does_not_prolong_the_failures_of_watchers() {
    let mut core = core_with(2);
    sight(&mut core, 0, 7, Word::Failing(600), 10_000);
    core.discount_stall(ms(2000), ms(12_000));
    assert!(gets_calls(&mut core, 0, 12_000));
    assert!(!gets_calls(&mut core, 0, 12_600));
}

#[test]
fn a_new_watcher_without_an_answer_does_not_revive_a_dead_engine() {
    let mut core = core_with(2);
    sight(&mut core, 0, 7, Word::Failing(2000), 10_000);
    let sighting = EngineSighting {
        server: 0,
        watcher: 8,
        answered_ago: None,
        failing_for: None,
        report: None,
    };
    core.record_sightings(&[sighting], ms(10_000));
    assert!(!gets_calls(&mut core, 0, 10_000));
}

#[test]
fn own_data_is_fresher_than_the_failures_of_watchers() {
    let mut core = core_with_busy_engine(2);
    core.record_response_data(1, ms(9800));
    for watcher in [7, 8] {
        sight(&mut core, 0, watcher, Word::Failing(4000), 10_000);
    }
    assert!(gets_calls(&mut core, 0, 10_000));
    // Without more of it, the engine is dead after the bound.
    assert!(!gets_calls(&mut core, 0, 11_000));
    assert_eq!(cause_of(&mut core, 0, 11_000), Some(HealthCause::WatcherReport));
}

#[test]
fn requests_on_a_dead_engine_are_aborted_at_once() {
    let mut core = core_with_busy_engine(2);
    for watcher in [7, 8] {
        sight(&mut core, 0, watcher, Word::Failing(1300), 1400);
    }
    assert!(core.may_abort_silent(1, false, ms(1400)));
    let (decision, actions) = core.fail(1, RouteFault::Silent, false, ms(1400));
    assert_eq!(decision, RetryDecision::Retry);
    assert_eq!(server_of(&actions), Some(1));
}

#[test]
fn a_dead_engine_is_no_last_resort_while_others_are_only_paused() {
    let mut core = core_with(2);
    send_to(&mut core, 1, call(1, 100, false), 9900);
    core.fail_without_retry(1, RouteFault::Unreachable, ms(10_000));
    for watcher in [7, 8] {
        sight(&mut core, 0, watcher, Word::Failing(1300), 10_000);
    }
    assert_eq!(server_of(&core.arrive(call(2, 100, true), ms(10_000))), Some(1));
}

#[test]
fn a_dead_engine_that_answers_again_gets_requests() {
    let mut core = core_with(2);
    sight(&mut core, 0, 7, Word::Failing(1300), 10_000);
    assert!(!gets_calls(&mut core, 0, 10_000));
    sight(&mut core, 0, 7, Word::Answered(10), 10_500);
    assert!(gets_calls(&mut core, 0, 10_500));
}

#[test]
fn the_first_wait_at_watched_engines_is_a_watch_period() {
    let wait = |core: &mut RouteCore| match &core.arrive(call(9, 100, true), ms(0))[..] {
        [RouteAction::Dispatch { silence_timeout, .. }] => *silence_timeout,
        other => panic!("not sent: {other:?}"),
    };
    let usual = RouteOptions::default().shortest_patience;
    assert_eq!(wait(&mut core_with(1)), Some(usual));
    let mut core = core_with(1);
    sight(&mut core, 0, 7, Word::Answered(0), 0);
    assert_eq!(wait(&mut core), Some(ms(500)));
}

#[test]
fn a_doubtful_engine_keeps_its_requests_for_the_usual_time() {
    let mut core = core_with_busy_engine(2);
    for watcher in [7, 8] {
        sight(&mut core, 0, watcher, Word::Failing(100), 900);
    }
    assert!(!core.may_abort_silent(1, false, ms(1000)));
    assert!(core.may_abort_silent(1, false, ms(1500)));
}

#[test]
fn a_failed_connection_pauses_an_engine_that_is_alive_for_others() {
    let mut core = core_with_busy_engine(2);
    core.fail_without_retry(1, RouteFault::Unreachable, ms(100));
    assert!(!gets_calls(&mut core, 0, 101));
    assert_eq!(cause_of(&mut core, 0, 101), Some(HealthCause::Fault));
}

#[test]
fn failures_of_requests_are_not_overruled() {
    let mut core = core_with(3);
    for request in 0..30 {
        sight(&mut core, 0, 7, Word::Answered(0), request * 10);
        if server_of(&core.arrive(call(request, 100, true), ms(request * 10))) == Some(0)
        {
            core.fail_without_retry(request, RouteFault::Failed, ms(request * 10 + 5));
        } else {
            core.finish(request, ms(request * 10 + 5));
        }
    }
    assert_eq!(cause_of(&mut core, 0, 300), Some(HealthCause::Failures));
    assert!(!gets_calls(&mut core, 0, 300));
}

#[test]
fn a_stream_that_pauses_for_too_long_is_resumed_elsewhere() {
    let mut core = core_with_busy_engine(3);
    core.record_response_data(1, ms(100));
    for at in [1100, 2099] {
        sight(&mut core, 0, 7, Word::Answered(100), at);
        assert!(!core.may_abort_silent(1, true, ms(at)), "aborted at {at}");
        assert!(gets_calls(&mut core, 0, at), "not eligible at {at}");
    }
    sight(&mut core, 0, 7, Word::Answered(100), 2101);
    assert!(!gets_calls(&mut core, 0, 2101));
    assert_eq!(cause_of(&mut core, 0, 2101), Some(HealthCause::Silence));
    assert!(core.silent_servers(ms(2101)).is_empty(), "peers may reach it");
    assert!(core.may_abort_silent(1, true, ms(2101)));
    core.fail(1, RouteFault::Silent, true, ms(2101));
    assert!(!gets_calls(&mut core, 0, 2150), "the path stays suspect");
}

#[test]
fn a_request_that_the_engine_does_not_have_is_sent_again() {
    let mut core = core_with_busy_engine(2);
    sight(&mut core, 0, 7, Word::Idle, 1200);
    assert!(!core.may_abort_silent(1, false, ms(1500)), "the report may be too old");
    sight(&mut core, 0, 7, Word::Idle, 1700);
    assert!(core.may_abort_silent(1, false, ms(1700)));
    core.fail(1, RouteFault::Silent, false, ms(1700));
    assert!(!gets_calls(&mut core, 0, 1701), "the path is suspect");
}

#[test]
fn a_prompt_is_read_again_elsewhere_only_if_that_is_sooner() {
    // The tokens to be read at the engine that has the prompt of 6,000 tokens and at the
    // other one, and whether the prompt is sent to the other.
    let cases = [
        (60_000, 0, true),
        (60_000, 30_000, true),
        (60_000, 50_000, false),
        (9_000, 0, true),
        // Sooner by less than the round trip and the first step that a send costs.
        (8_000, 0, false),
        (7_000, 0, false),
    ];
    for (here, there, sent) in cases {
        let mut core = core_with(2);
        let loads = |here, there| {
            let load = |(server, tokens)| PeerLoad {
                server,
                short: 1,
                long: 0,
                pending_prefill: LevelTokens::from([0, tokens, 0]),
            };
            [(0, here), (1, there)].map(load)
        };
        let slow = RouteCall { target: ms(10_000), ..call(1, 6000, true) };
        core.set_peer_loads(5, &loads(here, 200_000), ms(0));
        for server in [0, 1] {
            sight(&mut core, server, 7, Word::Answered(0), 0);
        }
        assert_eq!(server_of(&core.arrive(slow, ms(0))), Some(0));
        // Nothing has been read since, although that was expected.
        let now = 4000;
        core.set_peer_loads(5, &loads(here, there), ms(now));
        sight(&mut core, 0, 7, Word::Answered(0), now);
        let aborts = core.may_abort_silent(1, false, ms(now));
        assert_eq!(aborts, sent, "{here} tokens here and {there} there");
        if aborts {
            core.fail(1, RouteFault::Silent, false, ms(now));
        }
        assert_eq!(cause_of(&mut core, 0, now), None, "a busy engine isn't paused");
    }
}

#[test]
fn the_word_of_a_data_centre_counts_until_its_next_one() {
    let mut sightings = EngineSightings::default();
    let digest = EngineSighting {
        server: 1,
        watcher: 7,
        answered_ago: Some(ms(1000)),
        failing_for: None,
        report: None,
    };
    sightings.record_for(&digest, ms(8000), ms(2000));
    assert!(sightings.is_watched(ms(9999)));
    assert!(!sightings.is_watched(ms(10_000)));
    assert_eq!(sightings.alive_until(), Some(ms(9000)));
    // The word of an instance counts for the bound only.
    sightings.record(&digest, ms(10_000));
    assert!(!sightings.is_watched(ms(10_000) + SIGHTING_BOUND));
}

#[test]
fn a_busy_engine_elsewhere_is_alive_between_digests() {
    let mut core = core_with_busy_engine(3);
    let digest = EngineSighting {
        server: 0,
        watcher: 9,
        answered_ago: Some(ms(0)),
        failing_for: None,
        report: None,
    };
    core.record_sightings_for(&[digest], ms(8000), ms(0));
    assert!(gets_calls(&mut core, 0, 7999));
    assert!(!gets_calls(&mut core, 0, 8000));
}

/// Passes on a watcher's word that an engine has just reported something.
fn sight_report(core: &mut RouteCore, server: u32, report: EngineReport, at: u64) {
    let sighting = EngineSighting {
        server,
        watcher: 7,
        answered_ago: Some(ms(0)),
        failing_for: None,
        report: Some((report, ms(0))),
    };
    core.record_sightings(&[sighting], ms(at));
}

#[test]
fn an_engine_that_runs_anything_may_have_a_request() {
    // The waiting and the running requests of reports that don't say which are unread.
    for (waiting, running) in [(0, 1), (0, 12), (1, 0)] {
        let mut core = core_with_busy_engine(3);
        for at in (500..=2500).step_by(500) {
            let report = EngineReport { waiting, running, ..Default::default() };
            sight_report(&mut core, 0, report, at);
            let aborts = core.may_abort_silent(1, false, ms(at));
            assert!(!aborts, "{waiting} wait, {running} run, aborted at {at}");
            assert_eq!(cause_of(&mut core, 0, at), None);
        }
    }
}

#[test]
fn a_stream_may_pause_for_as_long_as_its_caller_waits() {
    // The target of the call, and after what pause its stream may be resumed elsewhere.
    for (target, gap) in [(100, 2000), (500, 2000), (1500, 6000)] {
        let mut core = core_with(3);
        sight(&mut core, 0, 7, Word::Answered(0), 0);
        send_to(&mut core, 0, RouteCall { target: ms(target), ..call(1, 600, true) }, 0);
        core.record_response_data(1, ms(100));
        for at in [1100, 100 + gap - 1] {
            sight(&mut core, 0, 7, Word::Answered(0), at);
            assert!(!core.may_abort_silent(1, true, ms(at)), "{target}, {at}");
            assert_eq!(cause_of(&mut core, 0, at), None, "{target}, {at}");
        }
        let at = 100 + gap + 1;
        sight(&mut core, 0, 7, Word::Answered(0), at);
        assert!(core.may_abort_silent(1, true, ms(at)), "{target}");
        assert_eq!(cause_of(&mut core, 0, at), Some(HealthCause::Silence));
    }
}

#[test]
fn peers_are_not_told_of_a_pause_of_an_engine_that_its_watchers_reach() {
    let mut core = core_with_busy_engine(3);
    core.record_response_data(1, ms(100));
    sight(&mut core, 0, 7, Word::Answered(0), 2200);
    assert!(core.may_abort_silent(1, true, ms(2200)));
    core.fail(1, RouteFault::Silent, true, ms(2200));
    assert!(!gets_calls(&mut core, 0, 2201), "the path is suspect");
    assert!(core.silent_servers(ms(2201)).is_empty());
    for watcher in [7, 8] {
        sight(&mut core, 0, watcher, Word::Failing(100), 2210);
    }
    assert_eq!(core.silent_servers(ms(2211)), [0], "its watchers fail too");
}

#[test]
fn other_engines_are_compared_again_only_after_the_usual_patience() {
    let mut core = core_with(2);
    let loads = |tokens: [u32; 2]| {
        [0, 1].map(|server| PeerLoad {
            server,
            short: 1,
            long: 0,
            pending_prefill: LevelTokens::from([0, tokens[server as usize], 0]),
        })
    };
    core.set_peer_loads(5, &loads([60_000, 200_000]), ms(0));
    for server in [0, 1] {
        sight(&mut core, server, 7, Word::Answered(0), 0);
    }
    let slow = RouteCall { target: ms(10_000), ..call(1, 6000, true) };
    assert_eq!(server_of(&core.arrive(slow, ms(0))), Some(0));
    let mut ask = |at, there| {
        core.set_peer_loads(5, &loads([60_000, there]), ms(at));
        sight(&mut core, 0, 7, Word::Answered(0), at);
        core.may_abort_silent(1, false, ms(at))
    };
    assert!(!ask(4000, 50_000), "not sooner elsewhere");
    assert!(!ask(4500, 0), "compared again at once");
    assert!(ask(9000, 0));
}
