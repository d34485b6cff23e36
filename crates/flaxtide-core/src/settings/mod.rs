//! The settings tree: what operators edit.
//!
//! A [`SettingsTree`] is plain data. [`check`](SettingsTree::parse) refuses what can't
//! be meant, [`profile`](SettingsTree::class_profile) resolves inheritance, and a
//! [`SettingsEdit`] changes one place.

mod check;
mod edit;
mod error;
mod inherit;
mod locate;
mod node;

pub use self::edit::SettingsEdit;
pub use self::error::SettingsError;
pub use self::inherit::{ClassProfile, EffectiveValue, OrganisationProfile};
pub use self::node::{
    ClassNode, DataCentreNode, EngineNode, LimitNode, ModelNode, OperatorAccess,
    OperatorNode, OrderMode, OrganisationNode, PlainServerNode, PolicyNode, ServiceNode,
    SettingsTree, TargetNode, TierNode,
};
