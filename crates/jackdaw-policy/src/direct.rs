//! Routing decisions of a router that sends requests directly to targets, without agents.
//!
//! [`RouteTable`] resolves the route and the customer of a request. [`DirectRouter`] then selects
//! a target or refuses the request immediately; the caller of this module sends the request and
//! reports its first event and its outcome. Routers share their load in [`PeerReport`]s. These
//! carry absolute values, so lost and duplicated reports are harmless. [`plan_reports`] selects
//! the receivers, [`WatchElection`] the routers that watch the platform's store for all others,
//! and [`OverloadDetector`] detects that a router is too busy to accept more work.
//!
//! Imports go downwards: identifiers, configuration and prompts know nothing else; `fleet` knows only
//! them; `customers`, `targets`, `streams` and `crashes` build on it; `placement` and `direct_router`
//! decide with all of them.

pub mod body_pool;
pub mod crashes;
pub mod customers;
pub mod direct_router;
pub mod fleet;
pub mod fleet_config;
pub mod home_rule;
pub mod memory_plan;
pub mod placement;
pub mod prompt_shape;
pub mod request_rate;
pub mod route_table;
pub mod store_revision;
pub mod streams;
pub mod target_id;
pub mod targets;

pub use body_pool::{BodyId, BodyPool, PoolGrant};
pub use crashes::crash_ledger::{
    CauseChange, CrashCause, CrashFinding, CrashLedger, CrashVerdict, EARLY_EVENTS, LedgerPosition,
    RequestCauses, RunPhase, SuspectRun,
};
pub use customers::customer_ledger::{CustomerLedger, ShareStatus, ShareTier};
pub use customers::refusal_tracker::RefusalTracker;
pub use direct_router::{
    ColdNotice, ColdTolerance, CrashNotice, DirectPolicy, DirectRequest, DirectRouter,
    FindingSource, KnownRecord, RecordAge, RunId, RunOutcome,
};
pub use fleet::contact_list::{MAX_CONTACTS, plan_contacts, unheard_contacts};
pub use fleet::fleet_retry_budget::FleetRetryBudget;
pub use fleet::fleet_roster::FleetRoster;
pub use fleet::fleet_size::FleetSize;
pub use fleet::overload_detector::{BALANCER_DELAY, OverloadDetector, ShedAction};
pub use fleet::peer_report::{CustomerUsage, PeerReport, RefusedRequest, TargetUsage};
pub use fleet::report_plan::{
    PeerStatus, PlanPeer, ReportPlan, introduce_peers, needs_introduction, plan_reports,
    uses_relays,
};
pub use fleet::watch_election::{
    FetchBasis, FetchUrgency, FleetVersions, StoreStatus, WATCHERS_PER_DOMAIN, WatchElection,
    WatchPeer,
};
pub use fleet_config::{
    CacheTransfer, CallerLimits, ColdStart, CustomerConfig, FleetConfig, RequestKind, RouteConfig,
    ServiceConfig, ServiceWeight,
};
pub use home_rule::{DomainRegions, HomeRule};
pub use memory_plan::MemoryPlan;
pub use placement::{Placement, PlacementRequest, RefusalReason};
pub use prompt_shape::{PromptPart, PromptShape};
pub use request_rate::RequestRate;
pub use route_table::{KeyError, RouteTable};
pub use store_revision::StoreRevision;
pub use streams::binding_repair::{HolderMember, HolderRoster, TellingPlan, plan_handover};
pub use streams::binding_ring::{BindingRing, RingWrite};
pub use streams::stream_holders::{
    HolderList, HolderMap, HolderPeer, stream_receivers, stream_sources,
};
pub use streams::stream_lookup::{LookupResult, StreamFinding, StreamLookup};
pub use streams::stream_monitor::StreamMonitor;
pub use streams::stream_table::{StreamBinding, StreamKey, StreamTable};
pub use streams::version_record::{REMOVAL_MARGIN, RecordBasis, ServiceVersions, VersionRecord};
pub use target_id::TargetId;
pub use targets::cold_shares::{ColdDivision, ColdShares};
pub use targets::cold_targets::{ColdSource, ColdTargets};
pub use targets::evacuation_table::{
    EvacuationChange, EvacuationEffect, EvacuationState, EvacuationTable,
};
pub use targets::load_table::{LoadTable, TargetLoad};
pub use targets::mean_wait::MeanWait;
pub use targets::prefill_window::{PrefillUsage, PrefillWindow};
pub use targets::prefix_map::PrefixMap;
pub use targets::software_version::{VersionId, VersionRule};
pub use targets::target_health::{SendFailure, TargetHealth};
pub use targets::target_limits::{
    LimitChange, LimitStatement, LimitUsage, ReceivedStatement, TargetLimits,
};
pub use targets::target_speed::TargetSpeed;
pub use targets::target_table::{
    ChangeEffect, ReadyTarget, StoreContact, StoreReachability, TargetChange, TargetEntry,
    TargetSnapshot, TargetState, TargetTable, UpdateEffect,
};
pub use targets::version_gate::VersionGate;
pub use targets::version_history::VersionHistory;
