//! The last instance of a group whose reader and standby are killed.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/process.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod process;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use common::server::{StandinServer, right};
use common::store::{StandinStore, StoreFault};
use common::{config, fresh_ip, instance_text, wait_until};

use self::process::ProcessSlot;

/// The time within which a leaving server must stop getting requests, as the instance file says.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);

/// For how long requests are sent after the server has said that it leaves.
const OBSERVED: Duration = Duration::from_millis(3400);

/// Returns how many of an instance's calls for servers had a result.
fn calls(slot: &ProcessSlot, result: &str) -> u64 {
    let name = format!(
        "flaxtide_entry_platform_calls_total{{result=\"{result}\",topic=\"servers\"}} "
    );
    slot.metric(&name).unwrap_or_default()
}

/// Guards against requests to a server that left while an instance waited after a failed call
/// though nobody was left who could tell it that the platform answers again.
#[test]
fn an_instance_whose_readers_were_killed_hears_of_leaving_servers() {
    let store = StandinStore::start(fresh_ip());
    store.tell_era();
    store.put_config(&config(1));
    let servers = [(); 2].map(|()| StandinServer::start(fresh_ip(), right()));
    for (place, server) in servers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "pool", server.address, "ready");
    }
    let ips: Vec<Ipv4Addr> = (0..3).map(|_| fresh_ip()).collect();
    let slots: Vec<ProcessSlot> = ips
        .iter()
        .map(|ip| {
            let program = env!("CARGO_BIN_EXE_flaxtide").into();
            let shared = "read_alone_below: 2\n";
            let text = instance_text(*ip, store.address, &ips, shared);
            let slot = ProcessSlot::with_text(program, *ip, &text);
            slot.start();
            slot
        })
        .collect();
    wait_until("ready", || slots.iter().all(ProcessSlot::ready));
    let is_told = |slot: &&ProcessSlot| calls(slot, "peer") > 0;
    wait_until("two are told", || slots.iter().filter(is_told).count() == 2);
    let told = slots.iter().find(is_told).unwrap();

    store.misbehave(StoreFault::Status(503));
    let others = slots.iter().filter(|slot| slot.ip != told.ip);
    others.for_each(ProcessSlot::end);
    wait_until("its own call fails", || calls(told, "failed") > 0);
    store.misbehave(StoreFault::None);
    store.put_server("i-0", "pool", servers[0].address, "draining");
    let left = Instant::now();
    let mut sent = 0;
    while left.elapsed() < OBSERVED {
        let mut caller = told.open(7000).unwrap();
        caller.post("/look/1", &format!("a-{sent}"), "");
        sent += 1;
    }
    let arrivals = servers[0].seen().into_iter().filter_map(|seen| seen.came);
    let latest = arrivals.max().map(|came| came.saturating_duration_since(left));
    assert!(latest < Some(LEAVE_WITHIN), "{latest:?} after it said that it leaves");
    assert!(servers[1].seen().len() > sent / 2, "the other one serves");
}
