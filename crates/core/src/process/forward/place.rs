//! How far off the servers and entries of a failure domain are.
//!
//! Bytes within a region cost a fraction of those between regions, and take a
//! tenth of the time. The region of each failure domain is in the settings; it
//! cannot be learned from the ways alone, as an entry that makes a request in
//! some seconds has been to few others.

use std::collections::BTreeMap;

/// How far off a failure domain is; the order is by distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlaceStep {
    /// The same failure domain.
    Domain,
    /// Another one of the same region.
    Region,
    /// Another region, or one that is not known.
    Elsewhere,
}

impl PlaceStep {
    /// Returns a word for logs.
    pub fn word(self) -> &'static str {
        match self {
            PlaceStep::Domain => "domain",
            PlaceStep::Region => "region",
            PlaceStep::Elsewhere => "elsewhere",
        }
    }
}

/// The regions of the failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl RegionMap {
    /// Returns the map of these pairs of failure domain and region.
    pub fn new(regions: impl IntoIterator<Item = (Box<str>, Box<str>)>) -> RegionMap {
        RegionMap {
            regions: regions.into_iter().collect(),
        }
    }

    /// Returns how far off a failure domain is from another.
    pub fn step(&self, own: &str, other: &str) -> PlaceStep {
        if own == other {
            return PlaceStep::Domain;
        }
        let region = self.regions.get(own);
        if region.is_some() && region == self.regions.get(other) {
            PlaceStep::Region
        } else {
            PlaceStep::Elsewhere
        }
    }
}
