//! Proximity of failure domains: the same domain, the same region or elsewhere.
//!
//! Traffic within a region costs a fraction of traffic between regions and takes a tenth
//! of the time. The settings give the region of each failure domain. The regions cannot be
//! derived from measured round-trip times, as an entry with one request in several seconds
//! has contacted few other domains.

use std::collections::BTreeMap;

use crate::process::forward::region_set::{RegionKey, RegionSet};

/// How near a failure domain is to the local one. Nearer values sort first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DomainProximity {
    /// The same failure domain.
    Domain,
    /// Another failure domain of the same region.
    Region,
    /// Another region, or an unknown one.
    Elsewhere,
}

impl DomainProximity {
    /// Returns the name that is used in logs.
    pub fn label(self) -> &'static str {
        match self {
            DomainProximity::Domain => "domain",
            DomainProximity::Region => "region",
            DomainProximity::Elsewhere => "elsewhere",
        }
    }
}

/// Maps each failure domain to its region, as the settings give them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    /// Index in `names` of each failure domain's region.
    regions: BTreeMap<Box<str>, usize>,
    /// Names of the regions, sorted and without duplicates.
    names: Vec<Box<str>>,
}

impl RegionMap {
    /// Creates a map from pairs of failure domain and region.
    pub fn new(regions: impl IntoIterator<Item = (Box<str>, Box<str>)>) -> RegionMap {
        let pairs: BTreeMap<Box<str>, Box<str>> = regions.into_iter().collect();
        let mut names: Vec<Box<str>> = pairs.values().cloned().collect();
        names.sort_unstable();
        names.dedup();
        let index = |region: &str| names.partition_point(|name| **name < *region);
        let pairs = pairs.iter();
        let regions = pairs.map(|(domain, region)| (domain.clone(), index(region)));
        RegionMap {
            regions: regions.collect(),
            names,
        }
    }

    /// Returns the number of failure domains.
    pub fn domain_count(&self) -> usize {
        self.regions.len()
    }

    /// Returns the region of a failure domain, or [`RegionKey::UNKNOWN`] if the settings
    /// do not name the domain.
    pub fn region_of(&self, domain: &str) -> RegionKey {
        let index = self.regions.get(domain);
        index.map_or(RegionKey::UNKNOWN, |index| RegionKey::new(*index))
    }

    /// Returns the set of regions with these names, which a route or a workspace allows, or
    /// all regions if `names` is empty. Unknown names are ignored.
    pub fn allowed_regions(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ANYWHERE;
        }
        let indexes = names
            .iter()
            .filter_map(|name| self.names.iter().position(|region| **region == **name));
        RegionSet::of(indexes.map(RegionKey::new))
    }

    /// Returns the names of the regions in a set, for [`RegionMap::allowed_regions`]; none
    /// if the set contains all regions.
    pub fn names_of(&self, regions: RegionSet) -> Vec<String> {
        if regions == RegionSet::ANYWHERE {
            return Vec::new();
        }
        let names = self.names.iter().enumerate();
        let names = names.filter(|(index, _)| regions.contains(RegionKey::new(*index)));
        names.map(|(_, name)| name.to_string()).collect()
    }

    /// Returns whether the settings name a failure domain. True for every domain if the
    /// settings name none.
    pub fn is_known(&self, domain: &str) -> bool {
        self.regions.is_empty() || self.regions.contains_key(domain)
    }

    /// Returns the proximity of two failure domains.
    pub fn proximity(&self, local: &str, other: &str) -> DomainProximity {
        if local == other {
            return DomainProximity::Domain;
        }
        let region = self.regions.get(local);
        if region.is_some() && region == self.regions.get(other) {
            DomainProximity::Region
        } else {
            DomainProximity::Elsewhere
        }
    }
}
