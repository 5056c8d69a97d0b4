//! Evidence on requests and prompt parts that crash targets.
//!
//! Fed by runs that broke off, by other routers' findings and by those kept in the store. Never reads
//! load or shares.

pub mod crash_ledger;
