//! What is known of streams: which software version began each, which routers keep that, when they are
//! told again, and how long streams pause.
//!
//! Fed by this router's streams and by questions and answers between routers. Never reads load or
//! shares.

pub mod binding_repair;
pub mod binding_ring;
pub mod stream_holders;
pub mod stream_lookup;
pub mod stream_monitor;
pub mod stream_table;
pub mod version_record;
