//! Tests of the contracts with the platform and of the settings store, against the stand-in of
//! `flaxtide-standin` and the faults that it injects.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::SettingsTree;
use flaxtide_platform::{
    AuditRecord, CommitFault, CommitResult, InstanceList, ObjectStore, PlatformClient,
    PlatformError, RowCondition, RowPut, SettingsStore, TableService, TableTransaction,
};
use flaxtide_standin::{PlatformFaults, PlatformStandin};
use serde_json::json;

/// Starts a stand-in of the platform, and creates a client of it.
fn start() -> (PlatformStandin, PlatformClient) {
    let platform = PlatformStandin::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = PlatformClient::new(&platform.url(), Duration::from_millis(500));
    (platform, client)
}

/// Builds a transaction that writes a row if the row has `version`, or doesn't exist for `None`.
fn put(key: &str, version: Option<u64>, value: u64) -> TableTransaction {
    TableTransaction {
        conditions: vec![RowCondition { key: key.into(), version }],
        puts: vec![RowPut { key: key.into(), value: json!(value) }],
    }
}

/// A failed condition must undo its own whole transaction, and none of the others in the call.
#[test]
fn transactions_commit_whole_or_not_at_all_and_apart_from_each_other() {
    let (_platform, client) = start();
    let mut both = put("a", None, 1);
    both.puts.push(RowPut { key: "b".into(), value: json!(2) });
    let results = client.commit(&[both, put("a", None, 9), put("c", None, 3)]).unwrap();
    assert!(matches!(results[0], CommitResult::Committed { .. }));
    let CommitResult::Conflict { rows } = &results[1] else { panic!("{results:?}") };
    assert_eq!(rows[0].as_ref().unwrap().value, json!(1));
    assert!(matches!(results[2], CommitResult::Committed { .. }));
    let keys: Vec<_> = client
        .scan("", "a", 10)
        .unwrap()
        .into_iter()
        .map(|row| row.key)
        .collect();
    assert_eq!(keys, ["b", "c"]);
    // Each write of a row must increase its version.
    let version = client.read("a").unwrap().unwrap().version;
    client.commit(&[put("a", Some(version), 4)]).unwrap();
    assert!(client.read("a").unwrap().unwrap().version > version);
}

/// An error must not claim that a write had no effect if it may have had one: a retry would
/// repeat it.
#[test]
fn faults_say_whether_anything_was_done() {
    let (platform, client) = start();
    let kind = |result: Result<Vec<CommitResult>, PlatformError>| match result {
        Ok(_) => "done",
        Err(PlatformError::NotDone { .. }) => "not done",
        Err(PlatformError::NoAnswer { .. }) => "no answer",
        Err(PlatformError::BadAnswer { .. }) => "bad answer",
    };
    let cases = [
        ("well", PlatformFaults::default(), "done", true),
        ("down", PlatformFaults { down: true, ..Default::default() }, "not done", false),
        (
            "lost answer",
            PlatformFaults { lose_answers: 1, ..Default::default() },
            "no answer",
            true,
        ),
        (
            "too slow",
            PlatformFaults { delay_ms: 1500, ..Default::default() },
            "no answer",
            true,
        ),
        (
            "late",
            PlatformFaults { late_writes: 1, late_ms: 100, ..Default::default() },
            "no answer",
            true,
        ),
    ];
    for (name, faults, expected, takes_effect) in cases {
        platform.set_faults(faults);
        assert_eq!(kind(client.commit(&[put(name, None, 1)])), expected, "{name}");
        platform.set_faults(PlatformFaults::default());
        // A write may take effect after its call has timed out.
        let settled = (0..300).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            client.read(name).unwrap().is_some() || !takes_effect
        });
        assert_eq!(client.read(name).unwrap().is_some(), takes_effect, "{name}");
        assert!(settled, "{name}");
    }
    let unreachable =
        PlatformClient::new("http://127.0.0.1:1", Duration::from_millis(500));
    assert_eq!(kind(unreachable.commit(&[put("x", None, 1)])), "not done");
}

/// Objects must keep any bytes, and an unreachable list must be an error, not an empty list.
#[test]
fn objects_and_the_list_read_back() {
    let (platform, client) = start();
    assert_eq!(client.get("outcomes/1").unwrap(), None);
    client.put("outcomes/1", b"\x00\xff").unwrap();
    assert_eq!(client.get("outcomes/1").unwrap().unwrap(), b"\x00\xff");
    assert!(client.list().unwrap().is_empty());
    platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    assert!(client.list().is_err());
}

/// A retry after a lost answer must not report a conflict with its own commit, and a real
/// conflict must name the operator who committed first.
#[test]
fn settings_versions_resolve_lost_answers_and_name_the_winner() {
    let (platform, client) = start();
    let store = SettingsStore::new(Arc::new(client));
    let tree = SettingsTree::default();
    let record = |version, edit, operator: &str| AuditRecord {
        version,
        edit,
        operator: operator.into(),
        at_unix_ms: 0,
        edits: vec![],
    };
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    assert_eq!(store.commit(0, &tree, &record(1, 11, "ana")).unwrap(), 1);
    let conflict = store.commit(0, &tree, &record(1, 12, "eino"));
    let Err(CommitFault::Conflict { current, between }) = conflict else {
        panic!("{conflict:?}")
    };
    assert_eq!((current, between[0].operator.as_str()), (1, "ana"));
    platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    let refused = store.commit(1, &tree, &record(2, 13, "ana"));
    assert!(matches!(refused, Err(CommitFault::NotDone { .. })), "{refused:?}");
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.head().unwrap().version, 1);
    assert_eq!(store.audit_after(0, 10).unwrap().len(), 1);
}
