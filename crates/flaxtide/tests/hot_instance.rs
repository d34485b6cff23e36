//! An instance that gets most new connections of its data centre, and has the processor time for
//! few of them.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/process.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod process;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::caller::request_within;
use common::server::{StandinServer, right};
use common::store::StandinStore;
use common::{config, fresh_ip, wait_until};

use self::process::ProcessSlot;

/// How long the process runs, and then stands still, by turns.
const TURNS: (Duration, Duration) = (Duration::from_millis(6), Duration::from_millis(94));

/// How many callers send requests, each over a new connection.
const CALLERS: usize = 700;

/// How long the callers go on.
const LENGTH: Duration = Duration::from_secs(8);

/// How long a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u32 = 1000;

/// Guards against an instance that reads all that comes, more than its processor manages, and
/// serves little of it in time: three quarters at least are served of what it reads, as callers
/// whose connection is closed unread turn to another instance.
#[test]
fn what_an_overloaded_instance_reads_it_serves() {
    let store = StandinStore::start(fresh_ip());
    store.tell_era();
    store.put_config(&config(1));
    let servers: Vec<StandinServer> =
        (0..8).map(|_| StandinServer::start(fresh_ip(), right())).collect();
    for (place, server) in servers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "pool", server.address, "ready");
    }
    let ip = fresh_ip();
    let program = env!("CARGO_BIN_EXE_flaxtide").into();
    let slot = ProcessSlot::new(program, ip, store.address, &[]);
    slot.start();
    wait_until("ready", || slot.ready());
    let over = AtomicBool::new(false);
    let [served, failed, unread] = [(); 3].map(|()| AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::SeqCst) {
                slot.freeze(TURNS.1);
                thread::sleep(TURNS.0);
            }
        });
        for caller in 0..CALLERS {
            let (slot, over) = (&slot, &over);
            let (served, failed, unread) = (&served, &failed, &unread);
            scope.spawn(move || {
                let mut sent = 0;
                while !over.load(Ordering::SeqCst) {
                    sent += 1;
                    let Some(mut connection) = slot.open(7000) else { continue };
                    let attempt = format!("{caller}-{sent}");
                    let text =
                        request_within(DEADLINE_MS, "POST", "/look/1", &attempt, "");
                    let count = match connection.send(&text).answer().status {
                        200 => served,
                        0 => unread,
                        _ => failed,
                    };
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        thread::sleep(LENGTH);
        over.store(true, Ordering::SeqCst);
    });
    let [served, failed, unread] =
        [served, failed, unread].map(|count| count.load(Ordering::SeqCst));
    let counts = format!("{served} served, {failed} failed, {unread} unread");
    assert!(unread > 0, "it is overloaded: {counts}");
    assert!(served * 4 >= (served + failed) * 3, "{counts}");
}
