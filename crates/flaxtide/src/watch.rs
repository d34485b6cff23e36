//! The watch thread: it polls the load of backend servers and the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::ProxySettings;
use flaxtide_core::ServerId;
use flaxtide_platform::{InstanceList, InstanceRole, InstanceState, ListedInstance};
use flaxtide_policy::{LoadReport, PolicyEvent};
use serde::Deserialize;

use crate::shared::SharedState;

/// How long a server may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// How often the platform's list is read.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// How often the thread looks whether it is to end.
const STOP_PERIOD: Duration = Duration::from_millis(20);

/// What a backend server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct ServerReport {
    /// How many requests it works on.
    running: u32,
    /// How many requests wait in it.
    waiting: u32,
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
            list_due = now + LIST_PERIOD;
            read_list(shared);
        }
        if now >= poll_due {
            poll_due = now + shared.config.load_poll;
            poll_servers(shared);
        }
        std::thread::sleep(STOP_PERIOD);
    }
}

/// Polls every server of the data centre once.
fn poll_servers(shared: &SharedState) {
    let view = shared.view();
    for (server, entry) in &view.servers {
        if shared.stopped() {
            return;
        }
        let Some(report) = ask_load(entry.address) else { continue };
        take_report(shared, *server, &report);
    }
}

/// Tells the decision core what a server reports.
fn take_report(shared: &SharedState, server: ServerId, report: &ServerReport) {
    let age = Duration::from_millis(report.age_ms);
    shared.tell(PolicyEvent::Report(LoadReport {
        server,
        running: report.running,
        waiting: report.waiting,
        step: Duration::from_micros(report.step_us),
        at: shared.now().saturating_sub(age),
    }));
    if report.leaving {
        shared.tell(PolicyEvent::Leaving { server, leaving: true });
    }
}

/// Asks a server for its load.
fn ask_load(address: SocketAddr) -> Option<ServerReport> {
    let request = attohttpc::get(format!("http://{address}/load"))
        .connect_timeout(REPORT_TIMEOUT)
        .read_timeout(REPORT_TIMEOUT)
        .proxy_settings(ProxySettings::builder().build());
    request.send().ok()?.json().ok()
}

/// Reads the platform's list and takes in which servers are leaving.
fn read_list(shared: &SharedState) {
    let list = match shared.platform.list() {
        Ok(list) => list,
        Err(cause) => {
            log::warn!("the list of instances can't be read: {cause}");
            return;
        }
    };
    for listed in list.iter().filter(|listed| listed.role == InstanceRole::Backend) {
        take_listed(shared, listed);
    }
}

/// Tells the decision core that a listed server is leaving.
fn take_listed(shared: &SharedState, listed: &ListedInstance) {
    if listed.state != InstanceState::Leaving {
        return;
    }
    if let Some(server) = shared.view().server(&listed.name) {
        shared.tell(PolicyEvent::Leaving { server, leaving: true });
    }
}
