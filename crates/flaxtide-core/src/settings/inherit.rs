//! Inheritance: what is in force for a class or an organisation, and where it comes from.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::node::{PolicyNode, SettingsTree};
use crate::{ClassName, OrganisationName, TierName, TierRank, format_span};

/// The first-token target where the tree names none.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(1300);

/// The between-tokens target where the tree names none.
const DEFAULT_BETWEEN_TOKENS: Duration = Duration::from_millis(67);

/// How long a class may go without a turn where the tree names nothing.
const DEFAULT_STARVATION_BOUND: Duration = Duration::from_secs(60);

/// The weight where the tree names none.
const DEFAULT_PRIORITY: u32 = 1;

/// The longest body where the tree names none, in bytes.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;

/// What is in force for a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassProfile {
    /// The class's name.
    pub name: ClassName,
    /// The tier's name.
    pub tier: TierName,
    /// The tier's rank; 0 is the highest.
    pub rank: TierRank,
    /// How long the first token may take.
    pub first_token: Duration,
    /// How long each further token may take on average.
    pub between_tokens: Duration,
    /// How long a request may wait before it is refused.
    pub give_up: Duration,
    /// How long the class may go without a turn while it has waiting work.
    pub starvation_bound: Duration,
    /// The weight within the tier.
    pub priority: u32,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// What is in force for an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationProfile {
    /// The organisation's name.
    pub name: OrganisationName,
    /// The class of a request that names none.
    pub class: Option<ClassName>,
    /// A first-token target of the organisation's own.
    pub first_token: Option<Duration>,
    /// The weight among organisations of one class.
    pub priority: u32,
    /// How many requests a second over all instances, if limited.
    pub requests_per_second: Option<u32>,
    /// The longest body, in bytes.
    pub body_bytes: u64,
}

/// One value in force, with the node that it comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The field's name.
    pub field: String,
    /// The value, as the tree would spell it.
    pub value: String,
    /// The path of the node that gives it; `built-in` if none does.
    pub source: String,
}

impl SettingsTree {
    /// Resolves what is in force for a class; nothing if there is no such class, or its
    /// chain of parents names no tier.
    #[must_use]
    pub fn class_profile(&self, name: &str) -> Option<ClassProfile> {
        let chain = self.class_chain(name)?;
        let tier = self.class_tier(name)?;
        let rank = self.tiers.get(&tier)?.rank;
        let first_token = find_nearest(&chain, |node| node.target.first_token);
        let first_token = first_token.map_or(DEFAULT_FIRST_TOKEN, |found| found.0);
        let between = find_nearest(&chain, |node| node.target.between_tokens);
        let give_up = find_nearest(&chain, |node| node.target.give_up);
        let bound = find_nearest(&chain, |node| node.target.starvation_bound);
        let priority = find_nearest(&chain, |node| node.priority);
        Some(ClassProfile {
            name: name.to_owned(),
            tier,
            rank,
            first_token,
            between_tokens: between.map_or(DEFAULT_BETWEEN_TOKENS, |found| found.0),
            give_up: give_up.map_or(first_token, |found| found.0),
            starvation_bound: bound.map_or(DEFAULT_STARVATION_BOUND, |found| found.0),
            priority: priority.map_or(DEFAULT_PRIORITY, |found| found.0),
            repeatable: self.class_repeatable(name),
        })
    }

    /// Resolves what is in force for an organisation.
    #[must_use]
    pub fn organisation_profile(&self, name: &str) -> Option<OrganisationProfile> {
        let chain = self.organisation_chain(name)?;
        let names = self.organisation_ancestry(name)?;
        let class = names.iter().find_map(|name| self.organisations[*name].class.clone());
        // A class's targets already end in the tree's defaults; an organisation's own
        // target is only what its line of parents says.
        let own_chain = &chain[..chain.len() - 1];
        let priority = find_nearest(own_chain, |node| node.priority);
        let rate = find_nearest(&chain, |node| node.limits.requests_per_second);
        let body = find_nearest(&chain, |node| node.limits.body_bytes);
        Some(OrganisationProfile {
            name: name.to_owned(),
            class,
            first_token: find_nearest(own_chain, |node| node.target.first_token)
                .map(|found| found.0),
            priority: priority.map_or(DEFAULT_PRIORITY, |found| found.0),
            requests_per_second: rate.map(|found| found.0),
            body_bytes: body.map_or(DEFAULT_BODY_BYTES, |found| found.0),
        })
    }

    /// Lists each value in force at `classes.NAME` or `organisations.NAME`, and the node
    /// that it comes from. Nothing if the path names neither.
    ///
    /// ```
    /// use flaxtide_core::SettingsTree;
    /// let tree = SettingsTree::parse("
    /// tiers: {fast: {rank: 0, policy: {target: {first_token: 900ms}}}}
    /// classes: {draft: {tier: fast}}
    /// ").unwrap();
    /// let values = tree.effective("classes.draft").unwrap();
    /// assert_eq!(values[0].value, "900ms");
    /// assert_eq!(values[0].source, "tiers.fast");
    /// ```
    #[must_use]
    pub fn effective(&self, path: &str) -> Option<Vec<EffectiveValue>> {
        let (section, name) = path.split_once('.')?;
        let chain = match section {
            "classes" => self.class_chain(name)?,
            "organisations" => self.organisation_chain(name)?,
            _ => return None,
        };
        let span = |field: &str, found: Option<(Duration, String)>, built_in| {
            let found = found.unwrap_or((built_in, "built-in".into()));
            let value = format_span(found.0);
            EffectiveValue { field: field.into(), value, source: found.1 }
        };
        let count = |field: &str, found: Option<(u64, String)>, built_in: &str| {
            let found = found.map(|found| (found.0.to_string(), found.1));
            let found = found.unwrap_or((built_in.into(), "built-in".into()));
            EffectiveValue {
                field: field.into(),
                value: found.0,
                source: found.1,
            }
        };
        let first = find_nearest(&chain, |node| node.target.first_token);
        let inherited = first.clone().map_or(DEFAULT_FIRST_TOKEN, |found| found.0);
        let between = find_nearest(&chain, |node| node.target.between_tokens);
        let give_up = find_nearest(&chain, |node| node.target.give_up);
        let bound = find_nearest(&chain, |node| node.target.starvation_bound);
        let priority = find_nearest(&chain, |node| node.priority.map(u64::from));
        let rate =
            find_nearest(&chain, |node| node.limits.requests_per_second.map(u64::from));
        let body = find_nearest(&chain, |node| node.limits.body_bytes);
        Some(vec![
            span("target.first_token", first, DEFAULT_FIRST_TOKEN),
            span("target.between_tokens", between, DEFAULT_BETWEEN_TOKENS),
            span("target.give_up", give_up, inherited),
            span("target.starvation_bound", bound, DEFAULT_STARVATION_BOUND),
            count("priority", priority, &DEFAULT_PRIORITY.to_string()),
            count("limits.requests_per_second", rate, "unlimited"),
            count("limits.body_bytes", body, &DEFAULT_BODY_BYTES.to_string()),
        ])
    }

    /// Returns the names from a class up through its parents; nothing on a cycle or an
    /// unknown name.
    pub(crate) fn class_ancestry(&self, name: &str) -> Option<Vec<&str>> {
        ancestry(name, |name| self.classes.get_key_value(name), |node| &node.parent)
    }

    /// Returns the names from an organisation up through its parents.
    pub(crate) fn organisation_ancestry(&self, name: &str) -> Option<Vec<&str>> {
        ancestry(name, |name| self.organisations.get_key_value(name), |node| &node.parent)
    }

    /// Returns the policies that a class inherits from, nearest first.
    fn class_chain(&self, name: &str) -> Option<Vec<(String, &PolicyNode)>> {
        let names = self.class_ancestry(name)?;
        let mut chain: Vec<_> = names
            .iter()
            .map(|name| (format!("classes.{name}"), &self.classes[*name].policy))
            .collect();
        if let Some(tier) = self.class_tier(name) {
            let node = self.tiers.get(&tier)?;
            chain.push((format!("tiers.{tier}"), &node.policy));
        }
        chain.push(("defaults".into(), &self.defaults));
        Some(chain)
    }

    /// Returns the policies that an organisation inherits from, nearest first.
    fn organisation_chain(&self, name: &str) -> Option<Vec<(String, &PolicyNode)>> {
        let names = self.organisation_ancestry(name)?;
        let mut chain: Vec<_> = names
            .iter()
            .map(|name| {
                (format!("organisations.{name}"), &self.organisations[*name].policy)
            })
            .collect();
        chain.push(("defaults".into(), &self.defaults));
        Some(chain)
    }

    /// Returns the tier that a class or its nearest parent names.
    fn class_tier(&self, name: &str) -> Option<TierName> {
        let names = self.class_ancestry(name)?;
        names.iter().find_map(|name| self.classes[*name].tier.clone())
    }

    /// Tells whether a class's requests may run more than once.
    fn class_repeatable(&self, name: &str) -> bool {
        let names = self.class_ancestry(name).unwrap_or_default();
        names
            .iter()
            .find_map(|name| self.classes[*name].repeatable)
            .unwrap_or(true)
    }
}

/// Walks from a node up through its parents; nothing on a cycle or an unknown name.
fn ancestry<'a, Node: 'a>(
    name: &str,
    get: impl Fn(&str) -> Option<(&'a String, &'a Node)>,
    parent: impl Fn(&'a Node) -> &'a Option<String>,
) -> Option<Vec<&'a str>> {
    let mut names: Vec<&'a str> = vec![];
    let mut next = Some(name.to_owned());
    while let Some(name) = next {
        let (name, node) = get(&name)?;
        if names.contains(&name.as_str()) {
            return None;
        }
        names.push(name);
        next = parent(node).clone();
    }
    Some(names)
}

/// Finds the nearest value in a chain, with the path of its node.
fn find_nearest<T>(
    chain: &[(String, &PolicyNode)],
    field: impl Fn(&PolicyNode) -> Option<T>,
) -> Option<(T, String)> {
    chain
        .iter()
        .find_map(|(path, node)| field(node).map(|value| (value, path.clone())))
}
