//! How far off the servers and entries of a failure domain are.
//!
//! Bytes within a region cost a fraction of those between regions, and take a
//! tenth of the time. The region of each failure domain is in the settings; it
//! cannot be learned from the ways alone, as an entry that makes a request in
//! some seconds has been to few others.

use std::collections::BTreeMap;

use crate::process::forward::region_set::{RegionKey, RegionSet};

/// How far off a failure domain is; the order is by distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DomainProximity {
    /// The same failure domain.
    Domain,
    /// Another one of the same region.
    Region,
    /// Another region, or one that is not known.
    Elsewhere,
}

impl DomainProximity {
    /// Returns a word for logs.
    pub fn word(self) -> &'static str {
        match self {
            DomainProximity::Domain => "domain",
            DomainProximity::Region => "region",
            DomainProximity::Elsewhere => "elsewhere",
        }
    }
}

/// The regions of the failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    /// Places of the regions in `names`, by failure domain.
    regions: BTreeMap<Box<str>, usize>,
    /// The regions, in the order of their names.
    names: Vec<Box<str>>,
}

impl RegionMap {
    /// Returns the map of these pairs of failure domain and region.
    pub fn new(regions: impl IntoIterator<Item = (Box<str>, Box<str>)>) -> RegionMap {
        let pairs: BTreeMap<Box<str>, Box<str>> = regions.into_iter().collect();
        let mut names: Vec<Box<str>> = pairs.values().cloned().collect();
        names.sort_unstable();
        names.dedup();
        let place = |region: &str| names.partition_point(|name| **name < *region);
        let pairs = pairs.iter();
        let regions = pairs.map(|(domain, region)| (domain.clone(), place(region)));
        RegionMap {
            regions: regions.collect(),
            names,
        }
    }

    /// Returns the number of failure domains.
    pub fn domain_count(&self) -> usize {
        self.regions.len()
    }

    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &str) -> RegionKey {
        let place = self.regions.get(domain);
        place.map_or(RegionKey::UNKNOWN, |place| RegionKey::new(*place))
    }

    /// Returns the set of the regions of these names; all regions if there are
    /// none. A name that is not known stands for no failure domain.
    pub fn homes(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ANYWHERE;
        }
        let places = names
            .iter()
            .filter_map(|name| self.names.iter().position(|region| **region == **name));
        RegionSet::of(places.map(RegionKey::new))
    }

    /// Tells whether a failure domain is among those known. All are taken for
    /// known if the settings name none.
    pub fn is_known(&self, domain: &str) -> bool {
        self.regions.is_empty() || self.regions.contains_key(domain)
    }

    /// Returns how far off a failure domain is from another.
    pub fn proximity(&self, own: &str, other: &str) -> DomainProximity {
        if own == other {
            return DomainProximity::Domain;
        }
        let region = self.regions.get(own);
        if region.is_some() && region == self.regions.get(other) {
            DomainProximity::Region
        } else {
            DomainProximity::Elsewhere
        }
    }
}
