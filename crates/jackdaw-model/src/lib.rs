//! Model of routers, engines and callers in virtual time, to weigh decisions under load.
//!
//! Stages: a [`LoadPattern`] draws callers' requests from a seed; a [`ModelFleet`] hands them to
//! routers that run the real decision code and exchange reports with a delay; [`ModelEngine`]s
//! read prompts in chunks between the steps of their batch and keep shared parts; a
//! [`ModelReport`] sums up what callers got. Nothing waits for a real clock.

pub mod engine_model;
pub mod fleet_model;
pub mod load_pattern;
pub mod model_report;

pub use engine_model::{EngineEvent, EngineProfile, ModelEngine, ModelRun};
pub use fleet_model::{FleetProfile, ModelFleet, PlacementRule};
pub use load_pattern::{LoadPattern, ModelRequest, RequestClass};
pub use model_report::{ModelReport, RequestOutcome};
