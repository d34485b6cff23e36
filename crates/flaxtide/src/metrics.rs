//! Metrics for Prometheus.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The metrics of one instance.
pub(crate) struct InstanceMetrics {
    /// Where they are registered. Each instance has its own, as several may share a
    /// process.
    registry: Registry,
    /// Ended requests by class and end.
    pub(crate) requests: IntCounterVec,
    /// Answers by class and whether they met their latency target.
    pub(crate) attainment: IntCounterVec,
    /// Refusals by reason.
    pub(crate) refusals: IntCounterVec,
    /// Tokens of answers that met their latency target.
    pub(crate) good_tokens: IntCounter,
    /// Tokens that nobody received.
    pub(crate) wasted_tokens: IntCounter,
    /// Dispatches after the first of a request.
    pub(crate) retries: IntCounter,
    /// Faults of backend servers, by kind.
    pub(crate) server_faults: IntCounterVec,
    /// Requests that wait, by tier.
    pub(crate) queue: IntGaugeVec,
    /// Requests in the instance.
    pub(crate) open_calls: IntGauge,
    /// Requests that came.
    pub(crate) received: IntCounter,
    /// The settings version in force.
    pub(crate) settings_version: IntGauge,
    /// Peers seen alive in the data centre.
    pub(crate) live_peers: IntGauge,
    /// Bytes on the links to peers, by direction.
    pub(crate) link_bytes: IntGaugeVec,
    /// Calls to the platform, by kind and result.
    pub(crate) platform_calls: IntCounterVec,
    /// Seconds to the first token, by class.
    pub(crate) first_token: HistogramVec,
}

impl InstanceMetrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let first_token = HistogramOpts::new(
            "flaxtide_first_token_seconds",
            "Seconds from arrival to the first token, by class.",
        );
        let metrics = Self {
            requests: counters("requests", "Ended requests.", &["class", "end"]),
            attainment: counters(
                "attainment",
                "Answers by whether they met their latency target.",
                &["class", "met"],
            ),
            refusals: counters("refusals", "Refused requests.", &["reason"]),
            good_tokens: counter(
                "good_tokens",
                "Tokens of answers that met their target.",
            ),
            wasted_tokens: counter("wasted_tokens", "Tokens that nobody received."),
            retries: counter("retries", "Dispatches after the first of a request."),
            server_faults: counters("server_faults", "Faults of servers.", &["fault"]),
            queue: gauges("queue", "Requests that wait.", &["tier"]),
            open_calls: gauge("open_calls", "Requests in the instance."),
            received: counter("received", "Requests that came."),
            settings_version: gauge("settings_version", "The settings version in force."),
            live_peers: gauge("live_peers", "Peers seen alive in the data centre."),
            link_bytes: gauges("link_bytes", "Bytes on links to peers.", &["direction"]),
            platform_calls: counters(
                "platform_calls",
                "Calls to the platform.",
                &["kind", "result"],
            ),
            first_token: HistogramVec::new(first_token, &["class"])
                .expect("the name of a metric is valid"),
            registry,
        };
        metrics.register();
        metrics
    }

    /// Registers every metric.
    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 15] = [
            Box::new(self.requests.clone()),
            Box::new(self.attainment.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.good_tokens.clone()),
            Box::new(self.wasted_tokens.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.server_faults.clone()),
            Box::new(self.queue.clone()),
            Box::new(self.open_calls.clone()),
            Box::new(self.received.clone()),
            Box::new(self.settings_version.clone()),
            Box::new(self.live_peers.clone()),
            Box::new(self.link_bytes.clone()),
            Box::new(self.platform_calls.clone()),
            Box::new(self.first_token.clone()),
        ];
        for collector in collectors {
            self.registry
                .register(collector)
                .expect("each metric has its own name");
        }
    }

    /// Writes all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> String {
        let mut text = vec![];
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            return String::new();
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Makes a counter.
fn counter(name: &str, help: &str) -> IntCounter {
    let name = format!("flaxtide_{name}_total");
    IntCounter::new(name, help).expect("the name of a metric is valid")
}

/// Makes a counter with labels.
fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("flaxtide_{name}_total"), help);
    IntCounterVec::new(opts, labels).expect("the name of a metric is valid")
}

/// Makes a gauge.
fn gauge(name: &str, help: &str) -> IntGauge {
    let name = format!("flaxtide_{name}");
    IntGauge::new(name, help).expect("the name of a metric is valid")
}

/// Makes a gauge with labels.
fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let opts = Opts::new(format!("flaxtide_{name}"), help);
    IntGaugeVec::new(opts, labels).expect("the name of a metric is valid")
}
