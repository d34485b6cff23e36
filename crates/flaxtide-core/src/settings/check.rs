//! Validation of a settings tree before it is accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::error::SettingsError;
use super::locate::locate;
use super::node::{PolicyNode, SettingsTree};

/// The shortest first-token target. No engine answers faster, so a shorter one is taken for a
/// typing error.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(5);

/// The shortest between-tokens target: the shortest step, in which an engine generates one
/// token, that users give for an engine.
const MIN_BETWEEN_TOKENS: Duration = Duration::from_millis(1);

impl SettingsTree {
    /// Parses and checks a tree from YAML.
    ///
    /// ```
    /// use flaxtide_core::SettingsTree;
    /// let error = SettingsTree::parse("tiers:\n  fast: {rnk: 0}\n").unwrap_err();
    /// assert!(error.to_string().starts_with("line 2"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the first error that is found, with its path or line and a remedy.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let tree: Self = serde_saphyr::from_str(text).map_err(|cause| {
            let line = cause.location().map_or(0, |location| location.line() as usize);
            SettingsError::Syntax { line, message: strip_position(&cause.to_string()) }
        })?;
        tree.check(text)?;
        Ok(tree)
    }

    /// Formats the tree as YAML.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).unwrap_or_default()
    }

    /// Checks the values and the references between nodes, which deserialization doesn't.
    /// Line numbers are looked up in `text`, which may be empty.
    pub(crate) fn check(&self, text: &str) -> Result<(), SettingsError> {
        let checker = Checker { tree: self, text };
        checker.check_tiers()?;
        checker.check_classes()?;
        checker.check_organisations()?;
        checker.check_services()?;
        checker.check_servers()?;
        checker.check_policy("defaults", &self.defaults)
    }
}

/// Checks a tree, and looks up line numbers in the text that it was parsed from.
struct Checker<'a> {
    /// The tree to check.
    tree: &'a SettingsTree,
    /// The YAML text of the tree; empty if there is none, as after an edit.
    text: &'a str,
}

impl Checker<'_> {
    /// Checks that tiers have different ranks, and checks their policies.
    fn check_tiers(&self) -> Result<(), SettingsError> {
        let mut ranks = BTreeMap::new();
        for (name, node) in &self.tree.tiers {
            let path = format!("tiers.{name}");
            if let Some(other) = ranks.insert(node.rank, name) {
                let message =
                    format!("rank {} is also that of tier `{other}`", node.rank);
                return self.value_error(
                    &path,
                    &message,
                    "give each tier a rank of its own",
                );
            }
            self.check_policy(&format!("{path}.policy"), &node.policy)?;
        }
        Ok(())
    }

    /// Checks parents, tiers and policies of classes.
    fn check_classes(&self) -> Result<(), SettingsError> {
        for (name, node) in &self.tree.classes {
            let path = format!("classes.{name}");
            self.check_parent(&path, name, &node.parent, &self.tree.classes)?;
            if self.tree.class_ancestry(name).is_none() {
                return self.value_error(
                    &format!("{path}.parent"),
                    "the parents run in a cycle",
                    "take one `parent` out of the cycle",
                );
            }
            if let Some(tier) = &node.tier
                && !self.tree.tiers.contains_key(tier)
            {
                let message = format!("there is no tier `{tier}`");
                let path = format!("{path}.tier");
                return self.value_error(
                    &path,
                    &message,
                    "name a tier that `tiers` lists",
                );
            }
            self.check_policy(&format!("{path}.policy"), &node.policy)?;
            let Some(profile) = self.tree.class_profile(name) else {
                let remedy = "add `tier: NAME` to the class or to a parent of it";
                return self.value_error(&path, "the class has no tier", remedy);
            };
            if profile.give_up < profile.first_token {
                return self.value_error(
                    &path,
                    "`give_up` is shorter than the first-token target",
                    "leave `give_up` out, or make it at least as long as `first_token`",
                );
            }
        }
        Ok(())
    }

    /// Checks parents, classes, policies and key hashes of organisations.
    fn check_organisations(&self) -> Result<(), SettingsError> {
        let mut hashes = BTreeMap::new();
        for (name, node) in &self.tree.organisations {
            let path = format!("organisations.{name}");
            self.check_parent(&path, name, &node.parent, &self.tree.organisations)?;
            if self.tree.organisation_ancestry(name).is_none() {
                return self.value_error(
                    &format!("{path}.parent"),
                    "the parents run in a cycle",
                    "take one `parent` out of the cycle",
                );
            }
            self.check_class(&format!("{path}.class"), node.class.as_ref())?;
            self.check_policy(&format!("{path}.policy"), &node.policy)?;
            for hash in &node.key_hashes {
                self.check_hash(&format!("{path}.key_hashes"), hash)?;
                if let Some(other) = hashes.insert(hash, name) {
                    let message = format!("the key is also that of `{other}`");
                    let path = format!("{path}.key_hashes");
                    return self.value_error(
                        &path,
                        &message,
                        "give each organisation its own",
                    );
                }
            }
        }
        Ok(())
    }

    /// Checks the classes of services and the key hashes of operators.
    fn check_services(&self) -> Result<(), SettingsError> {
        for (name, node) in &self.tree.services {
            self.check_class(&format!("services.{name}.class"), node.class.as_ref())?;
        }
        for (name, node) in &self.tree.operators {
            self.check_hash(&format!("operators.{name}.key_hash"), &node.key_hash)?;
        }
        Ok(())
    }

    /// Checks that backend servers name existing models and services and have slots, and that no
    /// two share a name or an address.
    fn check_servers(&self) -> Result<(), SettingsError> {
        let mut names = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (data_centre, node) in &self.tree.data_centres {
            for (name, engine) in &node.engines {
                let path = format!("data_centres.{data_centre}.engines.{name}");
                for model in &engine.models {
                    if !self.tree.models.contains_key(model) {
                        let message = format!("there is no model `{model}`");
                        let remedy = "name models that `models` lists";
                        return self.value_error(
                            &format!("{path}.models"),
                            &message,
                            remedy,
                        );
                    }
                }
                self.check_slots(&path, engine.slots)?;
                self.check_unique(
                    &path,
                    name,
                    engine.address,
                    &mut names,
                    &mut addresses,
                )?;
            }
            for (name, server) in &node.plain_servers {
                let path = format!("data_centres.{data_centre}.plain_servers.{name}");
                if !self.tree.services.contains_key(&server.service) {
                    let message = format!("there is no service `{}`", server.service);
                    let remedy = "name a service that `services` lists";
                    return self.value_error(
                        &format!("{path}.service"),
                        &message,
                        remedy,
                    );
                }
                self.check_slots(&path, server.slots)?;
                self.check_unique(
                    &path,
                    name,
                    server.address,
                    &mut names,
                    &mut addresses,
                )?;
            }
        }
        Ok(())
    }

    /// Checks that a backend server has at least one slot.
    fn check_slots(&self, path: &str, slots: u32) -> Result<(), SettingsError> {
        if slots > 0 {
            return Ok(());
        }
        let remedy = "give the number of requests that it works on at once";
        self.value_error(&format!("{path}.slots"), "no slots", remedy)
    }

    /// Checks that no earlier backend server has the same name or address, and records both with
    /// the server's path.
    fn check_unique(
        &self,
        path: &str,
        name: &str,
        address: SocketAddr,
        names: &mut BTreeMap<String, String>,
        addresses: &mut BTreeMap<SocketAddr, String>,
    ) -> Result<(), SettingsError> {
        if let Some(other) = names.insert(name.to_owned(), path.to_owned()) {
            let message = format!("the name is also that of {other}");
            return self.value_error(
                path,
                &message,
                "give each backend server its own name",
            );
        }
        if let Some(other) = addresses.insert(address, path.to_owned()) {
            let message = format!("the address is also that of {other}");
            let path = format!("{path}.address");
            return self.value_error(
                &path,
                &message,
                "give each backend server its own address",
            );
        }
        Ok(())
    }

    /// Checks that the parent of a node, if it names one, exists.
    fn check_parent<Node>(
        &self,
        path: &str,
        name: &str,
        parent: &Option<String>,
        nodes: &BTreeMap<String, Node>,
    ) -> Result<(), SettingsError> {
        let Some(parent) = parent else { return Ok(()) };
        if nodes.contains_key(parent) {
            return Ok(());
        }
        let message = format!("`{name}` has an unknown parent `{parent}`");
        self.value_error(
            &format!("{path}.parent"),
            &message,
            "name a sibling, or leave it out",
        )
    }

    /// Checks that a class, if one is named, exists.
    fn check_class(
        &self,
        path: &str,
        class: Option<&String>,
    ) -> Result<(), SettingsError> {
        let Some(class) = class else { return Ok(()) };
        if self.tree.classes.contains_key(class) {
            return Ok(());
        }
        let message = format!("there is no class `{class}`");
        self.value_error(path, &message, "name a class that `classes` lists")
    }

    /// Checks that a value is the hash of a key and not the key itself.
    fn check_hash(&self, path: &str, hash: &str) -> Result<(), SettingsError> {
        let digits = hash.strip_prefix("sha256:").unwrap_or_default();
        if digits.len() == 64 && digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Ok(());
        }
        let remedy = "write what `flaxctl settings hash-key` prints for the key";
        self.value_error(path, "the value isn't the hash of a key", remedy)
    }

    /// Checks that targets aren't shorter than an engine can reach, and that the starvation
    /// bound, the priority and the request limit aren't 0.
    fn check_policy(&self, path: &str, node: &PolicyNode) -> Result<(), SettingsError> {
        let target = &node.target;
        if target.first_token.is_some_and(|span| span < MIN_FIRST_TOKEN) {
            let path = format!("{path}.target.first_token");
            let remedy = "ask for 5ms or more";
            return self.value_error(&path, "no engine answers as fast as that", remedy);
        }
        if target.between_tokens.is_some_and(|span| span < MIN_BETWEEN_TOKENS) {
            let path = format!("{path}.target.between_tokens");
            return self.value_error(
                &path,
                "no engine steps as fast as that",
                "ask for 1ms or more",
            );
        }
        if target.starvation_bound.is_some_and(|span| span.is_zero()) {
            let path = format!("{path}.target.starvation_bound");
            return self.value_error(&path, "the bound is zero", "allow some time");
        }
        if node.priority == Some(0) {
            let path = format!("{path}.priority");
            return self.value_error(
                &path,
                "a priority of 0 would starve",
                "give 1 or more",
            );
        }
        if node.limits.requests_per_second == Some(0) {
            let path = format!("{path}.limits.requests_per_second");
            let remedy = "give 1 or more, or take the keys away";
            return self.value_error(&path, "a limit of 0 refuses everything", remedy);
        }
        Ok(())
    }

    /// Returns an error for the value at `path`, with its line.
    fn value_error<T>(
        &self,
        path: &str,
        message: &str,
        remedy: &str,
    ) -> Result<T, SettingsError> {
        Err(SettingsError::Value {
            path: path.to_owned(),
            line: locate(self.text, path),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        })
    }
}

/// Returns the first line of a parser's message without its `error: line 1 column 2: `, as
/// [`SettingsError::Syntax`] has the line itself.
fn strip_position(message: &str) -> String {
    let line = message.lines().next().unwrap_or_default();
    let line = line.strip_prefix("error: ").unwrap_or(line);
    match line.split_once(": ") {
        Some((position, rest)) if position.starts_with("line ") => rest.to_owned(),
        _ => line.to_owned(),
    }
}
