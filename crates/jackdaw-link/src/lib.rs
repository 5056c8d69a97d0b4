//! Authenticated links between the processes of the fleet.

pub mod message;

pub use message::{
    ControlMessage, LinkGreeting, MESSAGE_VERSION, ProcessRole, RunReply, RunRequest,
};
