//! The record of recent decisions: why each request was served, delayed or refused.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::{FailureReason, RequestId, TierRank, format_request_id};
use flaxtide_policy::ChoiceRule;
use serde::{Deserialize, Serialize};

/// How many requests are remembered; at 170 a second, about the last minute.
const KEPT_RECORDS: usize = 10_000;

/// The most steps that are kept for one request.
const KEPT_STEPS: usize = 32;

/// What is remembered of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request's id.
    pub request_id: String,
    /// Its organisation.
    pub organisation: String,
    /// Its class.
    pub class: String,
    /// The rank of its tier; 0 is the highest.
    pub tier: TierRank,
    /// The model or service that it asks for.
    pub target: String,
    /// When it came, on the instance's clock, in milliseconds.
    pub arrived_ms: u64,
    /// What happened to it, in order.
    pub steps: Vec<DecisionStep>,
}

/// One thing that happened to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionStep {
    /// When, in milliseconds after the request came.
    pub after_ms: u64,
    /// What.
    #[serde(flatten)]
    pub kind: StepKind,
}

/// The kinds of things that happen to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StepKind {
    /// It waits.
    Queued {
        /// How many requests are before it, about.
        place: usize,
        /// How long it will wait, about, in milliseconds.
        predicted_ms: u64,
    },
    /// It was sent to a backend server.
    Dispatched {
        /// The server.
        server: String,
        /// The rule that chose it.
        rule: String,
        /// The load that it was taken to have, in requests for each slot.
        load: f64,
        /// The best server that was passed over.
        runner_up: Option<String>,
        /// That server's load.
        runner_up_load: Option<f64>,
        /// How many servers had a free slot.
        eligible: usize,
        /// Which attempt it is.
        attempt: u8,
        /// The tier whose priority it was given.
        priority: TierRank,
    },
    /// The right to run it was claimed in the platform's table.
    Claimed,
    /// Its first token came.
    FirstToken,
    /// The server failed it.
    ServerFailed {
        /// How.
        fault: String,
        /// How many tokens had been passed on.
        passed_on: u32,
    },
    /// Its answer is whole.
    Answered {
        /// How many tokens it has.
        tokens: u32,
        /// Whether it met its latency target.
        met_target: bool,
    },
    /// It was refused: it hasn't run.
    Refused {
        /// Why.
        reason: FailureReason,
        /// When the caller is to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// It failed: it may have run.
    Failed {
        /// Why.
        reason: FailureReason,
    },
    /// Its recorded answer was given again.
    Replayed,
    /// Its caller has gone.
    CallerGone,
}

/// The records of recent requests.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    /// The records.
    records: Mutex<LogRecords>,
}

/// Records with the order in which they came.
#[derive(Debug, Default)]
struct LogRecords {
    /// The records by request.
    by_request: HashMap<RequestId, DecisionRecord>,
    /// The requests, oldest first.
    order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Starts the record of a request.
    pub(crate) fn open(&self, request: RequestId, record: DecisionRecord) {
        let mut records = self.lock();
        if records.order.len() >= KEPT_RECORDS
            && let Some(oldest) = records.order.pop_front()
        {
            records.by_request.remove(&oldest);
        }
        records.order.push_back(request);
        records.by_request.insert(request, record);
    }

    /// Adds a step to the record of a request.
    pub(crate) fn add(&self, request: RequestId, now: Duration, kind: StepKind) {
        let mut records = self.lock();
        let Some(record) = records.by_request.get_mut(&request) else { return };
        if record.steps.len() >= KEPT_STEPS {
            return;
        }
        let after_ms = (now.as_millis() as u64).saturating_sub(record.arrived_ms);
        record.steps.push(DecisionStep { after_ms, kind });
    }

    /// Returns the record of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<DecisionRecord> {
        self.lock().by_request.get(&request).cloned()
    }

    /// Returns the newest records, newest first.
    pub(crate) fn newest(&self, count: usize) -> Vec<DecisionRecord> {
        let records = self.lock();
        let newest = records.order.iter().rev().take(count);
        newest
            .filter_map(|request| records.by_request.get(request).cloned())
            .collect()
    }

    /// Locks the records. A panic elsewhere doesn't spoil them.
    fn lock(&self) -> MutexGuard<'_, LogRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DecisionRecord {
    /// Starts a record.
    pub(crate) fn new(
        request: RequestId,
        organisation: &str,
        class: &str,
        tier: TierRank,
        target: &str,
        now: Duration,
    ) -> Self {
        Self {
            request_id: format_request_id(request),
            organisation: organisation.to_owned(),
            class: class.to_owned(),
            tier,
            target: target.to_owned(),
            arrived_ms: now.as_millis() as u64,
            steps: vec![],
        }
    }
}

/// Returns the name of a choice's rule.
pub(crate) fn rule_name(rule: ChoiceRule) -> &'static str {
    match rule {
        ChoiceRule::Affinity => "prefix affinity",
        ChoiceRule::Sampled => "least loaded of a sample",
        ChoiceRule::Only => "only server with a free slot",
    }
}
