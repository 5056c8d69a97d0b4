//! Proofs with real processes and real signals.
//!
//! [`ProcessFleet`] starts routers and agents as processes of their own, against stand-ins of
//! platform and targets that the proof holds in its hands, so that faults can be injected and
//! runs counted. [`CallerClient`] is a caller. The proofs themselves are in `tests/`.

pub mod caller;
pub mod fleet;
pub mod flow_relay;
pub mod load;
pub mod operator;
pub mod process;
pub mod seed;

pub use caller::{CallerAnswer, CallerClient};
pub use fleet::ProcessFleet;
pub use flow_relay::FlowRelay;
pub use load::{StreamLoad, StreamResult};
pub use operator::OperatorClient;
pub use process::{FleetProcess, ProcessSignal, program_path, signal_process};
pub use seed::{SeededPauses, seed};
