//! Identifiers of the fleet.
//!
//! Names that operators choose are hashed to 64 bits, so that messages between processes stay
//! small and no numbers have to be assigned. A change ticket that introduces a name whose hash
//! collides with that of another name is rejected.

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
            /// Derives the identifier from a name, as its XXH3 hash.
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
    /// Identifier of a customer.
    CustomerId
}
named_id! {
    /// Identifier of a service, which is a set of interchangeable targets.
    ServiceId
}
named_id! {
    /// Identifier of a VM and of the one router or agent that runs on it.
    VmId
}
named_id! {
    /// Identifier of a failure domain.
    DomainId
}

plain_data! {
    copy
    /// Identifier of one execution of a process, chosen at random at startup.
    pub struct ProcessIncarnation(pub u64);
}

impl ProcessIncarnation {
    /// Generates a random incarnation.
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
    /// Identifier of a request, unique within the fleet.
    pub struct RequestId {
        /// Incarnation of the router that received the request.
        pub router: ProcessIncarnation,
        /// Sequence number of the request within that incarnation.
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
    /// Identifier of one attempt to run a request; offers of different attempts never mix.
    pub struct OfferId {
        /// Offered request.
        pub request: RequestId,
        /// Number of the attempt, starting at zero.
        pub attempt: u32,
    }
}

plain_data! {
    copy
    /// Number of a change ticket; the state from a higher number replaces that from a lower one.
    pub struct TicketNumber(pub u64);
}

plain_data! {
    copy
    /// BLAKE3 digest of a customer's API key or of the operators' key; the key itself is never
    /// stored.
    pub struct KeyDigest(pub [u8; 32]);
}
