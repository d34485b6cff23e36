//! Metrics for Prometheus.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::threads::EndedThreads;

/// The upper bounds of the latency buckets in seconds, dense around the targets of classes.
const LATENCY_BUCKETS: [f64; 11] =
    [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// The metrics of an instance.
pub(crate) struct EntryMetrics {
    /// The registry of all metrics.
    registry: Registry,
    /// Ended requests, by outcome.
    pub(crate) ends: IntCounterVec,
    /// Complete responses that missed their target, by cause.
    pub(crate) late: IntCounterVec,
    /// Requests sent to servers, by the reason for the choice of the server.
    pub(crate) dispatches: IntCounterVec,
    /// Faults of servers, by kind.
    pub(crate) faults: IntCounterVec,
    /// Connections used for requests, by whether they were new.
    pub(crate) connections: IntCounterVec,
    /// Calls to the platform, by topic and result.
    pub(crate) platform_calls: IntCounterVec,
    /// Whether each dependency answers: 1 or 0.
    pub(crate) dependencies: IntGaugeVec,
    /// Requests in progress.
    pub(crate) open_calls: IntGauge,
    /// The version of the rules in force.
    pub(crate) rules_version: IntGauge,
    /// Whether requests are refused because the rules are overdue: 1 or 0.
    pub(crate) rules_overdue: IntGauge,
    /// Versions of the rules in memory.
    pub(crate) rules_kept: IntGauge,
    /// Copies of the rules exchanged with peers, by whether they were received or sent.
    pub(crate) rules_copies: IntCounterVec,
    /// Bytes exchanged with peers, by direction.
    pub(crate) peer_bytes: IntGaugeVec,
    /// Servers that may be used.
    pub(crate) servers: IntGauge,
    /// Servers that restarted under the same name.
    pub(crate) servers_started_again: IntCounter,
    /// Clock jumps.
    pub(crate) time_jumps: IntCounter,
    /// The era of the platform's store as of the last read.
    pub(crate) store_era: IntGauge,
    /// Rows of servers that couldn't be parsed.
    pub(crate) rows_ignored: IntCounter,
    /// Servers that push back, by whether they state a rate, ask for backoff or are cold.
    pub(crate) pushback: IntGaugeVec,
    /// Data centres whose servers get no requests because they are evacuated.
    pub(crate) evacuated_data_centres: IntGauge,
    /// Responses whose stated rate couldn't be parsed.
    pub(crate) statements_ignored: IntCounter,
    /// Response bodies that ended with their connection, by whether they were whole.
    pub(crate) unframed_ends: IntCounterVec,
    /// Parts of streams whose events can't follow the ones before, by kind of fault.
    pub(crate) order_faults: IntCounterVec,
    /// Streams that callers took up again, by how their version was found.
    pub(crate) resumed_streams: IntCounterVec,
    /// Streams whose version is noted.
    pub(crate) version_notes: IntGauge,
    /// Notes of streams that aren't in the platform's table yet.
    pub(crate) unwritten_version_notes: IntGauge,
    /// Streams whose first events waited for their note, by whether it was written in time.
    pub(crate) awaited_notes: IntCounterVec,
    /// Servers that exited while they ran a request of this instance.
    pub(crate) crashes: IntCounter,
    /// Requests suspected of crashing servers.
    pub(crate) suspected: IntGauge,
    /// Quarantined requests, which are sent to no server.
    pub(crate) quarantined: IntGauge,
    /// The fencing token under which this instance holds the duties; 0 if it doesn't.
    pub(crate) duty_fence: IntGauge,
    /// Live instances, as this one sees them.
    pub(crate) instances: IntGauge,
    /// Bytes reserved for bodies, by whether these are requests or responses.
    pub(crate) body_bytes: IntGaugeVec,
    /// Connections closed because their callers read nothing.
    pub(crate) stalled_readers: IntCounter,
    /// Responses that were too long.
    pub(crate) long_responses: IntCounter,
    /// Connections that were closed unread for lack of memory or processor time.
    pub(crate) rejected_connections: IntCounter,
    /// Engines that this instance watches, by whether they answer.
    pub(crate) watched_engines: IntGaugeVec,
    /// Calls to watched engines, by call and outcome.
    pub(crate) watch_calls: IntCounterVec,
    /// Services whose servers this instance hardly reaches: 1 while its path is in doubt.
    pub(crate) doubtful_paths: IntGaugeVec,
    /// Services of whose slots this instance has no share: 1 while peers get its requests.
    pub(crate) lacking_shares: IntGaugeVec,
    /// Requests in progress that peers have forwarded.
    pub(crate) carried_calls: IntGauge,
    /// Threads and tasks that have ended.
    pub(crate) threads: EndedThreads,
    /// Seconds to the first event of a stream, or to a whole response.
    pub(crate) latency: Histogram,
}

/// Counts one item in a gauge until it is dropped.
#[derive(Debug)]
pub(crate) struct GaugeGuard(IntGauge);

impl GaugeGuard {
    /// Increments the gauge.
    pub(crate) fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let latency = HistogramOpts::new(
            "flaxtide_entry_latency_seconds",
            "Seconds to the first event of a stream, or to an answer.",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            ends: counters("ends", "Ended requests.", &["end"]),
            late: counters("late", "Whole answers that missed their target.", &["cause"]),
            dispatches: counters("dispatches", "Requests sent to servers.", &["reason"]),
            faults: counters("faults", "Faults of servers.", &["fault"]),
            connections: counters("connections", "Connections used.", &["kind"]),
            platform_calls: counters(
                "platform_calls",
                "Calls to the platform.",
                &["topic", "result"],
            ),
            dependencies: gauges("dependency_up", "1 while it answers.", &["dependency"]),
            open_calls: gauge("open_calls", "Requests in the instance."),
            rules_version: gauge("rules_version", "The version of the rules in force."),
            rules_overdue: gauge(
                "rules_overdue",
                "Whether requests are refused as the rules are outdated: 1 or 0.",
            ),
            rules_kept: gauge("rules_kept", "Versions of the rules in memory."),
            rules_copies: counters("rules_copies", "Rules from and to peers.", &["side"]),
            peer_bytes: gauges("peer_bytes", "Bytes from and to peers.", &["direction"]),
            servers: gauge("servers", "Servers that may be used."),
            servers_started_again: counter(
                "servers_started_again",
                "Servers that started again under their name.",
            ),
            time_jumps: counter("time_jumps", "Suspensions and freezes."),
            store_era: gauge("store_era", "How often the store came back from a copy."),
            rows_ignored: counter("rows_ignored", "Rows of servers not understood."),
            pushback: gauges(
                "servers_pushing_back",
                "Servers that state a rate, want nothing for a while, are cold, or refuse few requests.",
                &["kind"],
            ),
            evacuated_data_centres: gauge(
                "evacuated_data_centres",
                "Data centres that are evacuated.",
            ),
            statements_ignored: counter(
                "statements_ignored",
                "Answers with a stated rate that isn't understood.",
            ),
            unframed_ends: counters(
                "unframed_ends",
                "Bodies of servers that ended with their connection.",
                &["outcome"],
            ),
            order_faults: counters(
                "order_faults",
                "Parts of streams whose events can't follow the ones before.",
                &["kind"],
            ),
            resumed_streams: counters(
                "resumed_streams",
                "Streams that callers took up again, by how their version was found.",
                &["source"],
            ),
            version_notes: gauge("version_notes", "Streams whose version is noted."),
            awaited_notes: counters(
                "awaited_notes",
                "Streams whose first events waited for their note, by outcome.",
                &["outcome"],
            ),
            unwritten_version_notes: gauge(
                "unwritten_version_notes",
                "Noted streams that aren't in the platform's table yet.",
            ),
            crashes: counter("server_crashes", "Servers that ended under a request."),
            suspected: gauge("suspected_requests", "Requests that ran on such servers."),
            quarantined: gauge("quarantined_requests", "Requests sent to no server."),
            duty_fence: gauge(
                "duty_fence",
                "The fencing number under which this instance holds the duties; 0 without.",
            ),
            instances: gauge("instances", "Instances seen alive."),
            body_bytes: gauges("body_bytes", "Memory reserved for bodies.", &["kind"]),
            rejected_connections: counter(
                "rejected_connections",
                "Connections closed unread for lack of memory or processor time.",
            ),
            long_responses: counter(
                "long_responses",
                "Responses that were longer than the memory for them allows.",
            ),
            stalled_readers: counter(
                "stalled_readers",
                "Connections of callers that read nothing.",
            ),
            watched_engines: gauges("watched_engines", "Engines watched.", &["kind"]),
            watch_calls: counters(
                "watch_calls",
                "Calls to watched engines.",
                &["call", "outcome"],
            ),
            doubtful_paths: gauges(
                "doubtful_paths",
                "1 while most servers of the service can't be reached.",
                &["service"],
            ),
            lacking_shares: gauges(
                "lacking_shares",
                "1 while other instances have all slots of servers that can refuse few requests.",
                &["service"],
            ),
            carried_calls: gauge("carried_calls", "Requests that peers forwarded."),
            threads: EndedThreads::new(gauges(
                "ended_threads",
                "1 for threads that have ended. The instance isn't ready then.",
                &["thread"],
            )),
            latency: Histogram::with_opts(latency)
                .expect("the name of a metric is valid"),
        };
        metrics.register();
        metrics
    }

    /// Adds every metric to the registry.
    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 43] = [
            Box::new(self.ends.clone()),
            Box::new(self.late.clone()),
            Box::new(self.dispatches.clone()),
            Box::new(self.faults.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.platform_calls.clone()),
            Box::new(self.dependencies.clone()),
            Box::new(self.open_calls.clone()),
            Box::new(self.rules_version.clone()),
            Box::new(self.rules_overdue.clone()),
            Box::new(self.rules_kept.clone()),
            Box::new(self.rules_copies.clone()),
            Box::new(self.peer_bytes.clone()),
            Box::new(self.servers.clone()),
            Box::new(self.servers_started_again.clone()),
            Box::new(self.time_jumps.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.rows_ignored.clone()),
            Box::new(self.pushback.clone()),
            Box::new(self.evacuated_data_centres.clone()),
            Box::new(self.statements_ignored.clone()),
            Box::new(self.unframed_ends.clone()),
            Box::new(self.order_faults.clone()),
            Box::new(self.resumed_streams.clone()),
            Box::new(self.version_notes.clone()),
            Box::new(self.unwritten_version_notes.clone()),
            Box::new(self.awaited_notes.clone()),
            Box::new(self.crashes.clone()),
            Box::new(self.suspected.clone()),
            Box::new(self.quarantined.clone()),
            Box::new(self.duty_fence.clone()),
            Box::new(self.instances.clone()),
            Box::new(self.body_bytes.clone()),
            Box::new(self.stalled_readers.clone()),
            Box::new(self.long_responses.clone()),
            Box::new(self.rejected_connections.clone()),
            Box::new(self.watched_engines.clone()),
            Box::new(self.watch_calls.clone()),
            Box::new(self.doubtful_paths.clone()),
            Box::new(self.lacking_shares.clone()),
            Box::new(self.carried_calls.clone()),
            Box::new(self.threads.gauge().clone()),
            Box::new(self.latency.clone()),
        ];
        for collector in collectors {
            self.registry
                .register(collector)
                .expect("each metric has its own name");
        }
    }

    /// Encodes all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = vec![];
        let families = self.registry.gather();
        if let Err(cause) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!(cause = cause.to_string(); "failed to encode metrics");
        }
        text
    }
}

/// Creates a counter.
fn counter(name: &str, help: &str) -> IntCounter {
    let name = format!("flaxtide_entry_{name}_total");
    IntCounter::new(name, help).expect("the name of a metric is valid")
}

/// Creates a counter with labels.
fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("flaxtide_entry_{name}_total"), help);
    IntCounterVec::new(opts, labels).expect("the name of a metric is valid")
}

/// Creates a gauge.
fn gauge(name: &str, help: &str) -> IntGauge {
    let name = format!("flaxtide_entry_{name}");
    IntGauge::new(name, help).expect("the name of a metric is valid")
}

/// Creates a gauge with labels.
fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let opts = Opts::new(format!("flaxtide_entry_{name}"), help);
    IntGaugeVec::new(opts, labels).expect("the name of a metric is valid")
}
