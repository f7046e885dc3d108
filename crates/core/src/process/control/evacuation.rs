//! Replicated registry of the failure domains that operators took out of use
//! ("evacuated").
//!
//! Each change names the revision of its domain that it is based on, and is
//! rejected if that revision is outdated (compare-and-set). The check stops
//! duplicates and late arrivals: an instance that was cut off from the network
//! may forward a change long after its operator gave up. The instance that
//! proposed a rejected change retries on the new revision while the operator
//! waits. A change that confirms the current state still raises the revision, so
//! that a delayed older change cannot undo the acknowledged one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of failure domains in the registry. A deployment has only a
/// few; the limit keeps a faulty operator script from filling the disk.
pub const MAX_DOMAINS: usize = 1024;

/// A change that takes a failure domain out of use or puts it back into use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// Name of the failure domain.
    pub domain: Box<str>,
    /// Whether the failure domain is to be out of use.
    pub evacuated: bool,
    /// Revision of the last change to this domain that the proposer has seen; 0
    /// for none.
    pub base: u64,
}

/// Outcome of applying an [`EvacuationChange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// The change was applied and has this revision.
    Stands(u64),
    /// The change was rejected: the last change to the domain has this revision,
    /// not the one that the change was based on.
    Conflict(u64),
    /// The change was rejected: the registry holds [`MAX_DOMAINS`] domains already.
    Full,
}

/// The last change to one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DomainRecord {
    /// Revision of the change.
    revision: u64,
    evacuated: bool,
}

/// Registry of all failure domains that were ever changed, in or out of use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRegistry {
    /// Number of changes applied so far, over all domains.
    revision: u64,
    domains: BTreeMap<Box<str>, DomainRecord>,
}

impl EvacuationRegistry {
    /// Applies a change if its base revision is the current one of its domain.
    pub fn apply(&mut self, change: &EvacuationChange) -> EvacuationOutcome {
        let current_revision = self.revision_of(&change.domain);
        if current_revision != change.base {
            return EvacuationOutcome::Conflict(current_revision);
        }
        if current_revision == 0 && self.domains.len() >= MAX_DOMAINS {
            return EvacuationOutcome::Full;
        }
        self.revision += 1;
        let record = DomainRecord {
            revision: self.revision,
            evacuated: change.evacuated,
        };
        self.domains.insert(change.domain.clone(), record);
        EvacuationOutcome::Stands(self.revision)
    }

    /// Returns the revision of the last change to any domain; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last change to a failure domain; 0 if the
    /// domain was never changed.
    pub fn revision_of(&self, domain: &str) -> u64 {
        let record = self.domains.get(domain);
        record.map_or(0, |record| record.revision)
    }

    /// Iterates over the failure domains that are out of use.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let domains = self.domains.iter();
        let evacuated = domains.filter(|(_, record)| record.evacuated);
        evacuated.map(|(domain, _)| &**domain)
    }
}
