//! The orders thread: under a lease of its data centre, it has engines load the models that
//! the settings name.
//!
//! Orders are declarative, so giving one twice is harmless, and they carry the fencing
//! number of the lease. Any instance may hold the lease; none is set aside for it.

use std::sync::Arc;
use std::time::Duration;

use attohttpc::ProxySettings;
use flaxtide_platform::read_whole_body;
use flaxtide_policy::{LeaseStep, LeaseTiming, LeaseWatch};
use serde::{Deserialize, Serialize};

use crate::shared::SharedState;
use crate::view::OrderedEngine;

/// How often the thread looks at its lease.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// How often engines are asked what they have loaded.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// The longest answer to that question, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// An order reaches its engine within this time, or not at all. Less than what the lease
/// allows for a delivery.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// An order, and what an engine says it has loaded.
#[derive(Debug, Serialize, Deserialize)]
struct EngineOrder {
    /// The fencing number.
    fence: u64,
    /// The models.
    models: Vec<String>,
}

/// Runs the orders thread until the instance stops.
pub(crate) fn give_orders(shared: &Arc<SharedState>) {
    let config = &shared.config;
    let key = format!("leases/orders/{}", config.data_centre);
    let holder = format!("{} {:08x}", config.name, shared.epoch);
    let mut watch = LeaseWatch::new(holder, LeaseTiming::default(), shared.now());
    let mut due = Duration::ZERO;
    let mut ordered_version = 0;
    while !shared.stopped() {
        std::thread::sleep(POLL_PERIOD);
        let view = shared.view();
        let engines = view.ordered_engines(&config.data_centre);
        // A leaving instance lets its lease run out.
        if engines.is_empty() || shared.leaving() {
            continue;
        }
        keep_lease(shared, &key, &mut watch);
        let now = shared.now();
        if now < due && view.version == ordered_version {
            continue;
        }
        if watch.fence(now, false).is_none() {
            continue;
        }
        due = now + CHECK_PERIOD;
        ordered_version = view.version;
        for engine in &engines {
            check_engine(shared, engine, &watch);
        }
    }
}

/// Looks at the lease, and takes or renews it if that is due.
fn keep_lease(shared: &SharedState, key: &str, watch: &mut LeaseWatch) {
    if watch.step(shared.now()) == LeaseStep::Read {
        let now = shared.now();
        match shared.leases.read(key) {
            Ok(row) => watch.record_read(row, now),
            Err(cause) => {
                log::warn!("the lease for orders can't be read: {cause}");
                return;
            }
        }
        // What is decided is decided for the moment of the look.
        let step = watch.step(now);
        write_lease(shared, key, watch, step, now);
        return;
    }
    let now = shared.now();
    let step = watch.step(now);
    write_lease(shared, key, watch, step, now);
}

/// Writes the lease, if that is the step.
fn write_lease(
    shared: &SharedState,
    key: &str,
    watch: &mut LeaseWatch,
    step: LeaseStep,
    asked: Duration,
) {
    let LeaseStep::Write { expected, row } = step else { return };
    let written = shared.leases.write(key, expected, &row);
    watch.record_write(&row, written.unwrap_or_default(), asked);
}

/// Asks an engine what it has loaded, and orders what the settings name if it is other.
fn check_engine(shared: &SharedState, engine: &OrderedEngine, watch: &LeaseWatch) {
    let url = format!("http://{}/orders", engine.address);
    let request = attohttpc::get(&url)
        .timeout(ORDER_TIMEOUT)
        .proxy_settings(ProxySettings::builder().build());
    let body = request
        .send()
        .and_then(|response| read_whole_body(response, MAX_ANSWER_BYTES));
    let loaded = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
    let Some(loaded): Option<EngineOrder> = loaded else { return };
    if loaded.models == engine.models {
        return;
    }
    // Looked at last: asking the engine has taken time, and the instance may have been
    // frozen meanwhile.
    let Some(fence) = watch.fence(shared.now(), engine.fenced) else { return };
    let order = EngineOrder { fence, models: engine.models.clone() };
    let request = attohttpc::put(&url)
        .timeout(ORDER_TIMEOUT)
        .proxy_settings(ProxySettings::builder().build())
        .json(&order);
    let sent = request.and_then(attohttpc::RequestBuilder::send);
    match sent {
        Ok(response) if response.is_success() => {
            log::info!(engine = engine.address.to_string(), fence = fence; "models ordered");
        }
        Ok(response) => {
            log::warn!("an engine refused an order with {}", response.status());
        }
        Err(cause) => log::warn!("an order may not have arrived: {cause}"),
    }
}
