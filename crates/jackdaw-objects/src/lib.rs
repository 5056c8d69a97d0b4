//! Client of the platform's object API, and the configuration and claims stored through it.
//!
//! [`ObjectStore`] is the interface to the API and [`PlatformClient`] implements it over HTTP.
//! The limits on calls ([`CallBudget`], [`CallBackoff`], [`CircuitBreaker`]) do no I/O and take
//! the current time as an argument.

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
