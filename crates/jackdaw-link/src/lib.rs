//! Authenticated links between the processes of the fleet.
//!
//! A link is one QUIC connection with mutual TLS between two VMs. [`keys`] makes the fleet
//! authority and the certificates it issues, [`identity`] is a process's own certificate,
//! [`endpoint`] takes and opens links, [`peer`] is an open link with its control stream and
//! [`run`] carries one request and its answer. [`message`] holds what is sent.

mod dial_pool;
pub mod endpoint;
mod frame;
pub mod identity;
pub mod keys;
pub mod message;
pub mod peer;
pub mod run;
pub mod settings;

pub use endpoint::LinkEndpoint;
pub use identity::FleetIdentity;
pub use keys::{FleetAuthority, IssuedKeys};
pub use message::{
    ControlMessage, LinkGreeting, MESSAGE_VERSION, ProcessRole, RunReply, RunRequest,
};
pub use peer::{LinkClosure, PeerLink};
pub use run::{IncomingRun, RunReader, RunWriter};
pub use settings::LinkSettings;
