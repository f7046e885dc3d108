//! State of the members of the gossip group.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lifecycle state of a member, as the failure detector sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberLifecycle {
    /// The member acknowledges probes.
    Alive,
    /// The member did not acknowledge a probe and has not refuted the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves the group.
    Left,
}

/// State of a member, as reported by the member itself or by another member.
///
/// Ordered by incarnation, then by lifecycle state: the greater one overrides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// Name of the member, unique in the deployment.
    pub name: String,
    /// Address of the member's listener for peers.
    pub address: SocketAddr,
    /// Failure domain of the member.
    pub domain: String,
    /// Incarnation number. Only the member itself raises it, at its start and
    /// to refute a suspicion.
    pub incarnation: u64,
    /// Lifecycle state of the member.
    pub standing: MemberLifecycle,
}

impl MemberState {
    /// Returns whether this state is newer than `other` and replaces it.
    pub fn overrides(&self, other: &MemberState) -> bool {
        (self.incarnation, self.standing) > (other.incarnation, other.standing)
    }

    /// Returns whether the member takes part in the protocol: it is alive or
    /// only suspected.
    pub fn is_active(&self) -> bool {
        matches!(
            self.standing,
            MemberLifecycle::Alive | MemberLifecycle::Suspect
        )
    }
}

/// The latest state of a member that this instance has recorded.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// The latest state of the member.
    pub state: MemberState,
    /// When this instance recorded the state.
    pub recorded_at: Duration,
}
