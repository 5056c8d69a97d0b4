//! Claims that make a recording run at most once in the whole fleet.
//!
//! Before a recording is sent to a target, its idempotency key is claimed in an object on the
//! platform. The key alone determines the object ([`ClaimLayout`]), so any two processes that
//! receive the same key update the same object, and its conditional update decides between
//! them: safety depends on neither leases nor clocks. [`ClaimObject`] decides without I/O;
//! [`ClaimWriter`] reads and writes the objects.

mod key;
mod object;
mod queue;
mod writer;

pub use key::{ClaimKey, ClaimLayout, ClaimLocation};
pub use object::{ClaimDecision, ClaimEntry, ClaimObject, ClaimOwner, ClaimPlan, ClaimRequest};
pub use writer::{ClaimCounts, ClaimSettings, ClaimWriter};
