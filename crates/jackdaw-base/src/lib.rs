//! Types shared by every jackdawvale crate.
//!
//! The crate defines plain data types only: identifiers ([`ids`]), the cost of work ([`work`]),
//! the exhaustive list of error kinds with the response to each ([`error`]), the part of a request
//! that policies and messages work with ([`request`]) and configuration documents ([`document`]).
//! Nothing in it performs I/O, reads a clock or spawns a task.

pub mod document;
pub mod error;
pub mod ids;
pub mod macros;
pub mod request;
pub mod work;

pub use document::{
    CustomerRecord, DocumentBody, DocumentKey, ServiceKind, ServiceRecord, TargetRecord,
    VersionedDocument, VmRecord, VmState,
};
pub use error::{ErrorKind, RequestOutcome, describe_report, report_parts};
pub use ids::{
    CustomerId, DomainId, KeyDigest, OfferId, ProcessIncarnation, RequestId, ServiceId,
    TicketNumber, VmId,
};
pub use request::{CrashEvidence, FleetTotal, RequestClass, ServiceReport, WorkOffer};
pub use work::{CustomerShare, MonotonicTime, NormalisedService, WorkUnits};
