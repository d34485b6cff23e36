//! Many instances choose among few plain servers. Their calls are short against the time in
//! which instances hear of each other, so that what is heard of others' calls is over, and all
//! who heard the same would go to the same servers.

use std::time::Duration;

use flaxtide_lab::{GossipShape, LoadPattern, LoadReport, play};

/// The seeds of each pattern.
const SEEDS: [u64; 3] = [11, 22, 33];

/// Calls that a server with six slots ends in a second.
const SERVER_RATE: f64 = 100.0;

/// A fleet before its servers.
#[derive(Debug, Clone, Copy)]
struct FleetShape {
    instances: u32,
    data_centres: u32,
    servers: u32,
    gossip: GossipShape,
}

/// A booking service before fleets of three sizes, as deployments have them; heartbeats at
/// the periods that follow from the sizes.
fn fleets() -> [FleetShape; 3] {
    let everybody =
        |period| GossipShape::Everybody { period: Duration::from_millis(period) };
    let groups = GossipShape::Groups {
        period: Duration::from_millis(2100),
        digest_period: Duration::from_millis(1500),
    };
    [
        FleetShape {
            instances: 9,
            data_centres: 4,
            servers: 4,
            gossip: everybody(390),
        },
        FleetShape {
            instances: 58,
            data_centres: 4,
            servers: 6,
            gossip: everybody(2500),
        },
        FleetShape {
            instances: 295,
            data_centres: 6,
            servers: 9,
            gossip: groups,
        },
    ]
}

/// A load on a fleet, as a part of what its servers can do. `skew` of it comes to one instance
/// beyond its even part.
fn booking(fleet: FleetShape, load: f64, skew: f64) -> LoadPattern {
    LoadPattern {
        rate: load * f64::from(fleet.servers) * SERVER_RATE,
        work: Duration::from_millis(60),
        target: Duration::from_millis(300),
        servers: fleet.servers,
        slots: 6,
        queue: 24,
        instances: fleet.instances,
        data_centres: fleet.data_centres,
        skew,
        gossip: fleet.gossip,
        span: Duration::from_secs(20),
    }
}

/// Plays a pattern with each seed, and adds the reports up.
fn play_all(pattern: &LoadPattern) -> LoadReport {
    let mut sum = LoadReport::default();
    for seed in SEEDS {
        let report = play(pattern, seed);
        sum.requests += report.requests;
        sum.arrivals += report.arrivals;
        sum.turned_away += report.turned_away;
        sum.on_time += report.on_time;
        sum.late += report.late;
        sum.lost += report.lost;
    }
    sum
}

/// What one queue before all servers answers in time at the highest of these loads is .99: work
/// is drawn exponentially, and .993 of it takes less than the target. Two in a hundred more are
/// left to chance where nobody knows what the others do.
#[test]
fn calls_meet_their_target_up_to_high_load_at_every_size() {
    for fleet in fleets() {
        for (load, skew) in [(0.3, 0.0), (0.6, 0.0), (0.85, 0.0), (0.85, 0.2)] {
            let report = play_all(&booking(fleet, load, skew));
            let case = format!("{fleet:?} at {load}, skew {skew}: {report:?}");
            assert!(report.on_time_part() > 0.97, "{case}");
            assert!(report.turned_away_part() < 0.005, "{case}");
        }
    }
}

/// Over what servers can do, somebody has to wait or go; half of the calls are answered in time
/// by any size of fleet.
#[test]
fn an_overload_leaves_most_of_what_servers_can_do() {
    for fleet in fleets() {
        let report = play_all(&booking(fleet, 1.1, 0.0));
        assert!(report.on_time_part() > 0.5, "{fleet:?}: {report:?}");
        let answered = report.on_time + report.late;
        assert!(answered as f64 > 0.85 * report.requests as f64, "{fleet:?}: {report:?}");
    }
}
