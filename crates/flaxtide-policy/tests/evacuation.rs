//! The states of many data centres, and complete reads that are older than what is known.

use flaxtide_policy::{EvacuationLog, EvacuationRecord};

/// Returns a record.
fn record(data_centre: u32, version: u64, evacuated: bool) -> EvacuationRecord {
    EvacuationRecord { data_centre, version, evacuated }
}

#[test]
fn a_new_evacuation_displaces_old_ones_that_have_ended() {
    let mut log = EvacuationLog::default();
    for data_centre in 0..300 {
        log.apply(&record(data_centre, u64::from(data_centre) * 2, true));
        if data_centre != 5 {
            log.apply(&record(data_centre, u64::from(data_centre) * 2 + 1, false));
        }
    }
    log.apply(&record(1000, 1000, true));
    assert!(log.is_evacuated(5) && log.is_evacuated(1000));
    assert!(log.records().len() <= 256);
}

#[test]
fn a_complete_read_ends_only_evacuations_that_are_older() {
    let mut log = EvacuationLog::default();
    log.apply(&record(1, 5, true));
    log.apply(&record(2, 9, true));
    assert_eq!(log.apply_snapshot(&[], 7), [record(1, 7, false)]);
    assert!(log.is_evacuated(2));
}
