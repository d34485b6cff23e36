//! Types that all other flaxtide packages share.
//!
//! This package holds identifiers, clocks, the settings tree with its inheritance and
//! validation, the life cycle of a call, and the JSON body of a refusal or failure. Apart
//! from reading the system clocks, it does no I/O.

mod call;
mod clock;
mod id;
mod key;
mod refusal;
mod settings;
mod span;
mod status;
mod store_version;
mod wall_clock;

pub use self::call::{
    Answered, Call, CallEnd, Claimed, Dispatched, Failed, Queued, Received,
};
pub use self::clock::MilliClock;
pub use self::id::{
    AttemptId, ClassId, ClassName, DataCentreName, EditId, InstanceName, ModelName,
    OrganisationId, OrganisationName, PoolId, RegionName, RequestId, ServerId,
    ServerName, SettingsVersion, TierName, TierRank, format_request_id, parse_request_id,
};
pub use self::key::hash_key;
pub use self::refusal::{FailureBody, FailureReason, RanState};
pub use self::settings::{
    ClassNode, ClassProfile, DataCentreNode, EffectiveValue, EngineNode, LimitNode,
    ModelNode, OperatorAccess, OperatorNode, OrderMode, OrganisationNode,
    OrganisationProfile, PlainServerNode, PolicyNode, ServiceNode, SettingsEdit,
    SettingsError, SettingsTree, TargetNode, TierNode,
};
pub use self::span::{deserialize_span, format_span, message_line, parse_span};
pub use self::status::is_final_status;
pub use self::store_version::{StoreVersion, store_era, store_version, version_in_era};
pub use self::wall_clock::WallClock;
