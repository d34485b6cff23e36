//! The settings tree that operators edit.
//!
//! A [`SettingsTree`] is plain data. [`SettingsTree::parse`] refuses invalid trees,
//! [`SettingsTree::class_profile`] and [`SettingsTree::organisation_profile`] resolve
//! inheritance, and a [`SettingsEdit`] sets or removes one value.

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
