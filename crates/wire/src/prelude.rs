//! Re-exports the message types of [`crate::caller`], [`crate::operator`] and
//! [`crate::upstream`], for import with a single `use`.

pub use crate::caller::{
    AnswerBody, CoverageBody, HitBody, MissingShardBody, ProblemBody, SnapshotBody,
};
pub use crate::operator::{
    DecisionLine, InstanceStatus, MemberStatus, ServerStatus, ServiceStatus, TableChange,
    TableChangeResult, TableHistoryEntry, TableStatus,
};
pub use crate::upstream::{
    AnnouncementBody, HeldSnapshotBody, NotRunBody, SearchReply, SearchRequest, UpstreamHit,
};
