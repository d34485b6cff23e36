//! The thread that keeps the lease and performs the duties while it has it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxtide_core::{InstanceName, MilliClock};
use flaxtide_fleet::DutyHolder;
use flaxtide_policy::{LeaseRow, LeaseStep, LeaseTiming, LeaseWatch, OrderOutcome};

use super::orders::{OrderDuty, ServiceOrder};
use super::reports::ReportDuty;
use super::shared::SharedDuties;
use crate::config::{DutyConfig, EntryConfig};
use crate::contract::{
    DutyAnswer, DutyCredentials, DutyPlatform, DutyRow, FeedError, UsageReport,
};
use crate::fleet::FleetLink;
use crate::metrics::EntryMetrics;

/// How often the thread checks what is due.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// The pause after a failed call that concerns the lease.
const RETRY_PERIOD: Duration = Duration::from_millis(400);

/// How much longer a lease is than the configured time between two holders: a call of the
/// previous holder may be in flight for that long.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// How many times a lease is renewed within its term.
const RENEWALS_PER_TERM: u32 = 3;

/// Fences have the store's era in their upper bits, so those of a later era are higher
/// than all earlier ones.
const FENCE_ERA_SHIFT: u32 = 32;

/// Keeps the lease and performs the duties.
pub(crate) struct DutyThread {
    /// The name of this instance.
    name: InstanceName,
    /// The address at which this instance listens to its peers.
    address: SocketAddr,
    /// The platform's table, and its calls for the duties.
    platform: Arc<dyn DutyPlatform>,
    /// The state shared with the other threads.
    duties: Arc<SharedDuties>,
    /// The link to the fleet thread, which announces the holder to peers.
    link: FleetLink,
    /// Counts the calls and exports the held fence.
    metrics: Arc<EntryMetrics>,
    /// The enabled duties and their timing.
    config: DutyConfig,
    /// The clock of the lease.
    clock: MilliClock,
    /// Decides when to read and write the lease.
    watch: LeaseWatch,
    /// The era of the store, as last read.
    era: u64,
    /// The era of the store in which the row was written.
    row_era: u64,
    /// When the next call that concerns the lease may be made.
    retry_at: Duration,
    /// The fence under which the duties are held, or `None` if they aren't.
    held_fence: Option<u64>,
    /// The reports of usage.
    reports: ReportDuty,
    /// The orders of servers.
    orders: OrderDuty,
}

impl DutyThread {
    /// Creates a thread that doesn't hold the duties.
    pub(crate) fn new(
        entry: &EntryConfig,
        config: DutyConfig,
        platform: Arc<dyn DutyPlatform>,
        duties: Arc<SharedDuties>,
        link: FleetLink,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        let clock = MilliClock::real();
        let term = config.lease + LEASE_MARGIN;
        let timing = LeaseTiming {
            term,
            poll_period: term / RENEWALS_PER_TERM,
            ..LeaseTiming::default()
        };
        let holder = format!("{} {:08x}", entry.name, rand::random::<u32>());
        Self {
            name: entry.name.clone(),
            address: entry.fleet,
            platform,
            duties,
            link,
            metrics,
            watch: LeaseWatch::new(holder, timing, clock.now()),
            clock,
            era: 0,
            row_era: 0,
            retry_at: Duration::ZERO,
            held_fence: None,
            reports: ReportDuty::new(config.usage_window, config.usage_within),
            orders: OrderDuty::default(),
            config,
        }
    }

    /// Performs the duties for as long as the process runs.
    pub(crate) fn run(mut self) {
        loop {
            thread::sleep(POLL_PERIOD);
            if self.duties.is_stopping() {
                self.watch.release();
            }
            self.run_once();
        }
    }

    /// Keeps the lease and, while it is held, sends due reports and orders.
    fn run_once(&mut self) {
        if self.held_fence.is_none() && !self.duties.is_candidate() {
            return;
        }
        self.keep_lease();
        // The platform checks fences.
        let fence = self.watch.fence(self.clock.now(), true);
        self.update_holding(fence);
        if fence.is_none() {
            return;
        }
        if self.config.has_task(DutyConfig::USAGE) {
            self.send_reports();
            // If the platform doesn't answer, the report may have taken so long that the
            // lease must be renewed now.
            self.keep_lease();
        }
        if self.config.has_task(DutyConfig::SCALING) {
            self.send_orders();
        }
    }

    /// Reads the row, and takes or renews the lease if that is due.
    fn keep_lease(&mut self) {
        let now = self.clock.now();
        if now < self.retry_at {
            return;
        }
        if self.watch.step(now) == LeaseStep::Read && !self.read_lease(now) {
            self.retry_at = self.clock.now() + RETRY_PERIOD;
            return;
        }
        // The decision is based on the time before the read, so the lease counts from
        // then.
        if let LeaseStep::Write { expected, row } = self.watch.step(now) {
            self.write_lease(expected, &row, now);
        }
    }

    /// Reads the row. Returns whether that succeeded.
    fn read_lease(&mut self, now: Duration) -> bool {
        let read = match self.platform.read_row() {
            Ok(read) => read,
            Err(fault) => {
                self.count("lease", "failed");
                log::info!(cause = fault.to_string(); "duty row not read");
                return false;
            }
        };
        self.count("lease", "read");
        self.era = self.era.max(read.era);
        self.watch.record_used_fence(self.era << FENCE_ERA_SHIFT);
        let lease = read.row.as_ref().map(|(row, version)| (row.lease.clone(), *version));
        if let Some((row, _)) = &read.row {
            self.row_era = row.era;
            self.reports.record_row(row);
        }
        self.watch.record_read(lease, now);
        true
    }

    /// Writes the row with a lease. `decided_at` is the time that the decision to write
    /// is based on.
    fn write_lease(
        &mut self,
        expected: Option<u64>,
        lease: &LeaseRow,
        decided_at: Duration,
    ) {
        let mut row = DutyRow {
            lease: lease.clone(),
            address: self.address,
            era: self.era,
            settled: None,
            acknowledged: true,
            owed_from: 0,
            drafts: Default::default(),
        };
        self.reports.fill(&mut row, &self.duties, self.held_fence.is_some());
        let written = self.platform.write_row(expected, &row);
        let version = match written {
            Ok(version) => version,
            Err(fault) => {
                log::info!(cause = fault.to_string(); "write of the duty row not confirmed");
                self.retry_at = self.clock.now() + RETRY_PERIOD;
                None
            }
        };
        self.count("lease", if version.is_some() { "written" } else { "failed" });
        self.watch.record_write(lease, version, decided_at);
        if version.is_some() {
            self.reports.record_row(&row);
        }
        if version.is_some() && lease.released {
            log::info!(fence = lease.fence; "duties released");
        }
    }

    /// Records whether the duties are held, and under which fence.
    fn update_holding(&mut self, fence: Option<u64>) {
        if fence.is_none() && self.watch.is_advancing_fence(self.clock.now()) {
            return;
        }
        if fence == self.held_fence {
            return;
        }
        let (before, now) = (self.held_fence, self.clock.now());
        self.held_fence = fence;
        self.metrics.duty_fence.set(fence.unwrap_or_default() as i64);
        let Some(fence) = fence else {
            self.duties.end_holding();
            log::warn!(fence = before.unwrap_or_default(); "duties lost");
            return;
        };
        if before.is_none() {
            let store_restored = self.row_era < self.era;
            self.reports.begin(&self.duties, store_restored, now);
            self.orders.begin();
        }
        let holder = DutyHolder { fence, address: self.address };
        self.link.announce_duty(holder);
        log::info!(fence, era = self.era; "duties held");
    }

    /// Sends the settled report, or settles the next one.
    fn send_reports(&mut self) {
        let now = self.clock.now();
        if let Some(report) = self.reports.due(now) {
            self.send_report(&report);
            return;
        }
        if self.reports.settle_next(&self.duties, now) {
            self.watch.renew();
            self.keep_lease();
            if let Some(report) = self.reports.due(self.clock.now()) {
                self.send_report(&report);
            }
        }
    }

    /// Sends a report.
    fn send_report(&mut self, report: &UsageReport) {
        let Some(credentials) = self.credentials() else { return };
        let sent = self.platform.report_usage(&credentials, report);
        let now = self.clock.now();
        log::info!(
            window = report.window, fence = credentials.fence, outcome = outcome_text(&sent);
            "usage reported"
        );
        self.count("usage", outcome_text(&sent).as_str());
        match sent {
            Ok(DutyAnswer::Taken) => {
                self.reports.acknowledged = true;
                self.duties.close_window(report.window);
            }
            Ok(DutyAnswer::Refused) => self.watch.record_lost(),
            // If it is applied late, the repeated report still has the same counts.
            Ok(DutyAnswer::Busy) | Err(_) => self.reports.postpone(now),
        }
    }

    /// Sends the orders that are due.
    fn send_orders(&mut self) {
        let now = self.clock.now();
        for order in self.orders.due(&self.duties, now) {
            if !self.send_order(&order) {
                return;
            }
        }
    }

    /// Sends an order. Returns whether further orders may be sent.
    fn send_order(&mut self, order: &ServiceOrder) -> bool {
        let Some(credentials) = self.credentials() else { return false };
        let sent =
            self.platform
                .order_servers(&credentials, &order.service, &order.order);
        let now = self.clock.now();
        log::info!(
            service = order.service, data_centre = order.order.data_centre,
            spot = order.order.spot, count = order.order.count, fence = credentials.fence,
            outcome = outcome_text(&sent);
            "servers ordered"
        );
        self.count("orders", outcome_text(&sent).as_str());
        let outcome = match sent {
            Ok(DutyAnswer::Taken) => OrderOutcome::Accepted,
            // The next write shows whether the lease is lost.
            Ok(DutyAnswer::Refused) => OrderOutcome::Unavailable,
            Ok(DutyAnswer::Busy) | Err(FeedError::Refused { .. }) => {
                OrderOutcome::Refused
            }
            Err(_) => OrderOutcome::Unknown,
        };
        self.orders.record_outcome(order, outcome, now);
        match outcome {
            OrderOutcome::Accepted => true,
            OrderOutcome::Unavailable => {
                self.watch.renew();
                true
            }
            OrderOutcome::Refused => false,
            OrderOutcome::Unknown => {
                // With a higher fence for newer orders, the platform refuses this one if
                // it arrives later.
                self.watch.advance_fence();
                false
            }
        }
    }

    /// Returns the credentials for a call now, or `None` if the lease isn't held.
    fn credentials(&self) -> Option<DutyCredentials> {
        let fence = self.watch.fence(self.clock.now(), true)?;
        Some(DutyCredentials { holder: self.name.clone(), fence })
    }

    /// Counts a call by its topic and result.
    fn count(&self, topic: &str, result: &str) {
        self.metrics.platform_calls.with_label_values(&[topic, result]).inc();
    }
}

/// Returns the outcome of a call as text for log lines and metrics.
fn outcome_text(sent: &Result<DutyAnswer, FeedError>) -> String {
    match sent {
        Ok(answer) => format!("{answer:?}").to_lowercase(),
        Err(_) => "failed".to_owned(),
    }
}
