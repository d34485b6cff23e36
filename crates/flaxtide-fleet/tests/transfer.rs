//! Settings that go between real fleet threads over loopback.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use flaxtide_core::MilliClock;
use flaxtide_fleet::{
    FleetEvent, FleetNode, FleetThread, FleetTiming, FleetUpdate, LinkBytes, PeerInfo,
    SettingsCopy,
};
use flaxtide_standin::{NetworkRelay, RelayFault};

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Bytes of the settings.
const SIZE: usize = 2_000_000;

/// Waits for a condition.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        thread::yield_now();
    }
}

/// An instance that has settings, and gives them on. Its peers reach it through a relay.
struct Instance {
    info: PeerInfo,
    relay: NetworkRelay,
    events: Sender<FleetEvent>,
    bytes: LinkBytes,
    version: Arc<AtomicU64>,
}

impl Instance {
    /// Starts an instance that has settings of a version, or none.
    fn start(name: &str, version: u64) -> Self {
        let held = Arc::new(Mutex::new(None));
        if version > 0 {
            let tree = "kavakäik ".repeat(SIZE / 10).into();
            *held.lock().unwrap() = Some(SettingsCopy { version, tree });
        }
        let (taken, given) = (held.clone(), held);
        let (events, ring) = bounded(64);
        let known = Arc::new(AtomicU64::new(version));
        let (told, adopted) = (events.clone(), known.clone());
        let mut info = PeerInfo {
            name: name.to_owned(),
            data_centre: "north".into(),
            address: ([127, 0, 0, 1], 0).into(),
        };
        let mut own = None;
        let fleet = FleetThread::listen(
            info.address,
            MilliClock::real(),
            |_| {},
            move |copy| {
                adopted.store(copy.version, Ordering::SeqCst);
                let version = copy.version;
                *taken.lock().unwrap() = Some(copy);
                let update = FleetUpdate::new(move |node, _| node.set_version(version));
                told.send(FleetEvent::Update(update)).unwrap();
            },
            move |newer_than| {
                let copy = given.lock().unwrap().clone();
                copy.filter(|copy: &SettingsCopy| copy.version > newer_than)
            },
            |address| {
                let relay = NetworkRelay::start(address).unwrap();
                info.address = relay.address();
                own = Some((info.clone(), relay));
                let mut node = FleetNode::new(info, 1, FleetTiming::default());
                node.set_version(version);
                node
            },
        );
        let fleet = fleet.unwrap();
        let bytes = fleet.bytes();
        thread::spawn(move || fleet.run(&ring));
        let (info, relay) = own.unwrap();
        Self { info, relay, events, bytes, version: known }
    }

    /// Has it know a peer.
    fn meet(&self, peer: &Self) {
        let info = peer.info.clone();
        let update = FleetUpdate::new(move |node, _| node.add_peer(info, true));
        self.events.send(FleetEvent::Update(update)).unwrap();
    }

    /// Returns the version that it has.
    fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns the bytes that it has sent.
    fn sent(&self) -> u64 {
        self.bytes.get().1
    }
}

#[test]
fn all_who_ask_one_instance_get_one_copy_each() {
    let provider = Instance::start("provider", 8);
    let requesters: Vec<Instance> = (0..12)
        .map(|number| Instance::start(&format!("requester-{number}"), 0))
        .collect();
    for requester in &requesters {
        requester.meet(&provider);
    }
    wait_until("all have the settings", || {
        requesters.iter().all(|one| one.version() == 8)
    });
    let sent: u64 = requesters.iter().chain([&provider]).map(Instance::sent).sum();
    let copies = sent as f64 / SIZE as f64;
    assert!(copies < requesters.len() as f64 + 1.0, "{copies:.1} copies were sent");
}

#[test]
fn an_instance_out_of_reach_does_not_hold_up_what_another_one_has() {
    let requester = Instance::start("requester", 0);
    let (newest, older) = (Instance::start("newest", 9), Instance::start("older", 8));
    // It is heard, but what it is asked is swallowed.
    newest.relay.set_fault(RelayFault::Drop);
    newest.meet(&requester);
    wait_until("it is heard", || newest.bytes.get().0 > 0);
    requester.meet(&older);
    wait_until("the settings come", || requester.version() == 8);
}

#[test]
fn a_link_that_breaks_in_the_middle_costs_little_more_than_one_copy() {
    let (requester, provider) =
        (Instance::start("requester", 0), Instance::start("provider", 8));
    provider.relay.set_fault(RelayFault::Delay(10));
    requester.meet(&provider);
    for part in 1..=3 {
        wait_until("a part has come", || provider.sent() > part * SIZE as u64 / 5);
        provider.relay.set_fault(RelayFault::Cut);
        wait_until("the link is cut", || provider.relay.open() == 0);
        let cut_at = provider.sent();
        provider.relay.set_fault(RelayFault::Delay(10));
        wait_until("it goes on", || provider.sent() > cut_at + SIZE as u64 / 20);
    }
    wait_until("the settings come", || requester.version() == 8);
    let copies = provider.sent() as f64 / SIZE as f64;
    assert!(copies < 1.5, "{copies:.1} copies were sent");
}

#[test]
fn a_slow_transfer_is_not_begun_beside_itself() {
    let (requester, provider) =
        (Instance::start("requester", 0), Instance::start("provider", 8));
    // 16 KB in 15 ms: two seconds for all, in which the provider is heard many times.
    provider.relay.set_fault(RelayFault::Delay(15));
    requester.meet(&provider);
    wait_until("the settings come", || requester.version() == 8);
    let copies = provider.sent() as f64 / SIZE as f64;
    assert!(copies < 1.5, "{copies:.1} copies were sent");
}

#[test]
fn a_giver_that_falters_costs_nothing_though_others_have_newer_settings() {
    let requester = Instance::start("requester", 0);
    let (provider, newer) = (Instance::start("provider", 8), Instance::start("newer", 9));
    provider.relay.set_fault(RelayFault::Delay(10));
    requester.meet(&provider);
    wait_until("a part has come", || provider.sent() > SIZE as u64 / 3);
    requester.meet(&newer);
    wait_until("the other one is heard", || newer.sent() > 0);
    provider.relay.set_fault(RelayFault::Cut);
    wait_until("the link is cut", || provider.relay.open() == 0);
    provider.relay.set_fault(RelayFault::Delay(1));
    let behind = [&requester, &provider];
    wait_until("the newest settings come", || {
        behind.iter().all(|one| one.version() == 9)
    });
    // What was begun comes once, and the newest settings once for each; the first to have those
    // may give them to the other.
    let sent: u64 = [&requester, &provider, &newer].map(Instance::sent).iter().sum();
    let copies = sent as f64 / SIZE as f64;
    assert!((2.9..3.4).contains(&copies), "{copies:.1} copies were sent");
}
