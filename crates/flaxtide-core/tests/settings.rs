//! Tests of the settings tree: inheritance, errors with path, line and remedy, and edits.

use std::time::Duration;

use flaxtide_core::{SettingsEdit, SettingsTree};

const TREE: &str = "
defaults:
  target:
    first_token: 1300ms
tiers:
  interactive:
    rank: 0
    policy:
      target:
        between_tokens: 50ms
  batch:
    rank: 2
classes:
  drafting:
    tier: interactive
    policy:
      priority: 3
  grid-draft:
    parent: drafting
    policy:
      target:
        first_token: 800ms
organisations:
  cinemas:
    class: grid-draft
    policy:
      limits:
        requests_per_second: 9
  arica:
    parent: cinemas
";

/// A class or organisation must use the nearest value, and report the node that sets it.
#[test]
fn children_inherit_from_parents() {
    let tree = SettingsTree::parse(TREE).unwrap();
    let class = tree.class_profile("grid-draft").unwrap();
    assert_eq!(class.first_token, Duration::from_millis(800));
    assert_eq!(class.between_tokens, Duration::from_millis(50));
    assert_eq!(class.priority, 3);
    let organisation = tree.organisation_profile("arica").unwrap();
    assert_eq!(organisation.class.as_deref(), Some("grid-draft"));
    assert_eq!(organisation.requests_per_second, Some(9));
    insta::assert_debug_snapshot!(tree.effective("classes.grid-draft").unwrap());
}

/// Each kind of invalid tree must be refused with its location and a remedy for the operator.
#[test]
fn faults_name_path_line_and_remedy() {
    let hash = format!("sha256:{}", "a".repeat(64));
    let cases = [
        ("unknown field", "tiers:\n  fast: {rnk: 0}\n".to_owned()),
        ("not a span", "defaults:\n  target: {first_token: soon}\n".to_owned()),
        ("same rank", "tiers:\n  a:\n    rank: 0\n  b:\n    rank: 0\n".to_owned()),
        ("cycle", "classes:\n  a:\n    parent: b\n  b:\n    parent: a\n".to_owned()),
        ("unknown parent", "organisations:\n  a:\n    parent: b\n".to_owned()),
        ("no tier", "classes:\n  a: {}\n".to_owned()),
        (
            "impossible target",
            "tiers:\n  a:\n    rank: 0\n    policy:\n      target:\n        first_token: 1ms\n"
                .to_owned(),
        ),
        (
            "give up before the target",
            "tiers:\n  t:\n    rank: 0\nclasses:\n  a:\n    tier: t\n    policy:\n      \
             target: {first_token: 9s, give_up: 1s}\n"
                .to_owned(),
        ),
        ("bare key", "organisations:\n  a:\n    key_hashes: [secret]\n".to_owned()),
        (
            "shared key",
            format!("organisations:\n  a: {{key_hashes: ['{hash}']}}\n  b:\n    key_hashes: ['{hash}']\n"),
        ),
        (
            "unknown model",
            "data_centres:\n  scl:\n    engines:\n      e:\n        address: 127.0.0.1:1\n        \
             models: [m]\n        slots: 1\n"
                .to_owned(),
        ),
        (
            "no slots",
            "services: {s: {}}\ndata_centres:\n  scl:\n    plain_servers:\n      p:\n        \
             address: 127.0.0.1:1\n        service: s\n        slots: 0\n"
                .to_owned(),
        ),
    ];
    let report: Vec<String> = cases
        .iter()
        .map(|(name, text)| {
            let error = SettingsTree::parse(text).unwrap_err();
            format!("{name}: {error}")
        })
        .collect();
    insta::assert_snapshot!(report.join("\n"));
}

/// Edits that lead to an invalid tree must be refused, not applied in part.
#[test]
fn edits_are_checked_and_leave_the_tree_alone_when_refused() {
    let tree = SettingsTree::parse(TREE).unwrap();
    let edit = |path: &str, value: Option<&str>| SettingsEdit {
        path: path.into(),
        value: value.map(|text| text.into()),
    };
    let changed = tree
        .apply(&[edit("classes.grid-draft.policy.target.first_token", Some("900ms"))])
        .unwrap();
    let class = changed.class_profile("grid-draft").unwrap();
    assert_eq!(class.first_token, Duration::from_millis(900));
    let cases = [
        edit("classes.grid-draft.parent", Some("grid-draft")),
        edit("classes.nothing", None),
        edit("tiers.interactive", None),
        edit("classes.grid-draft.colour", Some("red")),
    ];
    let report: Vec<String> = cases
        .iter()
        .map(|edit| tree.apply(std::slice::from_ref(edit)).unwrap_err().to_string())
        .collect();
    insta::assert_snapshot!(report.join("\n"));
}

/// A tree must not lose or change values when it is formatted as YAML and parsed again.
#[test]
fn a_written_tree_reads_back() {
    let tree = SettingsTree::parse(TREE).unwrap();
    assert_eq!(SettingsTree::parse(&tree.to_yaml()).unwrap(), tree);
}
