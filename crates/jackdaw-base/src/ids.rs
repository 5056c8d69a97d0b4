//! Identifiers of the fleet.
//!
//! Names that operators choose are hashed to 64 bits, so that messages between processes stay
//! small and nobody has to hand out numbers. A change ticket that brings two names with the
//! same hash is refused.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::plain_data;

macro_rules! named_id {
    ($(#[$meta:meta])* $name:ident) => {
        plain_data! {
            copy
            $(#[$meta])*
            pub struct $name(pub u64);
        }

        impl $name {
            /// Derives the identifier of a name.
            pub fn from_name(name: &str) -> $name {
                $name(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

named_id! {
    /// Identifies a customer.
    CustomerId
}
named_id! {
    /// Identifies a service: a set of targets that can do the same work.
    ServiceId
}
named_id! {
    /// Identifies a VM, and with it the one router or agent that runs on it.
    VmId
}
named_id! {
    /// Identifies a failure domain.
    DomainId
}

plain_data! {
    copy
    /// Tells one run of a process from every other; drawn at random when the process starts.
    pub struct ProcessIncarnation(pub u64);
}

impl ProcessIncarnation {
    /// Draws a new incarnation from the operating system's random source.
    pub fn random() -> ProcessIncarnation {
        ProcessIncarnation(rand::random())
    }
}

impl fmt::Display for ProcessIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

plain_data! {
    copy
    /// Identifies a request within the fleet.
    pub struct RequestId {
        /// The incarnation of the router that took the request.
        pub router: ProcessIncarnation,
        /// The position of the request among those of that incarnation.
        pub sequence: u64,
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.router, self.sequence)
    }
}

plain_data! {
    copy
    /// Identifies one attempt to have a request run: offers of different attempts never mix.
    pub struct OfferId {
        /// The request that is offered.
        pub request: RequestId,
        /// The attempt, counted from zero.
        pub attempt: u32,
    }
}

plain_data! {
    copy
    /// Numbers a change ticket; a higher number replaces a lower one.
    pub struct TicketNumber(pub u64);
}

plain_data! {
    copy
    /// Digest of a customer's secret key; the key itself is never stored.
    pub struct KeyDigest(pub [u8; 32]);
}
