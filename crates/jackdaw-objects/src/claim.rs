//! Claims that let a recording run at most once in the whole fleet.
//!
//! Before a recording is given to a target, its key is claimed in an object of the platform.
//! The object follows from the key alone ([`ClaimLayout`]), so any two processes that get the
//! same key meet at the same object, and its conditional update decides between them: neither
//! leases nor clocks have to hold. [`ClaimObject`] is the pure part, [`ClaimWriter`] does the
//! I/O.

mod key;
mod line;
mod object;
mod writer;

pub use key::{ClaimKey, ClaimLayout, ClaimLocation};
pub use object::{ClaimDecision, ClaimEntry, ClaimObject, ClaimOwner, ClaimPlan, ClaimRequest};
pub use writer::{ClaimCounts, ClaimSettings, ClaimWriter};
