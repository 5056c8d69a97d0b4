//! Decisions of a router that sends requests to targets itself.
//!
//! Stages of a request: [`RouteTable`] finds its route and customer; [`DirectRouter`] chooses a
//! target for it or refuses it at once; the router sends it and reports its first event and its
//! end. What routers know of each other's work travels in [`PeerReport`]s, which state absolute
//! figures, so that a lost or repeated one does no harm; [`plan_reports`] says who gets them,
//! [`WatchDuty`] who watches the platform's store for all, and [`LagGauge`] when a router is too
//! busy to take more.

pub mod customer_ledger;
pub mod direct_router;
pub mod fleet_config;
pub mod fleet_wait;
pub mod lag_gauge;
pub mod load_book;
pub mod peer_report;
pub mod placement;
pub mod prefix_map;
pub mod prompt_shape;
pub mod repeat_budget;
pub mod report_plan;
pub mod return_book;
pub mod route_table;
pub mod target_book;
pub mod target_health;
pub mod target_speed;
pub mod watch_duty;

pub use customer_ledger::{CustomerLedger, CustomerStanding, ShareTier};
pub use direct_router::{ArrivedCall, DirectPolicy, DirectRouter, RunEnd, RunId};
pub use fleet_config::{
    CallerLimits, CustomerKeys, FleetConfig, RequestKind, RouteRecord, ServiceShape, ServiceSplit,
};
pub use fleet_wait::FleetWait;
pub use lag_gauge::{BALANCER_DELAY, LagGauge, ShedStep};
pub use load_book::{LoadBook, TargetLoad};
pub use peer_report::{CustomerUse, PeerReport, RefusedCall, TargetUse};
pub use placement::{Placement, PlacementRequest, RefusalReason};
pub use prefix_map::PrefixMap;
pub use prompt_shape::{PromptPart, PromptShape};
pub use repeat_budget::RepeatBudget;
pub use report_plan::{HeardPeer, PlanPeer, ReportPlan, plan_reports, uses_relays};
pub use return_book::ReturnBook;
pub use route_table::{KeyFault, RouteTable};
pub use target_book::{
    StoreContact, TargetBook, TargetChange, TargetEntry, TargetId, TargetSnapshot, TargetState,
};
pub use target_health::{FaultKind, TargetHealth};
pub use target_speed::TargetSpeed;
pub use watch_duty::{
    FleetVersions, NewsNeed, StoreStanding, WATCHERS_PER_DOMAIN, WatchDuty, WatchPeer,
};
