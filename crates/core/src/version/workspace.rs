//! Workspaces: the customers that may send requests, with their caller keys, usage
//! caps and allowed regions.
//!
//! A lookup compares keyed digests of fixed length, so that its duration reveals
//! nothing about a key's text. A checked table holds digests only, no keys.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::finding::{FindingList, FindingPlace};

/// Maximum length of a caller key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Maximum length of a workspace's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A caller's key as the operator defines it. Its text is never displayed or
/// serialized.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Creates a key with this text.
    pub fn new(text: impl Into<Box<str>>) -> CallerKey {
        CallerKey(text.into())
    }

    /// Returns the digest of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.0.as_bytes())
    }

    /// Returns why the key is invalid as the value of a request header, or `None` if
    /// it is valid.
    fn invalid_reason(&self) -> Option<String> {
        if self.0.is_empty() {
            return Some("a key must not be empty".to_string());
        }
        if self.0.len() > MAX_KEY_BYTES {
            return Some(format!("a key must have at most {MAX_KEY_BYTES} bytes"));
        }
        let is_visible = self.0.bytes().all(|byte| byte.is_ascii_graphic());
        (!is_visible).then(|| "a key must be of visible ASCII characters".to_string())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Digest of a caller's key, computed with a secret that each process draws once
/// at random.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key's bytes.
    pub fn of(key: &[u8]) -> KeyDigest {
        static SECRETS: OnceLock<[RandomState; 2]> = OnceLock::new();
        let [high, low] = SECRETS.get_or_init(|| [RandomState::new(), RandomState::new()]);
        let high = u128::from(high.hash_one(key));
        let low = u128::from(low.hash_one(key));
        KeyDigest(high << u64::BITS | low)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests that all entries together may run for a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageCap {
    /// Requests per second.
    pub per_s: f64,
    /// Number of requests that may run in a burst, in addition to the rate.
    pub burst: f64,
}

/// A workspace as the operator defines it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name of the workspace, which is sent to the servers with each request.
    pub name: String,
    /// Keys of the workspace's callers.
    #[serde(default, skip_serializing, deserialize_with = "read_keys")]
    pub keys: Vec<CallerKey>,
    /// Priority rank of the workspace's requests; it overrides the rank of the
    /// route.
    #[serde(default)]
    pub rank: Option<u32>,
    /// Usage cap of the workspace; `None` means no limit.
    #[serde(default)]
    pub cap: Option<UsageCap>,
    /// Regions in which the workspace's requests may be served; empty allows all
    /// regions.
    #[serde(default)]
    pub homes: Vec<String>,
}

/// Deserializes a list of keys. Error messages do not quote the input, because it
/// may contain secrets.
///
/// # Errors
///
/// Returns an error if the input is not a list of strings.
pub fn read_keys<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<CallerKey>, D::Error> {
    let keys = Vec::<CallerKey>::deserialize(deserializer);
    keys.map_err(|_| serde::de::Error::custom("keys must be a list of texts"))
}

/// Index of a workspace in its [`WorkspaceRegistry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkspaceIndex(usize);

/// The workspaces of a checked route table, with lookups by name and key digest.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceRegistry {
    rules: Vec<WorkspaceRule>,
    names: HashMap<Box<str>, WorkspaceIndex>,
    digests: HashMap<KeyDigest, WorkspaceIndex>,
    all_capped: bool,
}

impl WorkspaceRegistry {
    /// Checks the workspaces of a table and builds a registry with the digests of
    /// their keys. Adds all problems to `findings`.
    pub fn check(mut rules: Vec<WorkspaceRule>, findings: &mut FindingList) -> WorkspaceRegistry {
        let mut registry = WorkspaceRegistry::default();
        for (index, rule) in rules.iter().enumerate() {
            check_rule(rule, index, findings);
            let workspace = WorkspaceIndex(index);
            if registry
                .names
                .insert(rule.name.as_str().into(), workspace)
                .is_some()
            {
                let message = format!("there is another workspace {}", rule.name);
                findings.add(finding_place(index, "name"), message);
            }
        }
        for index in 0..rules.len() {
            let keys = std::mem::take(&mut rules[index].keys);
            registry.add_keys(&rules, index, &keys, findings);
        }
        registry.all_capped = rules.iter().all(|rule| rule.cap.is_some());
        registry.rules = rules;
        registry
    }

    /// Checks the keys of the workspace with this index and adds their digests.
    fn add_keys(
        &mut self,
        rules: &[WorkspaceRule],
        index: usize,
        keys: &[CallerKey],
        findings: &mut FindingList,
    ) {
        let name = &rules[index].name;
        let mut messages = HashSet::new();
        for key in keys {
            if let Some(reason) = key.invalid_reason() {
                messages.insert(format!("{reason} (workspace {name})"));
                continue;
            }
            match self.digests.entry(key.digest()) {
                Entry::Vacant(vacant) => {
                    vacant.insert(WorkspaceIndex(index));
                }
                Entry::Occupied(occupied) if occupied.get().0 == index => {
                    messages.insert(format!("{name} has a key twice"));
                }
                Entry::Occupied(occupied) => {
                    let other = &rules[occupied.get().0].name;
                    messages.insert(format!("{other} and {name} share a key"));
                }
            }
        }
        for message in messages {
            findings.add(finding_place(index, "keys"), message);
        }
    }

    /// Returns the workspace with this index.
    pub fn rule(&self, index: WorkspaceIndex) -> &WorkspaceRule {
        &self.rules[index.0]
    }

    /// Returns all workspaces.
    pub fn rules(&self) -> &[WorkspaceRule] {
        &self.rules
    }

    /// Returns whether every workspace has a usage cap.
    pub fn are_all_capped(&self) -> bool {
        self.all_capped
    }

    /// Finds the workspace of the caller whose key has this digest.
    pub fn caller_workspace(&self, digest: KeyDigest) -> Option<WorkspaceIndex> {
        self.digests.get(&digest).copied()
    }

    /// Finds a workspace by its name.
    pub fn find_by_name(&self, name: &str) -> Option<WorkspaceIndex> {
        self.names.get(name).copied()
    }
}

/// Returns the place of a finding about a property of the workspace with this
/// index.
fn finding_place(index: usize, column: &str) -> FindingPlace {
    FindingPlace::Cell {
        row: index + 1,
        column: format!("workspaces.{column}"),
    }
}

fn check_rule(rule: &WorkspaceRule, index: usize, findings: &mut FindingList) {
    let is_visible = rule.name.bytes().all(|byte| byte.is_ascii_graphic());
    if rule.name.is_empty() || rule.name.len() > MAX_NAME_BYTES || !is_visible {
        let message = format!("must be of 1 to {MAX_NAME_BYTES} visible ASCII characters");
        findings.add(finding_place(index, "name"), message);
    }
    if let Some(cap) = rule.cap {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(cap.per_s) || !is_valid(cap.burst) {
            findings.add(finding_place(index, "cap"), "must not be negative");
        }
    }
}
