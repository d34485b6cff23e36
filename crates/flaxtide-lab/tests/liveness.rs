//! Bursts and losses of engines: the routers of an instance group tell busy engines from dead
//! ones.

use std::time::Duration;

use flaxtide_lab::{
    EngineLoss, FleetPattern, FleetReport, LoadBurst, LossKind, StreamShape, play_fleet,
};

/// After how long no instance sends anything to an engine that was lost: a watcher's call
/// that stays unanswered, its time-out, and the way to the peers.
const LOSS_BOUND: Duration = Duration::from_secs(3);

/// How often requests ask whether they may leave a silent engine.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// A burst of long prompts for 9 s, then one of short prompts, before engines of which a
/// quarter is slow. A data centre of 28 instances, all of which hear each other.
fn prompts_in_bursts() -> FleetPattern {
    let long = StreamShape {
        rate: 50.0,
        prompt: 18_000,
        answer: 160,
        target: Duration::from_millis(2500),
        pause: Duration::from_millis(800),
    };
    let short = StreamShape {
        rate: 60.0,
        prompt: 700,
        answer: 200,
        target: Duration::from_millis(400),
        pause: Duration::from_millis(300),
    };
    let seconds = Duration::from_secs;
    FleetPattern {
        instances: 28,
        watch: true,
        engines: 60,
        slots: 16,
        slow: (0.25, 0.55),
        long: (long, LoadBurst { factor: 2.5, span: (seconds(2), seconds(11)) }),
        short: (short, LoadBurst { factor: 2.5, span: (seconds(11), seconds(15)) }),
        loss: None,
        loss_bound: LOSS_BOUND,
        span: seconds(16),
    }
}

/// Plays a pattern with and without watchers.
fn play_both(pattern: &FleetPattern) -> (FleetReport, FleetReport) {
    let watched = play_fleet(pattern, 11);
    let unwatched = play_fleet(&FleetPattern { watch: false, ..*pattern }, 11);
    println!("watched {watched:?}\nunwatched {unwatched:?}");
    (watched, unwatched)
}

#[test]
fn busy_engines_stay_eligible_in_a_burst() {
    let (watched, unwatched) = play_both(&prompts_in_bursts());
    assert!(watched.most_ineligible <= 0.02, "{watched:?}");
    assert!(unwatched.most_ineligible > 0.02, "{unwatched:?}");
    assert!(watched.resent_alive <= unwatched.resent_alive);
}

#[test]
fn busy_engines_stay_eligible_while_most_are_taken_away() {
    let loss = EngineLoss {
        part: 2.0 / 3.0,
        kind: LossKind::Crash,
        span: (Duration::from_secs(4), Duration::from_secs(14)),
    };
    let pattern = FleetPattern {
        engines: 90,
        loss: Some(loss),
        span: Duration::from_secs(18),
        ..prompts_in_bursts()
    };
    let (watched, unwatched) = play_both(&pattern);
    assert!(watched.most_ineligible <= 0.02, "{watched:?}");
    assert!(unwatched.most_ineligible > 0.02, "{unwatched:?}");
    assert_eq!(watched.late_sends, 0, "{watched:?}");
}

#[test]
fn dead_engines_get_nothing_and_busy_ones_stay_eligible() {
    for kind in [LossKind::Crash, LossKind::Dark] {
        let span = (Duration::from_secs(6), Duration::from_secs(60));
        let loss = EngineLoss { part: 0.1, kind, span };
        let pattern = FleetPattern { loss: Some(loss), ..prompts_in_bursts() };
        let (watched, unwatched) = play_both(&pattern);
        assert!(watched.most_ineligible <= 0.02, "{kind:?} {watched:?}");
        assert!(unwatched.most_ineligible > 0.02, "{kind:?} {unwatched:?}");
        assert_eq!(watched.late_sends, 0, "{kind:?} {watched:?}");
        assert!(watched.lost_time <= unwatched.lost_time, "{kind:?}");
        assert!(watched.last_leave <= LOSS_BOUND + WATCH_PERIOD, "{kind:?} {watched:?}");
    }
}
