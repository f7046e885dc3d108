//! Failure domains that operators took out of use, as the log keeps them.
//!
//! An order may be sent more than once and come late: an instance that was cut
//! off passes on what it held long after the operator gave up. So each change
//! names the last change of its failure domain that it knows. One that knows an
//! older one changes nothing, and whoever passed it on tries again while its
//! operator still waits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most failure domains that are remembered. A deployment has a few; the bound
/// keeps an operator's slip in a script from filling the disk.
pub const MOST_DOMAINS: usize = 1024;

/// A change of whether a failure domain is in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: Box<str>,
    /// Whether it is to be out of use.
    pub evacuated: bool,
    /// Revision of its last change that is known; 0 for none.
    pub base: u64,
}

/// What came of an [`EvacuationChange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// It is so, since this revision.
    Stands(u64),
    /// It was based on another revision than this, the last of its domain.
    Conflict(u64),
    /// Too many failure domains are remembered.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DomainRecord {
    revision: u64,
    evacuated: bool,
}

/// All failure domains that were ever out of use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationBook {
    /// Grows with each change.
    revision: u64,
    domains: BTreeMap<Box<str>, DomainRecord>,
}

impl EvacuationBook {
    /// Makes a change.
    pub fn apply(&mut self, change: &EvacuationChange) -> EvacuationOutcome {
        let known = self.domains.get(&change.domain).copied();
        let known = known.unwrap_or(DomainRecord {
            revision: 0,
            evacuated: false,
        });
        if known.evacuated == change.evacuated {
            return EvacuationOutcome::Stands(known.revision);
        }
        if known.revision != change.base {
            return EvacuationOutcome::Conflict(known.revision);
        }
        if known.revision == 0 && self.domains.len() >= MOST_DOMAINS {
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

    /// Returns the revision of the last change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of a failure domain's last change; 0 if it was
    /// never changed.
    pub fn revision_of(&self, domain: &str) -> u64 {
        let record = self.domains.get(domain);
        record.map_or(0, |record| record.revision)
    }

    /// Iterates over the failure domains that are out of use.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let domains = self.domains.iter();
        let out = domains.filter(|(_, record)| record.evacuated);
        out.map(|(domain, _)| &**domain)
    }
}
