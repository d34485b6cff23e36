//! Inheritance: resolves the values that apply to a class or an organisation, and their source.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::node::{PolicyNode, SettingsTree};
use crate::{ClassName, OrganisationName, TierName, TierRank, format_span};

/// The first-token target if the tree sets none.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(1300);

/// The between-tokens target if the tree sets none.
const DEFAULT_BETWEEN_TOKENS: Duration = Duration::from_millis(67);

/// The starvation bound if the tree sets none.
const DEFAULT_STARVATION_BOUND: Duration = Duration::from_secs(60);

/// The priority if the tree sets none.
const DEFAULT_PRIORITY: u32 = 1;

/// The longest request body, in bytes, if the tree sets no limit.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;

/// The values that apply to a request class, with inheritance resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassProfile {
    /// The class's name.
    pub name: ClassName,
    /// The tier's name.
    pub tier: TierName,
    /// The tier's rank; 0 is the highest.
    pub rank: TierRank,
    /// The target for the time until the first token.
    pub first_token: Duration,
    /// The target for the time between tokens, as an average over an answer.
    pub between_tokens: Duration,
    /// The longest time that a request may wait before it is refused.
    pub give_up: Duration,
    /// The longest time that waiting requests of the class may go without one being dispatched.
    pub starvation_bound: Duration,
    /// The weight among the classes of the tier.
    pub priority: u32,
    /// Whether a request of the class may run more than once.
    pub repeatable: bool,
}

/// The values that apply to an organisation, with inheritance resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationProfile {
    /// The organisation's name.
    pub name: OrganisationName,
    /// The class of requests that name none.
    pub class: Option<ClassName>,
    /// The first-token target of the organisation or its nearest ancestor with one; `None` if
    /// only the class's target applies.
    pub first_token: Option<Duration>,
    /// The weight among the organisations of one class.
    pub priority: u32,
    /// The limit of requests per second over all instances; `None` for no limit.
    pub requests_per_second: Option<u32>,
    /// The longest request body, in bytes.
    pub body_bytes: u64,
}

/// One value that applies to a class or organisation, with the node that sets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The dotted path of the field below the policy, such as `target.first_token`.
    pub field: String,
    /// The value, formatted as in the settings.
    pub value: String,
    /// The path of the node that sets it; `built-in` for a default of the program, or a
    /// `give_up` that follows the first-token target.
    pub source: String,
}

impl SettingsTree {
    /// Resolves the values that apply to a class. Returns `None` if the class doesn't exist,
    /// or neither it nor an ancestor names an existing tier.
    #[must_use]
    pub fn class_profile(&self, name: &str) -> Option<ClassProfile> {
        let chain = self.class_policies(name)?;
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

    /// Resolves the values that apply to an organisation. Returns `None` if it doesn't exist.
    #[must_use]
    pub fn organisation_profile(&self, name: &str) -> Option<OrganisationProfile> {
        let chain = self.organisation_policies(name)?;
        let names = self.organisation_ancestry(name)?;
        let class = names.iter().find_map(|name| self.organisations[*name].class.clone());
        // An organisation's own target and priority come from itself and its ancestors only.
        // The tree's defaults, the last of the chain, already apply through its class.
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

    /// Lists the policy values that the class or organisation at the path `classes.NAME` or
    /// `organisations.NAME` inherits, with their sources. Returns `None` for any other path or
    /// an unknown name.
    ///
    /// For an organisation, the list includes the targets and priority of `defaults`, which
    /// [`organisation_profile`](Self::organisation_profile) doesn't use.
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
            "classes" => self.class_policies(name)?,
            "organisations" => self.organisation_policies(name)?,
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

    /// Returns the names of a class and its ancestors, nearest first; `None` on a cycle or
    /// an unknown name.
    pub(crate) fn class_ancestry(&self, name: &str) -> Option<Vec<&str>> {
        ancestry(name, |name| self.classes.get_key_value(name), |node| &node.parent)
    }

    /// Returns the names of an organisation and its ancestors, nearest first; `None` on a cycle
    /// or an unknown name.
    pub(crate) fn organisation_ancestry(&self, name: &str) -> Option<Vec<&str>> {
        ancestry(name, |name| self.organisations.get_key_value(name), |node| &node.parent)
    }

    /// Returns the policies that apply to a class with their paths, nearest first: its own, its
    /// ancestors', its tier's and the defaults.
    fn class_policies(&self, name: &str) -> Option<Vec<(String, &PolicyNode)>> {
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

    /// Returns the policies that apply to an organisation with their paths, nearest first: its
    /// own, its ancestors' and the defaults.
    fn organisation_policies(&self, name: &str) -> Option<Vec<(String, &PolicyNode)>> {
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

    /// Returns the tier that a class or its nearest ancestor names.
    fn class_tier(&self, name: &str) -> Option<TierName> {
        let names = self.class_ancestry(name)?;
        names.iter().find_map(|name| self.classes[*name].tier.clone())
    }

    /// Returns whether requests of a class may run more than once, which is the default.
    fn class_repeatable(&self, name: &str) -> bool {
        let names = self.class_ancestry(name).unwrap_or_default();
        names
            .iter()
            .find_map(|name| self.classes[*name].repeatable)
            .unwrap_or(true)
    }
}

/// Returns the names of a node and its ancestors, nearest first; `None` on a cycle or an
/// unknown name.
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

/// Finds the nearest value of a field in a chain of policies, with the path of its node.
fn find_nearest<T>(
    chain: &[(String, &PolicyNode)],
    field: impl Fn(&PolicyNode) -> Option<T>,
) -> Option<(T, String)> {
    chain
        .iter()
        .find_map(|(path, node)| field(node).map(|value| (value, path.clone())))
}
