//! The settings in force, as the decision core needs them.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, ServerId, TierRank};

/// All rules in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// The request classes.
    pub classes: BTreeMap<ClassId, ClassRule>,
    /// The organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationRule>,
    /// The backend servers of this data centre.
    pub servers: BTreeMap<ServerId, ServerRule>,
}

/// The rule for a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRule {
    /// The rank of its tier; 0 is the highest.
    pub tier: TierRank,
    /// How long the first token may take.
    pub first_token: Duration,
    /// How long a request may wait before it is refused.
    pub give_up: Duration,
    /// How long the class may go without a turn while it has waiting work.
    pub starvation_bound: Duration,
    /// The weight among the classes of the tier.
    pub priority: u32,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// The rule for an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// The weight among the organisations of one class.
    pub priority: u32,
    /// How many requests a second over all instances, if limited.
    pub requests_per_second: Option<u32>,
}

/// The rule for a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRule {
    /// The pools that it serves.
    pub pools: Vec<PoolId>,
    /// How many requests it works on at once, for all instances together.
    pub slots: u32,
}
