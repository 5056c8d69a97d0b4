//! Routing decisions of a router that sends requests directly to targets, without agents.
//!
//! [`RouteTable`] resolves the route and the customer of a request. [`DirectRouter`] then selects
//! a target or refuses the request immediately; the caller of this module sends the request and
//! reports its first event and its outcome. Routers share their load in [`PeerReport`]s. These
//! carry absolute values, so lost and duplicated reports are harmless. [`plan_reports`] selects
//! the receivers, [`WatchElection`] the routers that watch the platform's store for all others,
//! and [`OverloadDetector`] detects that a router is too busy to accept more work.

pub mod crash_ledger;
pub mod customer_ledger;
pub mod direct_router;
pub mod fleet_config;
pub mod fleet_retry_budget;
pub mod fleet_size;
pub mod load_table;
pub mod mean_wait;
pub mod overload_detector;
pub mod peer_report;
pub mod placement;
pub mod prefill_window;
pub mod prefix_map;
pub mod prompt_shape;
pub mod refusal_tracker;
pub mod report_plan;
pub mod route_table;
pub mod software_version;
pub mod store_revision;
pub mod stream_holders;
pub mod stream_lookup;
pub mod stream_monitor;
pub mod stream_table;
pub mod target_health;
pub mod target_limits;
pub mod target_speed;
pub mod target_table;
pub mod version_history;
pub mod watch_election;

pub use crash_ledger::{
    CauseChange, CrashCause, CrashFinding, CrashLedger, CrashVerdict, LedgerPosition,
    RequestCauses, RunPhase, SuspectRun,
};
pub use customer_ledger::{CustomerLedger, ShareStatus, ShareTier};
pub use direct_router::{
    CrashNotice, DirectPolicy, DirectRequest, DirectRouter, FindingSource, RunId, RunOutcome,
};
pub use fleet_config::{
    CallerLimits, CustomerConfig, FleetConfig, RequestKind, RouteConfig, ServiceConfig,
    ServiceWeight,
};
pub use fleet_retry_budget::FleetRetryBudget;
pub use fleet_size::FleetSize;
pub use load_table::{LoadTable, TargetLoad};
pub use mean_wait::MeanWait;
pub use overload_detector::{BALANCER_DELAY, OverloadDetector, ShedAction};
pub use peer_report::{CustomerUsage, PeerReport, RefusedRequest, TargetUsage};
pub use placement::{Placement, PlacementRequest, RefusalReason};
pub use prefill_window::{PrefillUsage, PrefillWindow};
pub use prefix_map::PrefixMap;
pub use prompt_shape::{PromptPart, PromptShape};
pub use refusal_tracker::RefusalTracker;
pub use report_plan::{
    PeerStatus, PlanPeer, ReportPlan, introduce_peers, needs_introduction, plan_reports,
    uses_relays,
};
pub use route_table::{KeyError, RouteTable};
pub use software_version::{VersionId, VersionRule};
pub use store_revision::StoreRevision;
pub use stream_holders::{HolderList, HolderPeer, stream_receivers, stream_sources};
pub use stream_lookup::{LookupResult, StreamFinding, StreamLookup};
pub use stream_monitor::StreamMonitor;
pub use stream_table::{StreamBinding, StreamKey, StreamTable};
pub use target_health::{SendFailure, TargetHealth};
pub use target_limits::{
    LimitChange, LimitStatement, LimitUsage, ReceivedStatement, RequestRate, TargetLimits,
};
pub use target_speed::TargetSpeed;
pub use target_table::{
    ChangeEffect, ReadyTarget, StoreContact, StoreReachability, TargetChange, TargetEntry,
    TargetId, TargetSnapshot, TargetState, TargetTable, UpdateEffect,
};
pub use version_history::VersionHistory;
pub use watch_election::{
    FetchBasis, FetchUrgency, FleetVersions, StoreStatus, WATCHERS_PER_DOMAIN, WatchElection,
    WatchPeer,
};
