//! The evacuation of a data centre that one instance has read reaches all instances, and
//! those that start later, well within the tightest bound.

mod common;

use std::time::Duration;

use common::Fleet;
use flaxtide_policy::EvacuationRecord;

/// The data centre that is evacuated.
const DATA_CENTRE: u32 = 11;

/// What the exchange between instances may take of the 3 s in which an evacuation has to be
/// in force. The rest is for the platform's answer and for requests on their way.
const EXCHANGE_TIME: Duration = Duration::from_millis(1500);

/// Fleet sizes as instances and data centres.
const SIZES: [(usize, usize); 3] = [(9, 4), (63, 4), (300, 6)];

/// Returns a record of a version.
fn record(version: u64, evacuated: bool) -> EvacuationRecord {
    EvacuationRecord { data_centre: DATA_CENTRE, version, evacuated }
}

#[test]
fn an_evacuation_and_its_end_are_known_to_all_in_time() {
    for (instances, data_centres) in SIZES {
        let mut fleet = Fleet::new(instances, data_centres);
        fleet.run(Duration::from_secs(15));
        fleet.read_evacuation(3, record(7, true));
        fleet.run(EXCHANGE_TIME);
        assert_eq!(fleet.count_evacuated(DATA_CENTRE), instances, "of {instances}");
        // An older state that another instance reads late changes nothing.
        fleet.read_evacuation(5, record(6, false));
        fleet.run(EXCHANGE_TIME);
        assert_eq!(fleet.count_evacuated(DATA_CENTRE), instances, "of {instances}");
        fleet.read_evacuation(1, record(9, false));
        fleet.run(EXCHANGE_TIME);
        assert_eq!(fleet.count_evacuated(DATA_CENTRE), 0, "of {instances}");
    }
}

#[test]
fn an_instance_that_starts_learns_of_it_before_it_is_ready() {
    for (instances, data_centres) in SIZES {
        let mut fleet = Fleet::new(instances, data_centres);
        fleet.run(Duration::from_secs(15));
        fleet.read_evacuation(3, record(7, true));
        fleet.run(EXCHANGE_TIME);
        fleet.kill(3);
        fleet.start(instances, 2);
        let at = common::address(instances);
        while !fleet.nodes[&at].has_synced_crashes() {
            fleet.run(common::STEP);
        }
        assert_eq!(fleet.count_evacuated(DATA_CENTRE), instances, "of {instances}");
    }
}

/// Each instance hands its evacuations to its node again and again, as a message between its
/// threads may be lost. That must not be sent to peers again.
#[test]
fn known_evacuations_are_not_sent_again() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(15));
    fleet.read_evacuation(3, record(7, true));
    fleet.run(EXCHANGE_TIME);
    let node = fleet.nodes.get_mut(&common::address(3)).unwrap();
    node.record_evacuations(&[record(7, true)]);
    assert_eq!(node.due_pushback(fleet.now), []);
}
