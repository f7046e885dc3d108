//! Re-exports the types that most users of this crate need.

pub use crate::arena::{KeyArena, ServerKey, SlotArena, SlotKey, UpstreamKey};
pub use crate::finding::{FindingList, FindingPlace, InputFinding};
pub use crate::process::action::{EntryAction, SendOrder};
pub use crate::process::entry::{EntryMachine, EntryOptions, EntrySafetyChecks};
pub use crate::process::input::{
    AttemptReply, CallTag, ConnectionChange, EntryInput, QueryRequest, ReplyBody, ReplyStatus,
    RequestBody,
};
pub use crate::process::news::{HeldSnapshot, ServerPhase, UpstreamAnnouncement};
pub use crate::process::policy::{
    LeastOutstanding, LowestCostPolicy, RandomChoice, RoutePolicy, TwoChoices,
};
pub use crate::request::answer::{
    CoverageReport, MissingReason, MissingShard, QueryAnswer, QueryOutcome, QueryRefusal,
    RefusalReason, RunState,
};
pub use crate::request::decision::{DecisionEvent, DropReason, RouteDecision};
pub use crate::request::identity::{AttemptId, RequestId};
pub use crate::request::merge::{MergeRule, ScoredHit};
pub use crate::version::row::{AnswerPriority, RequestKind, ServiceRow, UnfencedRule};
pub use crate::version::snapshot::SnapshotId;
pub use crate::version::table::ServiceTable;
