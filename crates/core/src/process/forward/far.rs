//! Parts that must come from another region, beside a near server that is slow.
//!
//! Load that is met: most near shards have answered, and those whose servers
//! pause or are slow are asked for in another region. Asked for one by one,
//! each costs the bytes of a whole part and its heads. Asked for together,
//! through an entry over there which is told the least record that still counts
//! here, only what is above that travels: of a part of 62 records, less than
//! one on average once 85 of 90 parts are in.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::bundle::BundlePlan;
use crate::process::forward::call::{CallState, PartStatus};
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::input::BundleForm;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::PlaceStep;
use crate::request::records::{PartRecord, RecordMerge};

/// Time that another entry takes besides the way and its server's work: it is
/// read, decides, and writes.
const HOP_TIME: Duration = Duration::from_millis(8);

/// Shards of a route up to which each is worth a far hedge by itself as soon as
/// it is slow: what is left out of so few costs a tenth of the answer.
const DEAR_SHARDS: f64 = 20.0;

/// How a part of another region is asked for beside a near server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FarWay {
    /// By itself, at its server.
    #[default]
    Direct,
    /// With others, through an entry over there.
    Relayed,
}

impl FarWay {
    /// Names of the ways in the settings.
    pub const WORDS: [&'static str; 2] = ["direct", "relayed"];

    /// Returns the way of a name; the usual one if there is none of that name.
    pub fn of_word(word: &str) -> FarWay {
        match word {
            "relayed" => FarWay::Relayed,
            _ => FarWay::Direct,
        }
    }

    /// Returns which part of the time between a shard's becoming slow and the
    /// last moment for a hedge is waited, of a route of `shards`.
    pub(super) fn patience(self, shards: usize) -> f64 {
        match self {
            FarWay::Direct => (1.0 - DEAR_SHARDS / shards.max(1) as f64).max(0.0),
            FarWay::Relayed => 0.0,
        }
    }

    /// Returns the time that it takes beyond a server's answer.
    pub(super) fn hop(self) -> Duration {
        match self {
            FarWay::Direct => Duration::ZERO,
            FarWay::Relayed => HOP_TIME,
        }
    }
}

/// A part that is to be asked for in another region, with the server chosen.
#[derive(Debug)]
pub(super) struct FarPart {
    pub(super) part: usize,
    pub(super) cause: AttemptCause,
    pub(super) choice: ServerChoice,
}

impl ForwardMachine {
    /// Tells whether a part of a request is asked for along with others of its
    /// region. Not if an entry was silent about it: its time is short, and the
    /// entries over there may be out of reach.
    pub(super) fn goes_with_others(
        &self,
        state: &CallState,
        part: usize,
        choice: ServerChoice,
    ) -> bool {
        self.options.far == FarWay::Relayed
            && state.gathers
            && !self.is_with_late_relay(&state.parts[part])
            && self.servers[choice.server.key()].place == PlaceStep::Elsewhere
    }

    /// Returns how a part is asked for at a server of another region: by itself
    /// if no entry is there.
    pub(super) fn far_way(&self, choice: ServerChoice) -> FarWay {
        let domain = &self.servers[choice.server.key()].domain;
        let mut domains = self.peer_domains.iter();
        let entries = domains.find(|(name, _)| name == domain);
        let has_entry = entries.is_some_and(|(_, entries)| {
            let servers = &self.upstreams[*entries].servers;
            !servers.is_empty()
        });
        if has_entry {
            self.options.far
        } else {
            FarWay::Direct
        }
    }

    /// Sends parts to another region: those of a failure domain together, if an
    /// entry there can be asked in time, the others by themselves.
    pub(super) fn send_far(
        &mut self,
        call: SlotKey,
        mut far: Vec<FarPart>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        while let Some(first) = far.first() {
            let domain = self.servers[first.choice.server.key()].domain.clone();
            let is_there = |part: &FarPart| {
                let server = &self.servers[part.choice.server.key()];
                server.domain == domain
            };
            let (there, rest) = far.into_iter().partition(is_there);
            far = rest;
            self.send_there(call, &domain, there, now, out);
        }
    }

    fn send_there(
        &mut self,
        call: SlotKey,
        domain: &str,
        parts: Vec<FarPart>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(plan) = self.plan_far(call, domain, &parts, now) else {
            for part in parts {
                self.send_to(call, part.part, part.cause, part.choice, now, out);
            }
            return;
        };
        self.send_bundle(call, plan, now, out);
    }

    /// Plans to ask an entry for parts, if one is there and has the time.
    fn plan_far(
        &mut self,
        call: SlotKey,
        domain: &str,
        parts: &[FarPart],
        now: Duration,
    ) -> Option<BundlePlan> {
        let state = self.calls.get(call)?;
        let slowest = parts.iter().map(|part| part.choice.expected).max()?;
        if now + slowest + HOP_TIME > state.plan.aim {
            return None;
        }
        let mut domains = self.peer_domains.iter();
        let (_, entries) = domains.find(|(name, _)| **name == *domain)?;
        let own = &self.options.own;
        let choice = self.entry_for(*entries, own, false, state.homes, &[], now)?;
        let state = self.calls.get_mut(call)?;
        Some(BundlePlan {
            choice,
            parts: parts.iter().map(|part| part.part).collect(),
            divides: false,
            form: BundleForm::Apart {
                above: state.least_of_use(),
            },
        })
    }
}

impl CallState {
    /// Returns the least record that can still be in the answer, if there are
    /// as many as the answer takes. The parts it comes from are then kept as
    /// they are: what is below it is asked of nobody any more.
    fn least_of_use(&mut self) -> Option<PartRecord> {
        let mut merge = RecordMerge::new(self.rule().top);
        for part in &self.parts {
            if let PartStatus::Answered { body, .. } = &part.status {
                merge.take(body);
            }
        }
        let least = merge.least()?;
        for part in &mut self.parts {
            part.anchored |= !part.is_open();
        }
        Some(least)
    }
}
