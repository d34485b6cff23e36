//! The nodes of the settings tree, in the form in which operators write them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::span;
use crate::{
    ClassName, DataCentreName, ModelName, OrganisationName, RegionName, ServerName,
    TierName, TierRank,
};

/// The whole settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// The values that classes, and the limits of organisations, fall back to.
    #[serde(default, skip_serializing_if = "is_default")]
    pub defaults: PolicyNode,
    /// The service tiers, each with its own rank.
    #[serde(default)]
    pub tiers: BTreeMap<TierName, TierNode>,
    /// The request classes, each in one tier.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, ClassNode>,
    /// The organisations that send requests.
    #[serde(default)]
    pub organisations: BTreeMap<OrganisationName, OrganisationNode>,
    /// The language models that engines serve.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelNode>,
    /// The plain services: HTTP services that aren't language models.
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
    /// The longest time until the first token, or until a plain service's answer.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub first_token: Option<Duration>,
    /// The longest time between tokens, as an average over an answer.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub between_tokens: Option<Duration>,
    /// The longest time that a request may wait before it is refused. Must be at least the
    /// first-token target, which is the default.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub give_up: Option<Duration>,
    /// The longest time that waiting requests of a class may go without one being dispatched.
    #[serde(default, with = "span::optional", skip_serializing_if = "Option::is_none")]
    pub starvation_bound: Option<Duration>,
}

/// Limits of use. An absent value is inherited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitNode {
    /// The limit of requests per second over all instances. By default there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// The longest request body, in bytes. The default is 1 MiB.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
}

/// The values that tiers, classes and organisations can each set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyNode {
    /// The latency targets; absent ones are inherited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub target: TargetNode,
    /// The weight among the classes of one tier, or the organisations of one class: twice the
    /// priority gets twice the share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// The limits of use; absent ones are inherited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub limits: LimitNode,
}

/// A service tier. Requests of a higher tier go before those of a lower one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierNode {
    /// The rank; 0 is the highest.
    pub rank: TierRank,
    /// The values that the tier's classes inherit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
}

/// A request class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassNode {
    /// The tier; inherited from the parent if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<TierName>,
    /// The class that this one inherits from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ClassName>,
    /// The values that the class sets itself.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
    /// Whether a request may run more than once; inherited if absent, and true by default.
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
    /// The hashes of its API keys, as `flaxctl settings hash-key` prints them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<String>,
    /// The class of requests that name none; inherited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// The values that the organisation sets itself.
    #[serde(default, skip_serializing_if = "is_default")]
    pub policy: PolicyNode,
}

/// A language model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelNode {
    /// The largest number of output tokens of an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// A plain service: an HTTP service that isn't a language model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// The class of calls that name none.
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
    /// The region that the data centre belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
    /// The model engines by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub engines: BTreeMap<ServerName, EngineNode>,
    /// The servers of plain services by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub plain_servers: BTreeMap<ServerName, PlainServerNode>,
}

/// A model engine: a backend server that serves language models.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineNode {
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The models that the engine serves.
    pub models: Vec<ModelName>,
    /// The number of requests that the engine processes at once.
    pub slots: u32,
    /// Whether the engine accepts orders to load models, and checks their fencing token.
    #[serde(default)]
    pub orders: OrderMode,
}

/// Whether an engine accepts orders to load models, and checks their fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderMode {
    /// It accepts no orders; something other than flaxtide loads its models.
    #[default]
    None,
    /// It refuses an order with an older fencing token than it has seen.
    Fenced,
    /// It accepts every order and doesn't check the fencing token.
    Unfenced,
}

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServerNode {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The number of calls that the server processes at once.
    pub slots: u32,
}

/// An operator who may use the administration API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorNode {
    /// The hash of the operator's key.
    pub key_hash: String,
    /// The access level; read-only by default.
    #[serde(default)]
    pub access: OperatorAccess,
}

/// The access level of an operator.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorAccess {
    /// The operator may only read.
    #[default]
    Read,
    /// The operator may read and make changes.
    Write,
}

/// Returns whether a node has only default values, so that serialization leaves it out.
fn is_default<T: Default + PartialEq>(node: &T) -> bool {
    *node == T::default()
}
