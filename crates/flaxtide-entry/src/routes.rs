//! Which class a request belongs to.

use std::collections::HashMap;
use std::rc::Rc;

use flaxtide_core::{ClassId, OrganisationId, TierRank};
use rand::Rng;

use crate::contract::{EntryRules, RequestClass};

/// The rules in force, made quick to look things up in.
#[derive(Debug)]
pub(crate) struct RouteTable {
    /// The rules.
    pub(crate) rules: EntryRules,
    /// The classes of each host, those with longer prefixes first.
    hosts: HashMap<String, Vec<ClassId>>,
}

/// The class of a request, and the rules that it stands in.
#[derive(Debug, Clone)]
pub(crate) struct ClassMatch {
    /// The rules, which stay as they were when the request came.
    table: Rc<RouteTable>,
    /// Which class.
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
    pub(crate) fn new(rules: EntryRules) -> Self {
        let mut hosts: HashMap<String, Vec<ClassId>> = HashMap::new();
        for (index, class) in rules.classes.iter().enumerate() {
            hosts.entry(class.host.clone()).or_default().push(index as ClassId);
        }
        for classes in hosts.values_mut() {
            classes.sort_by_key(|class| {
                std::cmp::Reverse(rules.classes[usize::from(*class)].prefix.len())
            });
        }
        Self { rules, hosts }
    }

    /// Returns the class of the longest prefix that a path begins with.
    pub(crate) fn find(table: &Rc<Self>, host: &str, path: &str) -> Option<ClassMatch> {
        let name = host_name(host).to_ascii_lowercase();
        let classes = table.hosts.get(&name)?;
        let id = classes.iter().copied().find(|class| {
            path.starts_with(&table.rules.classes[usize::from(*class)].prefix)
        })?;
        Some(ClassMatch { table: table.clone(), id })
    }

    /// Tells who holds a key; nothing if nobody does.
    pub(crate) fn identify(&self, key: Option<&str>) -> Option<CallerIdentity> {
        let id = *self.rules.keys.get(key?)?;
        let organisation = self.rules.organisations.get(usize::from(id))?;
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
        &self.table.rules.classes[usize::from(self.id)]
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

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
