//! Matches requests to request classes, callers and tiers.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use flaxtide_core::{ClassId, OrganisationId, RegionName, SettingsVersion, TierRank};
use rand::Rng;

use crate::contract::{
    BackendService, CallerLimits, EntryRules, OrganisationRules, RequestClass,
};
use crate::metrics::GaugeGuard;

/// The rules in force, indexed for look-up.
#[derive(Debug)]
pub(crate) struct RouteTable {
    /// The version of the rules.
    pub(crate) version: SettingsVersion,
    /// The request classes. A request keeps only its class alive, not the table, which is
    /// large and would otherwise stay in memory until the last request under it ends.
    classes: Vec<Rc<RequestClass>>,
    /// The services that serve the classes.
    pub(crate) services: Vec<BackendService>,
    /// The organisations; empty if requests carry no keys.
    organisations: Vec<OrganisationRules>,
    /// The organisation that holds each key.
    keys: HashMap<String, OrganisationId>,
    /// The limits on callers' connections and requests.
    pub(crate) limits: CallerLimits,
    /// The classes of each host, those with longer path prefixes first.
    hosts: HashMap<String, Vec<ClassId>>,
    /// All pairs of a class tier and an organisation tier, most urgent first.
    tier_pairs: Vec<TierPair>,
    /// The tiers of all classes, most urgent first.
    class_tiers: Vec<TierRank>,
    /// Counts the table in the metric `rules_kept` while it is in memory.
    _gauge_guard: GaugeGuard,
}

/// The tier of a class and that of an organisation, ordered by the class first. If an
/// organisation has no tier, that of the class stands in for it.
type TierPair = (TierRank, TierRank);

/// The class that a request matched.
#[derive(Debug, Clone)]
pub(crate) struct ClassMatch {
    /// The class as of when the request arrived.
    class: Rc<RequestClass>,
    /// Its index in the rules.
    pub(crate) id: ClassId,
}

/// The caller, as its key identifies it. All fields are `None` for an anonymous caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct CallerIdentity {
    /// The index of the organisation in the rules.
    pub(crate) organisation: Option<OrganisationId>,
    /// The name of the organisation.
    pub(crate) name: Option<String>,
    /// The tier of the organisation, if it has one.
    pub(crate) tier: Option<TierRank>,
    /// The regions whose servers may get the organisation's requests, or `None` for all.
    pub(crate) regions: Option<Vec<RegionName>>,
}

impl RouteTable {
    /// Builds the table for rules. The guard counts it in the metric `rules_kept`.
    pub(crate) fn new(rules: EntryRules, gauge_guard: GaugeGuard) -> Self {
        let mut hosts: HashMap<String, Vec<ClassId>> = HashMap::new();
        for (index, class) in rules.classes.iter().enumerate() {
            hosts.entry(class.host.clone()).or_default().push(index as ClassId);
        }
        for classes in hosts.values_mut() {
            classes.sort_by_key(|class| {
                std::cmp::Reverse(rules.classes[usize::from(*class)].prefix.len())
            });
        }
        let tier_pairs = sorted_tier_pairs(&rules);
        let class_tiers: BTreeSet<TierRank> =
            rules.classes.iter().map(|class| class.tier).collect();
        Self {
            version: rules.version,
            classes: rules.classes.into_iter().map(Rc::new).collect(),
            services: rules.services,
            organisations: rules.organisations,
            keys: rules.keys,
            limits: rules.limits,
            hosts,
            tier_pairs,
            class_tiers: class_tiers.into_iter().collect(),
            _gauge_guard: gauge_guard,
        }
    }

    /// Returns the tier of a request: the rank of its pair of class tier and organisation tier.
    /// Requests of one class are thus still ordered by organisation.
    pub(crate) fn request_tier(
        &self,
        caller: &CallerIdentity,
        class: &RequestClass,
    ) -> TierRank {
        let pair = (class.tier, caller.tier.unwrap_or(class.tier));
        let idx = self.tier_pairs.binary_search(&pair).unwrap_or(self.tier_pairs.len());
        TierRank::try_from(idx).unwrap_or(TierRank::MAX)
    }

    /// Returns the class of a host whose path prefix is the longest match.
    pub(crate) fn find_class(&self, host: &str, path: &str) -> Option<ClassMatch> {
        let name = host_name(host).to_ascii_lowercase();
        let classes = self.hosts.get(&name)?;
        let id = classes
            .iter()
            .copied()
            .find(|class| path.starts_with(&self.classes[usize::from(*class)].prefix))?;
        Some(ClassMatch { class: self.classes[usize::from(id)].clone(), id })
    }

    /// Returns the urgency of a class: the rank of its tier among those of all classes.
    pub(crate) fn urgency_level(&self, class: &RequestClass) -> u8 {
        let idx = self
            .class_tiers
            .binary_search(&class.tier)
            .unwrap_or(self.class_tiers.len());
        u8::try_from(idx).unwrap_or(u8::MAX)
    }

    /// Identifies a caller by its key. Returns `None` if the class requires a valid key and the
    /// caller has none.
    pub(crate) fn authenticate(
        &self,
        class: &RequestClass,
        key: Option<&str>,
    ) -> Option<CallerIdentity> {
        let allows_anonymous = class.anonymous || self.organisations.is_empty();
        self.find_key_holder(key)
            .or_else(|| allows_anonymous.then(CallerIdentity::default))
    }

    /// Returns the names of the organisations.
    pub(crate) fn organisation_names(&self) -> impl Iterator<Item = &str> {
        self.organisations
            .iter()
            .map(|organisation| organisation.name.as_str())
    }

    /// Returns a service by name.
    pub(crate) fn service(&self, name: &str) -> Option<&BackendService> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns whether the servers of a service are engines.
    pub(crate) fn is_engine(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.engine.is_some())
    }

    /// Returns the holder of a key, or `None` if the key is unknown.
    fn find_key_holder(&self, key: Option<&str>) -> Option<CallerIdentity> {
        let id = *self.keys.get(key?)?;
        let organisation = self.organisations.get(usize::from(id))?;
        Some(CallerIdentity {
            organisation: Some(id),
            name: Some(organisation.name.clone()),
            tier: organisation.tier,
            regions: organisation.regions.clone(),
        })
    }
}

impl ClassMatch {
    /// Returns the class.
    pub(crate) fn class(&self) -> &RequestClass {
        &self.class
    }

    /// Draws the service for a request, by the weights of the class.
    pub(crate) fn draw_service(&self, random: &mut impl Rng) -> Option<&str> {
        let targets = &self.class().targets;
        let total_weight: u32 = targets.iter().map(|target| target.weight).sum();
        if total_weight == 0 {
            return targets.first().map(|target| target.service.as_str());
        }
        let mut remaining = random.random_range(0..total_weight);
        for target in targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }
}

/// Returns all pairs of tiers that requests can have, most urgent first.
fn sorted_tier_pairs(rules: &EntryRules) -> Vec<TierPair> {
    let organisations = rules
        .organisations
        .iter()
        .filter_map(|organisation| organisation.tier);
    let organisations: BTreeSet<TierRank> = organisations.collect();
    let mut pairs = BTreeSet::new();
    for class in &rules.classes {
        pairs.insert((class.tier, class.tier));
        pairs.extend(organisations.iter().map(|tier| (class.tier, *tier)));
    }
    pairs.into_iter().collect()
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
