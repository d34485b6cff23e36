//! Rows that vanish while the platform leaves some instances of a data centre without answers, or
//! all of them: which servers are dropped, and when. A model of a group with a reader and two
//! standbys, without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxtide_entry::{
    CallBackoff, FeedError, FollowState, PlatformAnswers, ServerDirectory, ServerEntry,
    first_call_window, max_answer_gap,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time within which a leaving server must get no more requests.
const LEAVE_WITHIN: Duration = Duration::from_secs(3);

/// How often servers renew their rows.
const ROW_RENEWAL: Duration = Duration::from_millis(1200);

/// The time within which rows that lapsed in an outage are back.
const ROWS_BACK_WITHIN: u64 = 2000;

/// The instances of the data centre. The first is the reader, and the next two are standbys.
const INSTANCES: usize = 26;

/// How often an instance hears from each peer, in milliseconds.
const HEARTBEAT_PERIOD: u64 = 1100;

/// The steps of the model, and the period in which missing rows are checked, in milliseconds.
const STEP: u64 = 10;
const CHECK_PERIOD: u64 = 100;

/// How soon an instance is told what its reader has read, in milliseconds.
const QUESTION_PERIOD: u64 = 50;

/// A call that the platform doesn't answer.
const SILENT: FeedError = FeedError::Refused { status: 503 };

/// The server whose row vanishes.
const SERVER: &str = "i-0";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Which instances get no answers, and when the row is missing. Times are in milliseconds.
struct Pattern {
    /// The instances without answers.
    silent: BTreeSet<usize>,
    /// When they get none.
    silent_from: u64,
    silent_until: u64,
    /// When the row vanishes.
    gone_at: u64,
    /// When it is back; never if its server has left.
    back_at: u64,
}

impl Pattern {
    fn answers(&self, instance: usize, now: u64) -> bool {
        !(self.silent.contains(&instance)
            && (self.silent_from..self.silent_until).contains(&now))
    }

    fn lists(&self, now: u64) -> bool {
        !(self.gone_at..self.back_at).contains(&now)
    }
}

/// An instance of the model.
struct Member {
    state: FollowState,
    backoff: CallBackoff,
    directory: ServerDirectory,
    answers: PlatformAnswers,
    /// When it next asks its reader or calls the platform.
    next_at: u64,
    /// When the platform last answered it.
    called_at: Option<u64>,
    /// When it has dropped the server, in order.
    dropped_at: Vec<u64>,
}

fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        name: format!("i-{number}"),
        service: "pool".into(),
        address: ([10, 0, 0, number as u8], 80).into(),
        data_centre: "north".into(),
        slots: 8,
        version: "v1".into(),
        leaving: false,
        spot: false,
        started: Some(1000),
        cold_left: None,
    }
}

impl Member {
    fn new(number: usize) -> Self {
        let mut directory = ServerDirectory::new(LEAVE_WITHIN, ROW_RENEWAL);
        (0..10).for_each(|number| _ = directory.put(entry(number), Duration::ZERO));
        Self {
            state: FollowState::default(),
            backoff: CallBackoff::default(),
            directory,
            answers: PlatformAnswers::new(max_answer_gap(ROW_RENEWAL)),
            next_at: number as u64 * 7 % 100,
            called_at: None,
            dropped_at: vec![],
        }
    }

    /// Applies a list that is complete up to `covered`.
    fn apply(&mut self, is_listed: bool, covered: u64, now: u64) {
        let was_outage = self.state.is_outage(ms(now));
        let unseen = self.state.record_coverage(ms(covered), ms(now));
        if self.state.record_answer(now).regained && was_outage {
            self.directory.record_outage(ms(now));
        }
        self.answers.record_own(ms(covered));
        match is_listed {
            true => _ = self.directory.put(entry(0), ms(now)),
            false => _ = self.directory.mark_missing_within(SERVER, unseen, ms(now)),
        }
    }

    /// Calls the platform. Returns the pause after it.
    fn call(&mut self, answers: bool, is_listed: bool, draw: f64, now: u64) -> Duration {
        if answers {
            self.called_at = Some(now);
            self.backoff.record_success(ms(now));
            self.apply(is_listed, now, now);
            return LEAVE_WITHIN.mul_f64(0.15);
        }
        self.backoff.record_failure(LEAVE_WITHIN, draw, ms(now));
        let pause = self.state.record_fault(&SILENT, ms(now)).pause;
        self.note_outage(now);
        pause
    }

    /// Records its own lack of news, once that is long enough.
    fn note_outage(&mut self, now: u64) {
        if self.state.is_outage(ms(now)) {
            self.directory.record_outage(ms(now));
        }
    }

    fn drop_expired(&mut self, now: u64) {
        if let Some(known) = self.answers.known() {
            self.directory.record_answers(known);
        }
        if !self.directory.expire(ms(now)).is_empty() {
            self.dropped_at.push(now);
        }
    }
}

/// Plays a pattern. Returns when each instance has dropped the server.
fn play(pattern: &Pattern, seed: u64) -> Vec<Vec<u64>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut members: Vec<Member> = (0..INSTANCES).map(Member::new).collect();
    let max_age = LEAVE_WITHIN.mul_f64(0.25).as_millis() as u64;
    for now in (0..40_000).step_by(STEP as usize) {
        for idx in 0..INSTANCES {
            if now >= members[idx].next_at {
                let pause =
                    step(&mut members, idx, pattern, max_age, random.random(), now);
                members[idx].next_at = now + pause.as_millis() as u64;
            }
            if (now + idx as u64 * STEP).is_multiple_of(HEARTBEAT_PERIOD) {
                let told: Vec<_> =
                    members.iter().filter_map(|peer| peer.answers.own()).collect();
                told.into_iter()
                    .for_each(|span| members[idx].answers.record_peers(span));
            }
            if now.is_multiple_of(CHECK_PERIOD) {
                members[idx].drop_expired(now);
            }
        }
    }
    members.into_iter().map(|member| member.dropped_at).collect()
}

/// Has an instance ask the first of the reader and the standbys that has read lately, or call the
/// platform. Returns the pause after it.
fn step(
    members: &mut [Member],
    idx: usize,
    pattern: &Pattern,
    max_age: u64,
    draw: f64,
    now: u64,
) -> Duration {
    let answers = pattern.answers(idx, now);
    if idx == 0 {
        return members[idx].call(answers, pattern.lists(now), draw, now);
    }
    let read_at = members[..3].iter().filter_map(|member| member.called_at).max();
    if let Some(read_at) = read_at.filter(|read_at| now <= read_at + max_age) {
        members[idx].backoff.reset();
        members[idx].apply(pattern.lists(read_at), now.saturating_sub(max_age), now);
        // A question waits, so a change is told soon after it was read.
        return ms(QUESTION_PERIOD);
    }
    let member = &mut members[idx];
    let is_standby = idx < 3;
    let unknown_for = member.state.unknown_for(ms(now));
    let window = first_call_window(is_standby, true, unknown_for, LEAVE_WITHIN);
    match member.backoff.delay(window, draw, ms(now)) {
        Some(delay) => {
            member.state.record_failing_peers();
            member.note_outage(now);
            delay.min(ms(100)).max(ms(STEP))
        }
        None => member.call(answers, pattern.lists(now), draw, now),
    }
}

/// The seeds of each pattern.
const SEEDS: u64 = 8;

/// When instances are left without answers, and when they get some again.
const SILENT_FROM: u64 = 10_000;
const SILENT_UNTIL: u64 = 14_500;

/// The sets of instances that the platform leaves without answers while it answers others.
fn partial_silences() -> Vec<(&'static str, BTreeSet<usize>)> {
    vec![
        ("the reader", (0..1).collect()),
        ("the reader and the standbys", (0..3).collect()),
        ("a third", (0..INSTANCES).filter(|idx| idx % 3 == 0).collect()),
        ("a third, with all readers", (0..INSTANCES / 3).collect()),
        ("all but one", (0..INSTANCES - 1).collect()),
    ]
}

/// Guards against an instance taking its own lack of news for an outage of the platform: it kept
/// vanished servers for 2.2 s more, and requests reached them after 3.1 s and more, of 3 s.
#[test]
fn vanished_servers_are_dropped_in_time_while_the_platform_answers_some() {
    for (name, silent) in partial_silences() {
        for (seed, after) in
            (0..SEEDS).flat_map(|seed| [(seed, 0), (seed, 700), (seed, 3_300)])
        {
            let gone_at = SILENT_FROM + after;
            let pattern = Pattern {
                silent: silent.clone(),
                silent_from: SILENT_FROM,
                silent_until: 30_000,
                gone_at,
                back_at: u64::MAX,
            };
            let dropped = play(&pattern, seed);
            for idx in (0..INSTANCES).filter(|idx| !silent.contains(idx)) {
                let took = dropped[idx].first().map(|at| at - gone_at);
                assert!(
                    took < Some(3_000),
                    "{name}, seed {seed}: instance {idx} after {took:?} ms"
                );
            }
        }
    }
}

/// Guards against sound servers being dropped whose rows lapse while the platform answers nobody in
/// the data centre, and are back within two seconds of its return.
#[test]
fn rows_that_lapse_in_an_outage_cost_no_server() {
    for seed in 0..SEEDS {
        for lapsed_after in [2_400, 3_600, 4_500, 4_900] {
            let pattern = Pattern {
                silent: (0..INSTANCES).collect(),
                silent_from: SILENT_FROM,
                silent_until: SILENT_UNTIL,
                gone_at: SILENT_FROM + lapsed_after,
                back_at: SILENT_UNTIL + ROWS_BACK_WITHIN,
            };
            let dropped = play(&pattern, seed);
            assert!(
                dropped.iter().all(Vec::is_empty),
                "seed {seed}, lapsed after {lapsed_after}: {dropped:?}"
            );
        }
    }
}

/// Guards against a server being kept for long that leaves as an outage ends: a row that is still
/// missing two seconds after its end is gone.
#[test]
fn servers_that_leave_as_an_outage_ends_are_dropped() {
    for seed in 0..SEEDS {
        for after in [0, 300, 1_000, 3_000] {
            let gone_at = SILENT_UNTIL + after;
            let pattern = Pattern {
                silent: (0..INSTANCES).collect(),
                silent_from: SILENT_FROM,
                silent_until: SILENT_UNTIL,
                gone_at,
                back_at: u64::MAX,
            };
            let latest = (gone_at + 3_000).max(SILENT_UNTIL + ROWS_BACK_WITHIN + 3_000);
            for (idx, dropped) in play(&pattern, seed).iter().enumerate() {
                assert!(
                    dropped.first().is_some_and(|at| *at < latest),
                    "seed {seed}, left {after} ms after: instance {idx} at {dropped:?}"
                );
            }
        }
    }
}
