//! More connections of callers than an instance has memory for.
//!
//! Seen: processes of small instances ended over their memory limit, three times and more on a
//! sixth of the machines.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/process.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod process;

use std::time::Duration;

use common::caller::request;
use common::server::{SEAL, StandinServer, Step, always, answer, event, stream_head};
use common::store::StandinStore;
use common::{Caller, config, fresh_ip, instance_text, wait_until};

use self::process::ProcessSlot;

/// The memory of the instance, in megabytes.
const MEMORY_MB: u64 = 48;

/// How many callers connect: as many as the file descriptors of the instance allow.
const CALLERS: usize = 2800;

/// The length of the header that each request brings.
const HEADER_BYTES: usize = 12_000;

/// Guards against processes that end over their memory limit because they accept connections
/// up to the number of file descriptors, whatever these take.
#[test]
fn connections_are_accepted_only_as_far_as_there_is_memory() {
    let store = StandinStore::start(fresh_ip());
    store.put_config(&config(1));
    let script = always(|seen| match seen.line.contains("/chat/") {
        true => {
            vec![Step::Write(stream_head(seen)), Step::Write(event(0)), Step::Silence]
        }
        false => vec![Step::Write(answer(seen, 200, SEAL, "right"))],
    });
    let servers: Vec<StandinServer> = (0..4)
        .map(|_| StandinServer::start(fresh_ip(), script.clone()))
        .collect();
    for (place, server) in servers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "pool", server.address, "ready");
    }
    let ip = fresh_ip();
    let text = instance_text(ip, store.address, &[], "");
    let text = text.replace("memory_mb: 260", &format!("memory_mb: {MEMORY_MB}"));
    let slot = ProcessSlot::with_text(env!("CARGO_BIN_EXE_flaxtide").into(), ip, &text);
    slot.start();
    wait_until("ready", || slot.ready());
    let mut callers: Vec<Caller> = vec![];
    let mut most = 0;
    for number in 0..CALLERS {
        let mut caller = slot.open(7000).unwrap();
        let text = request("POST", "/chat/1", &format!("a-{number}"), "");
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        let filler = "x".repeat(HEADER_BYTES);
        caller.send(&format!("{head}\r\nX-Filler: {filler}\r\n\r\n{body}"));
        callers.push(caller);
        if number % 100 == 0 {
            most = most.max(slot.memory_kb());
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    most = most.max(slot.memory_kb());
    assert!(most < MEMORY_MB * 1024, "{most} KB");
    let rejected = slot.metric("flaxtide_entry_rejected_connections_total ");
    assert!(rejected > Some(0), "{rejected:?} were closed unread");
    slot.assert_running();
}
