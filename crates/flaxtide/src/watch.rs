//! The watch thread: it polls the load of the backend servers that this instance watches,
//! and reads the platform's list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::ProxySettings;
use flaxtide_core::ServerId;
use flaxtide_fleet::PeerInfo;
use flaxtide_platform::{
    InstanceList, InstanceRole, InstanceState, ListedInstance, read_whole_body,
};
use flaxtide_policy::{LoadReport, PolicyEvent};
use serde::Deserialize;

use crate::shared::SharedState;

/// How long a server may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest report of a server, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// How often the platform's list is read while few instances share the platform.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Reads of the list that all instances together may make each second.
const LIST_READS: f64 = 60.0;

/// How often the thread looks whether anything is due.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What a backend server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct ServerReport {
    /// How many requests it works on.
    running: u32,
    /// How many requests wait in it.
    waiting: u32,
    /// How many of both have the top tier's priority, if the server tells.
    #[serde(default)]
    urgent: Option<u32>,
    /// How long a step takes, in microseconds.
    #[serde(default)]
    step_us: u64,
    /// How old the report is, in milliseconds.
    #[serde(default)]
    age_ms: u64,
    /// Whether the server is leaving.
    #[serde(default)]
    leaving: bool,
}

/// Runs the watch thread until the instance stops.
pub(crate) fn watch(shared: &Arc<SharedState>) {
    let mut list_due = Duration::ZERO;
    let mut poll_due = Duration::ZERO;
    while !shared.stopped() {
        let now = shared.now();
        if now >= list_due {
            let known = read_list(shared);
            let spread = Duration::from_secs_f64(known as f64 / LIST_READS);
            list_due = now + LIST_PERIOD.max(spread);
        }
        if now >= poll_due {
            poll_due = now + shared.config.load_poll;
            poll_servers(shared);
        }
        std::thread::sleep(POLL_PERIOD);
    }
}

/// Polls every watched server once.
fn poll_servers(shared: &SharedState) {
    let view = shared.view();
    for (server, address) in shared.watched.to_poll(&view) {
        if shared.stopped() {
            return;
        }
        if let Some(report) = ask_load(address) {
            take_report(shared, server, &report);
        }
    }
}

/// Takes in what a server reports, and tells peers at once if it is leaving.
fn take_report(shared: &SharedState, server: ServerId, report: &ServerReport) {
    let age = Duration::from_millis(report.age_ms);
    let load = LoadReport {
        server,
        running: report.running,
        waiting: report.waiting,
        urgent: report.urgent,
        step: Duration::from_micros(report.step_us),
        at: shared.now().saturating_sub(age),
    };
    shared.tell(PolicyEvent::Report(load));
    shared.watched.report_load(load);
    shared.watched.report_leaving(server, report.leaving);
    if tell_leaving(shared, server) {
        shared.hurry_fleet();
    }
}

/// Takes in whether a server is leaving, as its watcher says.
pub(crate) fn take_told(shared: &SharedState, server: ServerId, leaving: bool) {
    shared.watched.report_leaving(server, leaving);
    tell_leaving(shared, server);
}

/// Tells the decision core whether a server is leaving, if that is due. Returns whether it
/// is news.
fn tell_leaving(shared: &SharedState, server: ServerId) -> bool {
    let news = shared.watched.leaving_news(server, shared.now());
    if news.tell {
        shared.tell(PolicyEvent::ServerLeaving { server, leaving: news.leaving });
    }
    news.changed
}

/// Asks a server for its load.
fn ask_load(address: SocketAddr) -> Option<ServerReport> {
    let request = attohttpc::get(format!("http://{address}/load"))
        .connect_timeout(REPORT_TIMEOUT)
        .read_timeout(REPORT_TIMEOUT)
        .timeout(REPORT_TIMEOUT)
        .proxy_settings(ProxySettings::builder().build());
    let body = read_whole_body(request.send().ok()?, MAX_REPORT_BYTES).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Reads the platform's list. Returns how many entry instances it has.
fn read_list(shared: &Arc<SharedState>) -> usize {
    let list = shared.platform.list();
    let result = if list.is_ok() { "ok" } else { "failed" };
    shared
        .metrics
        .platform_calls
        .with_label_values(&["list", result])
        .inc();
    let list = match list {
        Ok(list) => list,
        Err(cause) => {
            log::warn!("the list of instances can't be read: {cause}");
            shared.update_fleet(|node, now| node.set_instance_list(None, now));
            return 0;
        }
    };
    let entries = list.iter().filter(|listed| listed.role == InstanceRole::Entry);
    let entries: Vec<PeerInfo> = entries.map(peer_of).collect();
    let known = entries.len();
    shared.update_fleet(move |node, now| node.set_instance_list(Some(entries), now));
    take_listed(shared, &list);
    known
}

/// Takes in which backend servers the list calls leaving.
fn take_listed(shared: &SharedState, list: &[ListedInstance]) {
    let view = shared.view();
    let leaving = list
        .iter()
        .filter(|listed| listed.role == InstanceRole::Backend)
        .filter(|listed| listed.state == InstanceState::Leaving)
        .filter_map(|listed| view.server(&listed.name));
    let leaving: BTreeSet<ServerId> = leaving.collect();
    let mut changed = false;
    for server in shared.watched.list_leaving(&leaving) {
        changed |= tell_leaving(shared, server);
    }
    if changed {
        shared.hurry_fleet();
    }
}

/// Returns a listed entry instance as a peer.
fn peer_of(listed: &ListedInstance) -> PeerInfo {
    PeerInfo {
        name: listed.name.clone(),
        data_centre: listed.data_centre.clone(),
        address: listed.address,
    }
}
