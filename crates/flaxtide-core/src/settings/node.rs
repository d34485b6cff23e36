//! The nodes of the settings tree, as operators write them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::span;
use crate::{
    ClassName, DataCentreName, ModelName, OrganisationName, RegionName, ServerName,
    TierName, TierRank,
};

/// The whole tree of settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// What every class and organisation inherits in the end.
    #[serde(default, skip_serializing_if = "is_default")]
    pub defaults: PolicyNode,
    /// The service tiers.
    #[serde(default)]
    pub tiers: BTreeMap<TierName, TierNode>,
    /// The request classes.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, ClassNode>,
    /// The organisations.
    #[serde(default)]
    pub organisations: BTreeMap<OrganisationName, OrganisationNode>,
    /// The language models.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelNode>,
    /// The plain services.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceNode>,
    /// The data centres with their backend servers.
    #[serde(default)]
    pub data_centres: BTreeMap<DataCentreName, DataCentreNode>,
    /// The operators who may use the administration API.
    #[serde(default)]
    pub operators: BTreeMap<String, OperatorNode>,
}

/// Latency targets. An absent value is inherited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetNode {
    /// How long the first token, or a plain service's answer, may take.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub first_token: Option<Duration>,
    /// How long each further token may take, on average over an answer.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub between_tokens: Option<Duration>,
    /// How long a request may wait before it is refused, if longer than the target.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub give_up: Option<Duration>,
    /// How long a class with waiting work may go without a turn.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub starvation_bound: Option<Duration>,
}

/// Limits of use. An absent value is inherited; without any there is no limit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitNode {
    /// How many requests a second, over all instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// The longest body, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
}

/// What tiers, classes and organisations have in common.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyNode {
    /// The latency targets.
    #[serde(default, skip_serializing_if = "is_default")]
    pub target: TargetNode,
    /// The weight among siblings of one tier; twice the priority, twice the share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// The limits.
    #[serde(default, skip_serializing_if = "is_default")]
    pub limits: LimitNode,
}

/// A service tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierNode {
    /// The rank; 0 is the highest.
    pub rank: TierRank,
    /// What the tier's classes inherit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
}

/// A request class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassNode {
    /// The tier, if no parent gives it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<TierName>,
    /// The class that this one inherits from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ClassName>,
    /// The class's own values.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
    /// Whether a request may run more than once. True without any word.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationNode {
    /// The organisation that this one inherits from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<OrganisationName>,
    /// Hashes of its API keys, as `flaxctl settings hash-key` prints them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<String>,
    /// The class of a request that names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// The organisation's own values.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
}

/// A language model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelNode {
    /// How many output tokens an answer may have at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// The class of its calls, unless the caller names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// Whether a call may run more than once. GET and HEAD always may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

/// A data centre with its backend servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreNode {
    /// The region that it lies in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
    /// The model engines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub engines: BTreeMap<ServerName, EngineNode>,
    /// The servers of plain services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub plain_servers: BTreeMap<ServerName, PlainServerNode>,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineNode {
    /// Where it listens.
    pub address: SocketAddr,
    /// The models that it serves.
    pub models: Vec<ModelName>,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes orders, and whether it refuses those with an old fencing number.
    #[serde(default)]
    pub orders: OrderMode,
}

/// How an engine takes orders to load models.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderMode {
    /// It takes none: its models are loaded by others.
    #[default]
    None,
    /// It refuses an order with an old fencing number.
    Fenced,
    /// It takes any order.
    Unfenced,
}

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServerNode {
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: String,
    /// How many calls it works on at once.
    pub slots: u32,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorNode {
    /// The hash of the operator's key.
    pub key_hash: String,
    /// What the operator may do.
    #[serde(default)]
    pub access: OperatorAccess,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorAccess {
    /// Look only.
    #[default]
    Read,
    /// Look and change.
    Write,
}

/// Tells whether a node is left out when written.
fn is_default<T: Default + PartialEq>(node: &T) -> bool {
    *node == T::default()
}
