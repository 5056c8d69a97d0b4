//! End-to-end test harness with real processes and signals.
//!
//! [`ProcessFleet`] starts routers and agents as processes. They run against stand-ins of the
//! platform and of targets inside the test, which inject faults and count runs. [`CallerClient`]
//! sends requests. The tests are in `tests/`.

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
