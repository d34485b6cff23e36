//! Transfer of settings between real fleet threads over loopback.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use flaxtide_core::MilliClock;
use flaxtide_fleet::{
    FleetCommand, FleetNode, FleetThread, FleetTiming, FleetUpdate, LinkBytes, PeerInfo,
    SettingsCopy,
};
use flaxtide_standin::{NetworkRelay, RelayFault};

/// How long a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The size of the settings in bytes.
const SETTINGS_BYTES: usize = 2_000_000;

/// Waits for a condition.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        thread::yield_now();
    }
}

/// An instance that fetches settings and provides them to others. Its peers reach it through a
/// relay.
struct Instance {
    info: PeerInfo,
    relay: NetworkRelay,
    events: Sender<FleetCommand>,
    bytes: LinkBytes,
    version: Arc<AtomicU64>,
}

impl Instance {
    /// Starts an instance that has settings of a version, or none if it is 0.
    fn start(name: &str, version: u64) -> Self {
        let current = Arc::new(Mutex::new(None));
        if version > 0 {
            let tree = "kavakäik ".repeat(SETTINGS_BYTES / 10).into();
            *current.lock().unwrap() = Some(SettingsCopy { version, tree });
        }
        let (adopted_copy, served_copy) = (current.clone(), current);
        let (events, receiver) = bounded(64);
        let current_version = Arc::new(AtomicU64::new(version));
        let (own_events, adopted_version) = (events.clone(), current_version.clone());
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
                adopted_version.store(copy.version, Ordering::SeqCst);
                let version = copy.version;
                *adopted_copy.lock().unwrap() = Some(copy);
                let update = FleetUpdate::new(move |node, _| node.set_version(version));
                own_events.send(FleetCommand::Update(update)).unwrap();
            },
            move |newer_than| {
                let copy = served_copy.lock().unwrap().clone();
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
        thread::spawn(move || fleet.run(&receiver));
        let (info, relay) = own.unwrap();
        Self {
            info,
            relay,
            events,
            bytes,
            version: current_version,
        }
    }

    /// Makes a peer known to the instance.
    fn add_peer(&self, peer: &Self) {
        let info = peer.info.clone();
        let update = FleetUpdate::new(move |node, _| node.add_peer(info, true));
        self.events.send(FleetCommand::Update(update)).unwrap();
    }

    /// Returns the instance's version in force.
    fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns how many bytes the instance has sent.
    fn sent(&self) -> u64 {
        self.bytes.get().1
    }
}

/// Guards against parallel fetches, which filled links with copies of the same settings.
#[test]
fn requesters_of_one_instance_get_one_copy_each() {
    let provider = Instance::start("provider", 8);
    let requesters: Vec<Instance> = (0..12)
        .map(|number| Instance::start(&format!("requester-{number}"), 0))
        .collect();
    for requester in &requesters {
        requester.add_peer(&provider);
    }
    wait_until("all have the settings", || {
        requesters.iter().all(|instance| instance.version() == 8)
    });
    let sent: u64 = requesters.iter().chain([&provider]).map(Instance::sent).sum();
    let copies = sent as f64 / SETTINGS_BYTES as f64;
    assert!(copies < requesters.len() as f64 + 1.0, "{copies:.1} copies were sent");
}

#[test]
fn an_unreachable_instance_does_not_hold_up_settings_of_another() {
    let requester = Instance::start("requester", 0);
    let (newest, older) = (Instance::start("newest", 9), Instance::start("older", 8));
    // The heartbeats of `newest` pass, but what is sent to it is dropped.
    newest.relay.set_fault(RelayFault::Drop);
    newest.add_peer(&requester);
    wait_until("the requester has sent a reply", || newest.bytes.get().0 > 0);
    requester.add_peer(&older);
    wait_until("the settings arrive", || requester.version() == 8);
}

/// Guards against a transfer that starts over after a broken link and sends most of the settings
/// again.
#[test]
fn a_breaking_link_costs_little_more_than_one_copy() {
    let (requester, provider) =
        (Instance::start("requester", 0), Instance::start("provider", 8));
    provider.relay.set_fault(RelayFault::Delay(10));
    requester.add_peer(&provider);
    for count in 1..=3 {
        wait_until("a part has arrived", || {
            provider.sent() > count * SETTINGS_BYTES as u64 / 5
        });
        provider.relay.set_fault(RelayFault::Cut);
        wait_until("the link is cut", || provider.relay.open() == 0);
        let sent_before_cut = provider.sent();
        provider.relay.set_fault(RelayFault::Delay(10));
        wait_until("the transfer resumes", || {
            provider.sent() > sent_before_cut + SETTINGS_BYTES as u64 / 20
        });
    }
    wait_until("the settings arrive", || requester.version() == 8);
    let copies = provider.sent() as f64 / SETTINGS_BYTES as f64;
    assert!(copies < 1.5, "{copies:.1} copies were sent");
}

/// Guards against a fetch for each announcement of the provider while one is in progress.
#[test]
fn a_slow_transfer_is_not_started_twice() {
    let (requester, provider) =
        (Instance::start("requester", 0), Instance::start("provider", 8));
    // 16 KB in 15 ms: the transfer takes two seconds, in which the provider announces its
    // version many times.
    provider.relay.set_fault(RelayFault::Delay(15));
    requester.add_peer(&provider);
    wait_until("the settings arrive", || requester.version() == 8);
    let copies = provider.sent() as f64 / SETTINGS_BYTES as f64;
    assert!(copies < 1.5, "{copies:.1} copies were sent");
}

/// Guards against a requester that drops its pieces when another peer has newer settings.
#[test]
fn an_interrupted_transfer_is_resumed_although_others_have_newer_settings() {
    let requester = Instance::start("requester", 0);
    let (provider, newer) = (Instance::start("provider", 8), Instance::start("newer", 9));
    provider.relay.set_fault(RelayFault::Delay(10));
    requester.add_peer(&provider);
    wait_until("a part has arrived", || provider.sent() > SETTINGS_BYTES as u64 / 3);
    requester.add_peer(&newer);
    wait_until("the newer provider has sent a message", || newer.sent() > 0);
    provider.relay.set_fault(RelayFault::Cut);
    wait_until("the link is cut", || provider.relay.open() == 0);
    provider.relay.set_fault(RelayFault::Delay(1));
    let behind = [&requester, &provider];
    wait_until("the newest settings arrive", || {
        behind.iter().all(|instance| instance.version() == 9)
    });
    // The version being received is sent once, and the newest settings once to each of the two;
    // the first to get them may send them on to the other.
    let sent: u64 = [&requester, &provider, &newer].map(Instance::sent).iter().sum();
    let copies = sent as f64 / SETTINGS_BYTES as f64;
    assert!((2.9..3.4).contains(&copies), "{copies:.1} copies were sent");
}
