//! The rules of the decision core, derived from the settings in force.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, ServerId, TierRank};

/// All rules that the decision core uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// The request classes.
    pub classes: BTreeMap<ClassId, ClassRule>,
    /// The organisations with a rule of their own.
    pub organisations: BTreeMap<OrganisationId, OrganisationRule>,
    /// The backend servers of this data centre.
    pub servers: BTreeMap<ServerId, ServerRule>,
}

/// The rule of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRule {
    /// The rank of the tier of the class; 0 is the highest.
    pub tier: TierRank,
    /// The target for the time to first token.
    pub first_token: Duration,
    /// How long a request may wait after its arrival, which gives its expiry. A waiting
    /// request that expires is refused, or given up if it may have run.
    pub give_up: Duration,
    /// How long the class may go without a dispatch while it has waiting requests.
    pub starvation_bound: Duration,
    /// The first-token target is divided by this when requests are ordered: with priority
    /// 2, the head of the class is due after half of its target.
    pub priority: u32,
    /// Whether requests may run more than once.
    pub repeatable: bool,
}

/// The rule of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// The share of the organisation in fair queueing: the work charged for its requests
    /// is divided by this.
    pub priority: u32,
    /// The rate limit over all instances, in requests a second; `None` if there is none.
    pub requests_per_second: Option<u32>,
}

/// The rule of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRule {
    /// The pools that the server belongs to.
    pub pools: Vec<PoolId>,
    /// How many requests the server works on at once, for all instances together.
    pub slots: u32,
}
