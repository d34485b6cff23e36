//! Which class a request belongs to.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use flaxtide_core::{ClassId, OrganisationId, SettingsVersion, TierRank};
use rand::Rng;

use crate::contract::{
    BackendService, CallerLimits, EntryRules, OrganisationRules, RequestClass,
};
use crate::metrics::GaugeGuard;

/// The rules in force, made quick to look things up in.
#[derive(Debug)]
pub(crate) struct RouteTable {
    /// The version of the rules.
    pub(crate) version: SettingsVersion,
    /// The request classes. Requests hold theirs, and nothing else of the table: it is
    /// large, and isn't to stay in memory as long as the last request that came under it.
    classes: Vec<Rc<RequestClass>>,
    /// The services behind them.
    pub(crate) services: Vec<BackendService>,
    /// The organisations; empty where requests carry no keys.
    organisations: Vec<OrganisationRules>,
    /// Which organisation holds a key.
    keys: HashMap<String, OrganisationId>,
    /// What callers may send.
    pub(crate) limits: CallerLimits,
    /// The classes of each host, those with longer prefixes first.
    hosts: HashMap<String, Vec<ClassId>>,
    /// The pairs of a class's tier and an organisation's, most urgent first.
    ranks: Vec<TierPair>,
    /// The tiers of all classes, most urgent first.
    levels: Vec<TierRank>,
    /// Counts it while it is in memory.
    _kept: GaugeGuard,
}

/// The tier of a class, which goes first, and that of an organisation. Where an
/// organisation has none, the class's stands in for it.
type TierPair = (TierRank, TierRank);

/// The class of a request.
#[derive(Debug, Clone)]
pub(crate) struct ClassMatch {
    /// The class, which stays as it was when the request came.
    class: Rc<RequestClass>,
    /// Its number in the rules.
    pub(crate) id: ClassId,
}

/// Who sends a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct CallerIdentity {
    /// The organisation.
    pub(crate) organisation: Option<OrganisationId>,
    /// Its name.
    pub(crate) name: Option<String>,
    /// Its tier.
    pub(crate) tier: Option<TierRank>,
}

impl RouteTable {
    /// Makes a table of rules.
    pub(crate) fn new(rules: EntryRules, kept: GaugeGuard) -> Self {
        let mut hosts: HashMap<String, Vec<ClassId>> = HashMap::new();
        for (index, class) in rules.classes.iter().enumerate() {
            hosts.entry(class.host.clone()).or_default().push(index as ClassId);
        }
        for classes in hosts.values_mut() {
            classes.sort_by_key(|class| {
                std::cmp::Reverse(rules.classes[usize::from(*class)].prefix.len())
            });
        }
        let ranks = rank_tiers(&rules);
        let levels: BTreeSet<TierRank> =
            rules.classes.iter().map(|class| class.tier).collect();
        Self {
            version: rules.version,
            classes: rules.classes.into_iter().map(Rc::new).collect(),
            services: rules.services,
            organisations: rules.organisations,
            keys: rules.keys,
            limits: rules.limits,
            hosts,
            ranks,
            levels: levels.into_iter().collect(),
            _kept: kept,
        }
    }

    /// Returns the tier of a request: its place among all pairs of a class's tier and an
    /// organisation's. Requests of one class are still told apart by organisation.
    pub(crate) fn tier(&self, caller: &CallerIdentity, class: &RequestClass) -> TierRank {
        let pair = (class.tier, caller.tier.unwrap_or(class.tier));
        let place = self.ranks.binary_search(&pair).unwrap_or(self.ranks.len());
        TierRank::try_from(place).unwrap_or(TierRank::MAX)
    }

    /// Returns the class of the longest prefix that a path begins with.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<ClassMatch> {
        let name = host_name(host).to_ascii_lowercase();
        let classes = self.hosts.get(&name)?;
        let id = classes
            .iter()
            .copied()
            .find(|class| path.starts_with(&self.classes[usize::from(*class)].prefix))?;
        Some(ClassMatch { class: self.classes[usize::from(id)].clone(), id })
    }

    /// Returns how urgent a class is: its place among the tiers of all classes.
    pub(crate) fn level(&self, class: &RequestClass) -> u8 {
        let place = self.levels.binary_search(&class.tier).unwrap_or(self.levels.len());
        u8::try_from(place).unwrap_or(u8::MAX)
    }

    /// Tells who a caller is by its key; nothing if the class wants a key that is in force.
    pub(crate) fn admit(
        &self,
        class: &RequestClass,
        key: Option<&str>,
    ) -> Option<CallerIdentity> {
        let open = class.anonymous || self.organisations.is_empty();
        self.identify(key).or_else(|| open.then(CallerIdentity::default))
    }

    /// Returns the names of the organisations.
    pub(crate) fn organisation_names(&self) -> impl Iterator<Item = &str> {
        self.organisations.iter().map(|known| known.name.as_str())
    }

    /// Tells whether the servers of a service are engines.
    pub(crate) fn is_engine(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|known| known.name == service && known.engine.is_some())
    }

    /// Tells who holds a key; nothing if nobody does.
    fn identify(&self, key: Option<&str>) -> Option<CallerIdentity> {
        let id = *self.keys.get(key?)?;
        let organisation = self.organisations.get(usize::from(id))?;
        Some(CallerIdentity {
            organisation: Some(id),
            name: Some(organisation.name.clone()),
            tier: organisation.tier,
        })
    }
}

impl ClassMatch {
    /// Returns the class.
    pub(crate) fn class(&self) -> &RequestClass {
        &self.class
    }

    /// Draws the service that gets a request, by the weights of the class.
    pub(crate) fn draw_service(&self, random: &mut impl Rng) -> Option<&str> {
        let targets = &self.class().targets;
        let all: u32 = targets.iter().map(|target| target.weight).sum();
        if all == 0 {
            return targets.first().map(|target| target.service.as_str());
        }
        let mut drawn = random.random_range(0..all);
        for target in targets {
            if drawn < target.weight {
                return Some(&target.service);
            }
            drawn -= target.weight;
        }
        None
    }
}

/// Returns all pairs of tiers that requests can have, most urgent first.
fn rank_tiers(rules: &EntryRules) -> Vec<TierPair> {
    let organisations = rules.organisations.iter().filter_map(|known| known.tier);
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
