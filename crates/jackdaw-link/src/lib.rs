//! Authenticated links between the processes of the fleet.
//!
//! A link is a QUIC connection with mutual TLS between the processes of two VMs. [`authority`]
//! implements the certificate authority of the fleet, [`identity`] the certificate of a process,
//! [`endpoint`] accepts and opens links, [`peer`] implements an open link with its control stream
//! and [`run`] the streams that carry one request and its response each. [`message`] defines the
//! messages, [`settings`] the limits and timeouts.

pub mod authority;
mod dial_pool;
pub mod endpoint;
mod frame;
pub mod identity;
pub mod message;
pub mod peer;
pub mod run;
pub mod settings;

pub use authority::{FleetAuthority, IssuedCredentials};
pub use endpoint::LinkEndpoint;
pub use identity::FleetIdentity;
pub use message::{
    ControlMessage, LinkGreeting, MESSAGE_VERSION, ProcessRole, RunReply, RunRequest,
};
pub use peer::{LinkClosure, PeerLink};
pub use run::{IncomingRun, RunReader, RunWriter};
pub use settings::LinkSettings;
