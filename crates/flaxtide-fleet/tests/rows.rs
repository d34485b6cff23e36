//! Questions for rows between real fleet threads over loopback.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use flaxtide_core::MilliClock;
use flaxtide_fleet::{
    FleetCommand, FleetNode, FleetThread, FleetTiming, PeerInfo, RowAnswer, RowChanges,
    RowRequest, RowSource,
};
use tokio::sync::Notify;

/// How long a question waits for changes: longer than any test takes.
const QUESTION_WAIT: Duration = Duration::from_secs(5);

/// A source without changes, which loses its history.
#[derive(Default)]
struct LostHistory {
    asked: AtomicUsize,
    is_lost: AtomicBool,
    is_fresh: AtomicBool,
    changed: Arc<Notify>,
}

impl RowSource for LostHistory {
    fn changes_after(&self, version: u64) -> Option<RowChanges> {
        let is_lost = self.is_lost.load(Ordering::SeqCst);
        self.asked.fetch_add(1, Ordering::SeqCst);
        (!is_lost).then(|| RowChanges { version, rows: vec![] })
    }

    fn has_gap_after(&self, _: u64) -> bool {
        self.is_lost.load(Ordering::SeqCst) && self.is_fresh.load(Ordering::SeqCst)
    }

    fn change_notifier(&self) -> Arc<Notify> {
        self.changed.clone()
    }
}

/// Starts a fleet thread. Returns its address and its commands.
fn start(
    name: &str,
    rows: Option<Arc<LostHistory>>,
) -> (SocketAddr, Sender<FleetCommand>) {
    let own_address = Arc::new(OnceLock::new());
    let (known, name) = (own_address.clone(), name.to_owned());
    let fleet = FleetThread::listen(
        ([127, 0, 0, 1], 0).into(),
        MilliClock::real(),
        |_| {},
        |_| {},
        |_| None,
        move |address| {
            known.set(address).unwrap();
            let info = PeerInfo { name, data_centre: "north".into(), address };
            FleetNode::new(info, 1, FleetTiming::default())
        },
    );
    let fleet = fleet.unwrap();
    if let Some(rows) = rows {
        fleet.set_row_source(rows);
    }
    let (commands, receiver) = bounded(64);
    thread::spawn(move || fleet.run(&receiver));
    (*own_address.get().unwrap(), commands)
}

/// Asks a peer for rows. Returns where the answer arrives.
fn ask(peer: SocketAddr, asker: &Sender<FleetCommand>) -> Receiver<RowAnswer> {
    let (sender, answers) = bounded(1);
    let answer = Box::new(move |answer| sender.send(answer).unwrap());
    let margin = QUESTION_WAIT;
    let request = RowRequest {
        peer,
        after: 7,
        wait: QUESTION_WAIT,
        margin,
        answer,
    };
    asker.send(FleetCommand::AskRows(request)).unwrap();
    answers
}

/// Asks a source, which loses its history while the question waits. Returns the answer.
fn answer_after_loss(is_fresh: bool) -> RowAnswer {
    let source = Arc::new(LostHistory::default());
    source.is_fresh.store(is_fresh, Ordering::SeqCst);
    let (reader, _reader_commands) = start("reader", Some(source.clone()));
    let (_, asker) = start("asker", None);
    let answers = ask(reader, &asker);
    let start = Instant::now();
    while source.asked.load(Ordering::SeqCst) == 0 {
        assert!(start.elapsed() < QUESTION_WAIT, "the question never arrived");
        thread::yield_now();
    }
    source.is_lost.store(true, Ordering::SeqCst);
    source.changed.notify_waiters();
    answers.recv_timeout(3 * QUESTION_WAIT).unwrap()
}

/// A reader finds the history gone while its peers wait for changes. If they don't hear of the
/// gap, they take the platform for failing, and don't call it for a while.
#[test]
fn a_peer_that_waits_hears_of_a_gap() {
    assert_eq!(answer_after_loss(true), RowAnswer::Gap);
}

#[test]
fn a_reader_that_the_platform_does_not_answer_reports_no_gap() {
    assert_eq!(answer_after_loss(false), RowAnswer::Unavailable);
}
