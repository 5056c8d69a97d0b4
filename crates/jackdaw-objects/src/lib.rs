//! Client and port of the platform's object API.
//!
//! [`ObjectStore`] is the port; [`PlatformClient`] is its adapter over HTTP. The rules for
//! when a call may be made ([`CallBudget`], [`CallBackoff`], [`CircuitBreaker`]) are pure code
//! that takes the time as an argument.

pub mod acceptor;
pub mod backoff;
pub mod breaker;
pub mod budget;
mod cache;
pub mod catalog;
pub mod claim;
pub mod client;
pub mod feed;
pub mod governor;
pub mod layout;
mod rollforward;
pub mod store;
pub mod ticket;

pub use acceptor::{TicketAcceptance, TicketAcceptor, TicketStatus};
pub use backoff::CallBackoff;
pub use breaker::CircuitBreaker;
pub use budget::CallBudget;
pub use catalog::ConfigCatalog;
pub use claim::{ClaimCounts, ClaimKey, ClaimLayout, ClaimSettings, ClaimWriter};
pub use client::{PlatformClient, PlatformSettings};
pub use feed::{CatalogFeed, CatalogUpdate, FeedSettings};
pub use governor::{CallGovernor, CallPermission, GovernorSettings};
pub use store::{
    CallCounts, ObjectChange, ObjectListing, ObjectStore, ObjectVersion, StoredObject, VmListing,
    WriteCondition,
};
pub use ticket::{ChangeTicket, TicketEntry, TicketProblem, digest_key};
