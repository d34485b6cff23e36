//! A process that stands still while its servers answer: what has come meanwhile is read before
//! anybody is taken to be silent.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/process.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod process;

use std::sync::Arc;
use std::time::Duration;

use common::caller::{Answer, request};
use common::server::{
    SEAL, Script, StandinServer, Step, answer, chunk, event, event_text, stream_head,
};
use common::store::StandinStore;
use common::{config, fresh_ip, wait_until};

use self::process::ProcessSlot;

/// How many callers of each class there are.
const CALLERS: usize = 12;

/// How long a server takes for what it still has to say when the process stops.
const WORK: Duration = Duration::from_millis(300);

/// How long the process stands still: longer than any patience with a silent server.
const STANDSTILL: Duration = Duration::from_millis(2500);

/// A server that begins a stream, and ends it a while later; other answers come as late.
fn slow_script() -> Script {
    Arc::new(|seen, _| {
        if seen.line.contains("/chat/") {
            let first = [Step::Write(stream_head(seen)), Step::Write(event(0))];
            let rest = [Step::Write(event(1)), Step::Write(chunk(""))];
            return first.into_iter().chain([Step::Wait(WORK)]).chain(rest).collect();
        }
        vec![Step::Wait(WORK), Step::Write(answer(seen, 200, SEAL, "right"))]
    })
}

#[test]
fn what_came_while_a_process_stood_still_is_no_silence() {
    let store = StandinStore::start(fresh_ip());
    store.tell_era();
    store.put_config(&config(1));
    let servers: Vec<StandinServer> = (0..3)
        .map(|_| StandinServer::start(fresh_ip(), slow_script()))
        .collect();
    for (place, server) in servers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "pool", server.address, "ready");
    }
    let ip = fresh_ip();
    let program = env!("CARGO_BIN_EXE_flaxtide").into();
    let slot = ProcessSlot::new(program, ip, store.address, &[ip]);
    slot.start();
    wait_until("ready", || slot.ready());
    let arrivals = || servers.iter().map(|server| server.seen().len()).sum::<usize>();

    let callers: Vec<_> = ["chat", "look"]
        .into_iter()
        .flat_map(|class| (0..CALLERS).map(move |number| (class, number)))
        .map(|(class, number)| {
            let mut caller = slot.open(7000).unwrap();
            let attempt = format!("{class}-{number}");
            caller.send(&request("POST", &format!("/{class}/1"), &attempt, ""));
            (class, caller)
        })
        .collect();
    wait_until("all at a server", || arrivals() == 2 * CALLERS);
    slot.freeze(STANDSTILL);
    let answers: Vec<(&str, Answer)> = callers
        .into_iter()
        .map(|(class, mut caller)| (class, caller.answer()))
        .collect();
    for (class, answer) in &answers {
        assert!(answer.status == 200 && answer.whole, "{class}: {answer:?}");
    }
    assert_eq!(arrivals(), 2 * CALLERS, "nothing was sent a second time");
    let chats = answers.iter().filter(|(class, _)| *class == "chat");
    let whole = format!("{}{}", event_text(0), event_text(1));
    assert!(chats.into_iter().all(|(_, answer)| answer.text() == whole));
    // The servers haven't lost their work either.
    assert_eq!(slot.metric("flaxtide_entry_faults_total{fault=\"Silent\"} "), None);
}
