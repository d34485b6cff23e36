//! Orders to engines come from one holder at a time, also when it is frozen and wakes up.

mod common;

use std::time::Duration;

use common::{FleetShape, TestFleet, wait_for};
use flaxtide_platform::{LeaseStore, PlatformClient};
use flaxtide_standin::{EngineOptions, EngineStandin};
use serde_json::json;

/// Returns the index of the instance that holds the lease.
fn holder(fleet: &TestFleet) -> Option<usize> {
    let client = PlatformClient::new(&fleet.platform.url(), Duration::from_secs(5));
    let store = LeaseStore::new(std::sync::Arc::new(client));
    let (lease, _) = store.read("leases/orders/dc0").unwrap()?;
    let name = lease.holder.split(' ').next()?.to_owned();
    fleet.instances.iter().position(|instance| instance.name == name)
}

#[test]
fn a_frozen_holder_that_wakes_up_gives_no_old_orders() {
    let fleet = TestFleet::start(&FleetShape { engines: 1, ..FleetShape::default() });
    let loose = EngineOptions { checks_fences: false, ..EngineOptions::default() };
    let loose = EngineStandin::start("127.0.0.1:0".parse().unwrap(), loose).unwrap();
    let engine = json!({
        "address": loose.address(), "models": ["m"], "slots": 4, "orders": "unfenced",
    });
    let edits = json!({ "edits": [
        { "path": "data_centres.dc0.engines.loose", "value": engine },
        { "path": "data_centres.dc0.engines.e0.orders", "value": "fenced" },
    ]});
    let (status, answer) = fleet.instances[0].change("/settings/edits", 1, &edits);
    assert_eq!(status, 200, "{answer}");
    let engines = [&fleet.engines[0], &loose];
    let loaded = |engine: &EngineStandin| {
        engine.orders().last().map_or(vec![], |order| order.models.clone())
    };
    wait_for("both engines have their models", || {
        engines.iter().all(|engine| loaded(engine) == ["m"])
    });
    let first = holder(&fleet).unwrap();
    let other = 1 - first;

    // The holder is frozen; the settings change; the other one takes the lease over.
    fleet.instances[first].signal("STOP");
    let edits = json!({ "edits": [
        { "path": "models.n", "value": {} },
        { "path": "data_centres.dc0.engines.e0.models", "value": ["m", "n"] },
        { "path": "data_centres.dc0.engines.loose.models", "value": ["m", "n"] },
    ]});
    let (status, answer) = fleet.instances[other].change("/settings/edits", 2, &edits);
    assert_eq!(status, 200, "{answer}");
    wait_for("both engines have the new models", || {
        engines.iter().all(|engine| loaded(engine) == ["m", "n"])
    });
    assert_eq!(holder(&fleet), Some(other));
    fleet.instances[first].signal("CONT");

    // It finds out that it isn't the holder any more, and follows the settings.
    wait_for("the woken one has the new settings", || {
        let status = fleet.instances[first].status();
        status.is_some_and(|status| status.settings_version == 3)
    });
    let (status, answer) = fleet.instances[first].set(3, "models.m.max_tokens", 9);
    assert_eq!(status, 200, "{answer}");
    for engine in engines {
        let orders = engine.orders();
        let fences: Vec<u64> = orders.iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted() && fences.last() > fences.first(), "{orders:?}");
        assert_eq!(loaded(engine), ["m", "n"], "{orders:?}");
    }
}
