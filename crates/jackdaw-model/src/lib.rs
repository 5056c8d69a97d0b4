//! Discrete-event simulation of routers, engines and callers, for evaluating placement under load.
//!
//! A [`LoadPattern`] draws requests from a seed. A [`ModelFleet`] passes them to routers that run
//! the production decision code and exchange reports with a delay. Each [`ModelEngine`] batches
//! requests, prefills prompts in chunks and caches shared prompt parts. A [`ModelReport`]
//! aggregates the outcomes. All times are virtual, so nothing waits for a real clock.

pub mod engine_model;
pub mod fleet_model;
pub mod load_pattern;
pub mod model_report;

pub use engine_model::{EngineEvent, EngineProfile, ModelEngine, ModelRun};
pub use fleet_model::{FleetProfile, ModelFleet, PlacementRule};
pub use load_pattern::{LoadPattern, ModelRequest, RequestClass};
pub use model_report::{ModelReport, RequestOutcome};
