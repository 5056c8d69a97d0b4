//! Client and port of the platform's object API.
//!
//! [`ObjectStore`] is the port; [`PlatformClient`] is its adapter over HTTP. The rules for
//! when a call may be made ([`CallBudget`], [`CallBackoff`], [`CircuitBreaker`]) are pure code
//! that takes the time as an argument.

pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
pub mod governor;
pub mod store;

pub use backoff::CallBackoff;
pub use breaker::CircuitBreaker;
pub use budget::CallBudget;
pub use client::{PlatformClient, PlatformSettings};
pub use governor::{CallGovernor, CallPermission, GovernorSettings};
pub use store::{
    CallCounts, ObjectChange, ObjectListing, ObjectStore, ObjectVersion, StoredObject, VmListing,
    WriteCondition,
};
