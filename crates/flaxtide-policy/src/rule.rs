//! The settings in force, in the form that the decision core needs.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, ServerId, TierRank};

/// All settings that the decision core uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// The request classes.
    pub classes: BTreeMap<ClassId, ClassRule>,
    /// The organisations with settings of their own.
    pub organisations: BTreeMap<OrganisationId, OrganisationRule>,
    /// The backend servers of this data centre.
    pub servers: BTreeMap<ServerId, ServerRule>,
}

/// The settings of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRule {
    /// The rank of the tier of the class; 0 is the highest.
    pub tier: TierRank,
    /// The target for the time to first token.
    pub first_token: Duration,
    /// How long a request may wait before it is refused.
    pub give_up: Duration,
    /// How long the class may go without a dispatch while it has waiting requests.
    pub starvation_bound: Duration,
    /// The weight of the class among those of its tier.
    pub priority: u32,
    /// Whether requests may run more than once.
    pub repeatable: bool,
}

/// The settings of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// The weight of the organisation among those with requests of the same class.
    pub priority: u32,
    /// The rate limit over all instances, in requests a second; `None` if there is none.
    pub requests_per_second: Option<u32>,
}

/// The settings of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRule {
    /// The pools that the server belongs to.
    pub pools: Vec<PoolId>,
    /// How many requests the server works on at once, for all instances together.
    pub slots: u32,
}
