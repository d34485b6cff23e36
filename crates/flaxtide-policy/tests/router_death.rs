//! How long an instance uses an engine that has died, and how long its requests there wait:
//! with watchers and without.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    EngineReport, EngineSighting, RetryDecision, RouteAction, RouteCore, RouteFault,
};

use self::common::{call, core_with, ms};

/// When an engine dies, at several phases of the watchers' period; and the end of the play.
const DEATHS: [u64; 5] = [3000, 3100, 3200, 3300, 3400];
const END: u64 = 13_000;

/// After what time the first data of a response comes, the period of more, and its end.
const FIRST_DATA: u64 = 50;
const DATA_PERIOD: u64 = 100;
const RESPONSE_SPAN: u64 = 600;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: u64 = 300;

/// The period of watchers, for how long their calls are held, the time-out of the answers
/// beyond it, and the way of their word.
const WATCH_PERIOD: u64 = 500;
const WATCH_WAIT: u64 = 500;
const WATCH_TIMEOUT: u64 = 700;
const WATCH_DELAY: u64 = 300;

/// How an engine dies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Death {
    /// Its process ends: connections break and are refused.
    Crash,
    /// Its machine is gone: nothing is answered, connections don't open.
    Dark,
    /// Its process stops: connections open, nothing is answered.
    Frozen,
    /// The path of this instance to it is gone; watchers reach it.
    CutOff,
}

/// A request on an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    server: u32,
    sent_at: u64,
    /// When the router is asked whether it may be aborted, and the period of that.
    asks_at: u64,
    period: u64,
    /// When its connection fails to open.
    refused_at: Option<u64>,
    begun: bool,
}

/// What the death cost, in milliseconds since it.
#[derive(Debug, Default, PartialEq, Eq)]
struct DeathCost {
    /// How many requests were sent to the dead engine, and when the last one was.
    sends: u32,
    last_send: u64,
    /// When the last of the requests that were there at the death left.
    last_leave: u64,
    /// The longest that any request was there, and the sum.
    longest: u64,
    total: u64,
    /// How many got no complete response.
    lost: u32,
}

/// The play of a death: one router and five engines, of which the first dies.
struct DeathPlay {
    death: Death,
    died_at: u64,
    core: RouteCore,
    attempts: BTreeMap<u64, Attempt>,
    cost: DeathCost,
    sends: u32,
    now: u64,
}

impl DeathPlay {
    /// Plays a death to its end.
    fn run(death: Death, died_at: u64, watched: bool) -> DeathCost {
        let core = core_with(5);
        let attempts = BTreeMap::new();
        let cost = DeathCost::default();
        let mut play = Self {
            death,
            died_at,
            core,
            attempts,
            cost,
            sends: 0,
            now: 0,
        };
        while play.now < END {
            play.now += 10;
            if watched && play.now.is_multiple_of(WATCH_PERIOD) {
                (0..5).for_each(|server| play.sight(server));
            }
            let actions = play.core.tick(ms(play.now));
            play.obey(actions);
            if play.now.is_multiple_of(20) {
                let call = call(play.now, 100, true);
                let actions = play.core.arrive(call, ms(play.now));
                play.obey(actions);
            }
            for request in play.attempts.keys().copied().collect::<Vec<u64>>() {
                play.advance(request);
            }
        }
        let left = play.attempts.values().filter(|attempt| attempt.server == 0).count();
        play.cost.lost += left as u32;
        play.cost
    }

    /// Returns whether this instance hears nothing of a server.
    fn is_gone(&self, server: u32) -> bool {
        server == 0 && self.now >= self.died_at
    }

    /// Has the watchers' word of a server come, which is as old as its way is long.
    fn sight(&mut self, server: u32) {
        let seen = self.now.saturating_sub(WATCH_DELAY);
        // The call that was under way at the death fails. A crash breaks its connection.
        let sent_at = self.died_at / WATCH_PERIOD * WATCH_PERIOD;
        let (due_at, timeout) = match self.death {
            Death::Crash => (self.died_at, 0),
            _ => (sent_at + WATCH_WAIT, WATCH_TIMEOUT),
        };
        let dead = server == 0 && self.death != Death::CutOff;
        let failing = dead && seen >= due_at + timeout;
        let answered = if dead { seen.min(self.died_at) } else { seen };
        let sighting = EngineSighting {
            server,
            watcher: 7,
            answered_ago: Some(ms(self.now - answered)),
            failing_for: failing.then(|| ms(self.now - due_at)),
            report: Some((EngineReport::default(), ms(self.now - answered + 300))),
        };
        self.core.record_sightings(&[sighting], ms(self.now));
    }

    /// Does what the router has decided.
    fn obey(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            let RouteAction::Dispatch { request, choice, silence_timeout } = action
            else {
                panic!("refused: {action:?}");
            };
            let period = silence_timeout.map_or(END, |span| span.as_millis() as u64);
            let mut attempt = Attempt {
                server: choice.server,
                sent_at: self.now,
                asks_at: self.now + period,
                period,
                refused_at: None,
                begun: false,
            };
            if self.is_gone(choice.server) {
                self.sends += 1;
                // Every second request finds an open connection.
                let opens = self.sends.is_multiple_of(2);
                attempt.refused_at = match self.death {
                    Death::Crash => Some(self.now),
                    Death::Frozen => None,
                    _ => opens.then_some(self.now + CONNECT_TIMEOUT),
                };
                self.cost.sends += 1;
                self.cost.last_send = self.now - self.died_at;
            }
            self.attempts.insert(request, attempt);
        }
    }

    /// Goes on with a request.
    fn advance(&mut self, request: u64) {
        let Some(attempt) = self.attempts.get(&request).copied() else { return };
        let now = self.now;
        if self.is_gone(attempt.server) {
            if self.death == Death::Crash && attempt.sent_at < self.died_at {
                self.fail(request, RouteFault::Broken);
            } else if attempt.refused_at.is_some_and(|at| now >= at) {
                self.fail(request, RouteFault::Unreachable);
            } else if now >= attempt.asks_at {
                self.ask(request, attempt);
            }
            return;
        }
        let age = now - attempt.sent_at;
        if age >= RESPONSE_SPAN {
            self.attempts.remove(&request);
            let actions = self.core.finish(request, ms(now));
            self.obey(actions);
        } else if age >= FIRST_DATA && (age - FIRST_DATA).is_multiple_of(DATA_PERIOD) {
            self.core.record_response_data(request, ms(now));
            let period = self.stream_patience(request);
            let attempt = self.attempts.get_mut(&request).expect("it is there");
            (attempt.begun, attempt.asks_at) = (true, now + period);
        }
    }

    /// Returns after what silence a stream asks.
    fn stream_patience(&self, request: u64) -> u64 {
        let usual = Duration::from_secs(1);
        self.core.stream_patience(request, usual, ms(self.now)).as_millis() as u64
    }

    /// Asks the router whether a request may be aborted.
    fn ask(&mut self, request: u64, mut attempt: Attempt) {
        if self.core.may_abort_silent(request, attempt.begun, ms(self.now)) {
            self.fail(request, RouteFault::Silent);
            return;
        }
        let begun = attempt.begun;
        let period = if begun { self.stream_patience(request) } else { attempt.period };
        attempt.asks_at = self.now + period;
        self.attempts.insert(request, attempt);
    }

    /// Ends a request at the dead engine.
    fn fail(&mut self, request: u64, fault: RouteFault) {
        let Some(attempt) = self.attempts.remove(&request) else { return };
        let span = self.now - attempt.sent_at.max(self.died_at);
        self.cost.longest = self.cost.longest.max(span);
        self.cost.total += span;
        if attempt.sent_at < self.died_at {
            self.cost.last_leave = self.now - self.died_at;
        }
        let (decision, actions) =
            self.core.fail(request, fault, attempt.begun, ms(self.now));
        self.cost.lost += u32::from(decision == RetryDecision::Stop);
        self.obey(actions);
    }
}

/// Plays a death at all phases. Returns the worst times and the sums of the rest.
fn play_all(death: Death, watched: bool) -> DeathCost {
    DEATHS.into_iter().fold(DeathCost::default(), |sum, died_at| {
        let cost = DeathPlay::run(death, died_at, watched);
        DeathCost {
            sends: sum.sends + cost.sends,
            last_send: sum.last_send.max(cost.last_send),
            last_leave: sum.last_leave.max(cost.last_leave),
            longest: sum.longest.max(cost.longest),
            total: sum.total + cost.total,
            lost: sum.lost + cost.lost,
        }
    })
}

#[test]
fn the_cost_of_a_death_is_bounded() {
    // With watchers, the bounds in milliseconds since the death: of the last send and of the
    // last leave of a request that was there; and by how much waiting may grow. A frozen
    // engine still gets requests of instances with silent streams there until watchers fail.
    let cases = [
        (Death::Crash, 100, 0, 1.0),
        (Death::Dark, 1800, 2000, 1.0),
        (Death::Frozen, 1800, 2000, 1.1),
        (Death::CutOff, 1800, 2000, 1.0),
    ];
    for (death, last_send, last_leave, growth) in cases {
        let before = play_all(death, false);
        let after = play_all(death, true);
        println!("{death:?} without {before:?}\n{death:?} with    {after:?}");
        assert!(after.last_send <= last_send, "{death:?} {after:?}");
        assert!(after.last_leave <= last_leave, "{death:?} {after:?}");
        assert!(
            after.total as f64 <= before.total as f64 * growth,
            "{death:?} {after:?}"
        );
        assert!(after.lost <= before.lost, "{death:?} {after:?} {before:?}");
    }
}
