//! Failure domains that operators took out of use, as the log keeps them.
//!
//! An order may be sent more than once and come late: an instance that was cut
//! off passes on what it held long after the operator gave up. So each order
//! names the last one on its failure domain that is known. One that knows an older
//! one changes nothing, and whoever passed it on tries again while its operator
//! still waits. An order that finds what it asks for counts as well: what was held
//! up before it must not undo it once it was acknowledged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most failure domains that are remembered. A deployment has a few; the bound
/// keeps an operator's slip in a script from filling the disk.
pub const MAX_DOMAINS: usize = 1024;

/// An order on whether a failure domain is in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: Box<str>,
    /// Whether it is to be out of use.
    pub evacuated: bool,
    /// Revision of the last order on it that is known; 0 for none.
    pub base: u64,
}

/// What came of an [`EvacuationChange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// It is so, since this revision.
    Stands(u64),
    /// It was based on another order than this, the last on its domain.
    Conflict(u64),
    /// Too many failure domains are remembered.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DomainRecord {
    revision: u64,
    evacuated: bool,
}

/// All failure domains that there was ever an order on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRegistry {
    /// Grows with each order.
    revision: u64,
    domains: BTreeMap<Box<str>, DomainRecord>,
}

impl EvacuationRegistry {
    /// Takes an order.
    pub fn apply(&mut self, change: &EvacuationChange) -> EvacuationOutcome {
        let known = self.revision_of(&change.domain);
        if known != change.base {
            return EvacuationOutcome::Conflict(known);
        }
        if known == 0 && self.domains.len() >= MAX_DOMAINS {
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

    /// Returns the revision of the last order; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last order on a failure domain; 0 if there
    /// was none.
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
