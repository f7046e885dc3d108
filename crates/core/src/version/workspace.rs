//! Workspaces: who may ask, by which keys, how much, and where.
//!
//! A key is compared by a keyed digest of fixed length, so that the time of a
//! lookup tells nothing of a key's text. A checked table holds digests alone.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::finding::{FindingList, FindingPlace};

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Longest name of a workspace, in bytes.
const MOST_NAME_BYTES: usize = 256;

/// A caller's key as the operator writes it. Its text is never displayed or
/// serialized.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Returns the key with this text.
    pub fn new(text: impl Into<Box<str>>) -> CallerKey {
        CallerKey(text.into())
    }

    /// Returns its digest.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.0.as_bytes())
    }

    /// Returns what speaks against it, if it can't stand in a header.
    fn flaw(&self) -> Option<String> {
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

/// Digest of a caller's key, with a secret that is drawn once a process.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key.
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

/// What all entries together may run for a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageCap {
    /// Requests a second.
    pub per_s: f64,
    /// Requests at once besides.
    pub burst: f64,
}

/// A workspace as the operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Its name; servers are told it.
    pub name: String,
    /// Keys of its callers.
    #[serde(default, skip_serializing, deserialize_with = "read_keys")]
    pub keys: Vec<CallerKey>,
    /// Rank, if it has one of its own; it goes before the route's.
    #[serde(default)]
    pub rank: Option<u32>,
    /// Its cap, if it has one.
    #[serde(default)]
    pub cap: Option<UsageCap>,
    /// Regions in which its requests may be served; all, if it names none.
    #[serde(default, rename = "homes")]
    pub allowed_regions: Vec<String>,
}

/// Reads a list of keys. Its errors don't quote the input.
///
/// # Errors
///
/// Fails if the input is no list of texts.
pub fn read_keys<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<CallerKey>, D::Error> {
    let keys = Vec::<CallerKey>::deserialize(deserializer);
    keys.map_err(|_| serde::de::Error::custom("keys must be a list of texts"))
}

/// Place of a workspace in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkspaceIndex(usize);

/// The workspaces of a checked table.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceRegistry {
    rules: Vec<WorkspaceRule>,
    names: HashMap<Box<str>, WorkspaceIndex>,
    digests: HashMap<KeyDigest, WorkspaceIndex>,
}

impl WorkspaceRegistry {
    /// Checks the workspaces of a table and takes their keys in.
    pub fn check(mut rules: Vec<WorkspaceRule>, findings: &mut FindingList) -> WorkspaceRegistry {
        let mut book = WorkspaceRegistry::default();
        for (index, rule) in rules.iter().enumerate() {
            check_rule(rule, index, findings);
            let key = WorkspaceIndex(index);
            if book.names.insert(rule.name.as_str().into(), key).is_some() {
                let message = format!("there is another workspace {}", rule.name);
                findings.add(place(index, "name"), message);
            }
        }
        for index in 0..rules.len() {
            let keys = std::mem::take(&mut rules[index].keys);
            book.take_keys(&rules, index, &keys, findings);
        }
        book.rules = rules;
        book
    }

    /// Takes in the keys of one of these workspaces.
    fn take_keys(
        &mut self,
        rules: &[WorkspaceRule],
        index: usize,
        keys: &[CallerKey],
        findings: &mut FindingList,
    ) {
        let name = &rules[index].name;
        let mut flaws = HashSet::new();
        for key in keys {
            if let Some(flaw) = key.flaw() {
                flaws.insert(format!("{flaw} (workspace {name})"));
                continue;
            }
            match self.digests.entry(key.digest()) {
                Entry::Vacant(vacant) => {
                    vacant.insert(WorkspaceIndex(index));
                }
                Entry::Occupied(caller_workspace) if caller_workspace.get().0 == index => {
                    flaws.insert(format!("{name} has a key twice"));
                }
                Entry::Occupied(caller_workspace) => {
                    let other = &rules[caller_workspace.get().0].name;
                    flaws.insert(format!("{other} and {name} share a key"));
                }
            }
        }
        for flaw in flaws {
            findings.add(place(index, "keys"), flaw);
        }
    }

    /// Returns a workspace.
    pub fn rule(&self, key: WorkspaceIndex) -> &WorkspaceRule {
        &self.rules[key.0]
    }

    /// Returns all of them.
    pub fn rules(&self) -> &[WorkspaceRule] {
        &self.rules
    }

    /// Finds the workspace that holds a caller's key.
    pub fn caller_workspace(&self, digest: KeyDigest) -> Option<WorkspaceIndex> {
        self.digests.get(&digest).copied()
    }

    /// Finds a workspace by its name.
    pub fn find_by_name(&self, name: &str) -> Option<WorkspaceIndex> {
        self.names.get(name).copied()
    }
}

fn place(index: usize, column: &str) -> FindingPlace {
    FindingPlace::Cell {
        row: index + 1,
        column: format!("workspaces.{column}"),
    }
}

fn check_rule(rule: &WorkspaceRule, index: usize, findings: &mut FindingList) {
    let is_visible = rule.name.bytes().all(|byte| byte.is_ascii_graphic());
    if rule.name.is_empty() || rule.name.len() > MOST_NAME_BYTES || !is_visible {
        let message = format!("must be of 1 to {MOST_NAME_BYTES} visible ASCII characters");
        findings.add(place(index, "name"), message);
    }
    if let Some(cap) = rule.cap {
        let is_sound = |figure: f64| figure.is_finite() && figure >= 0.0;
        if !is_sound(cap.per_s) || !is_sound(cap.burst) {
            findings.add(place(index, "cap"), "must not be negative");
        }
    }
}
