//! Counts of the messages that this control instance has sent, by recipient and kind.

use std::collections::BTreeMap;
use std::fmt;

/// The kind of recipient of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficTarget {
    /// An entry.
    Entry,
    /// Another control instance.
    Control,
}

impl TrafficTarget {
    /// Returns the label for metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            TrafficTarget::Entry => "entry",
            TrafficTarget::Control => "control",
        }
    }
}

/// Number of messages and their encoded size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of messages.
    pub messages: u64,
    /// Total size, in bytes.
    pub bytes: u64,
}

/// Counts of sent messages since the start, by recipient and kind.
#[derive(Debug, Clone, Default)]
pub struct TrafficStats {
    counts: BTreeMap<(TrafficTarget, &'static str), TrafficCount>,
}

impl TrafficStats {
    /// Counts a sent message of this kind.
    pub fn add(&mut self, target: TrafficTarget, kind: &'static str, bytes: usize) {
        let count = self.counts.entry((target, kind)).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// Iterates over the counts.
    pub fn iter(&self) -> impl Iterator<Item = (TrafficTarget, &'static str, TrafficCount)> + '_ {
        let counts = self.counts.iter();
        counts.map(|((target, kind), count)| (*target, *kind, *count))
    }
}

/// Writes target, kind, messages and bytes of each count, for logs.
impl fmt::Display for TrafficStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (target, kind, count) in self.iter() {
            let TrafficCount { messages, bytes } = count;
            write!(f, "{}.{kind}={messages}/{bytes} ", target.label())?;
        }
        Ok(())
    }
}
