//! What is known of another instance.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Standing of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberLifecycle {
    /// It answers.
    Alive,
    /// It did not answer a probe and has not refuted yet.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What a member says of itself, or others of it.
///
/// Ordered by incarnation, then standing: a greater one overrides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// Its name, unique in the deployment.
    pub name: String,
    /// Its listener for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Raised by the member itself, at its start and to refute.
    pub incarnation: u64,
    /// Its standing.
    pub standing: MemberLifecycle,
}

impl MemberState {
    /// Tells whether this news overrides `other`.
    pub fn overrides(&self, other: &MemberState) -> bool {
        (self.incarnation, self.standing) > (other.incarnation, other.standing)
    }

    /// Tells whether the member counts as there: alive, or only suspected.
    pub fn is_there(&self) -> bool {
        matches!(
            self.standing,
            MemberLifecycle::Alive | MemberLifecycle::Suspect
        )
    }
}

/// A member as an instance holds it.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// The latest news of it.
    pub news: MemberState,
    /// When its standing changed.
    pub since: Duration,
}
