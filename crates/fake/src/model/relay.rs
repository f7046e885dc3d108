//! What entries ask of each other in a play.

use std::time::Duration;

use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardAnswer};
use wheelmast_core::process::forward::input::{
    AttemptResult, BundleAnswer, ForwardCall, ForwardInput, RelayOrder,
};
use wheelmast_core::process::input::CallTag;

use crate::model::event::PlayEvent;
use crate::model::play::{PlayState, OPEN_TIME};
use crate::model::told::HOST;

/// What an entry asks of another.
#[derive(Debug)]
pub(super) struct RelayedCall {
    /// The try of a caller that it is for.
    pub(super) root: CallTag,
    asker: usize,
    attempt: SlotKey,
    server: ServerKey,
    asked: usize,
    /// Time there, or back.
    way: Duration,
    order: RelayOrder,
}

impl PlayState<'_> {
    /// Returns the try of a caller that a request is for.
    pub(super) fn root_of(&self, tag: CallTag) -> CallTag {
        self.relayed.get(&tag).map_or(tag, |call| call.root)
    }

    pub(super) fn send_relay(&mut self, asker: usize, order: &AttemptOrder, relay: RelayOrder) {
        let asked = self.entry_places[&order.instance];
        let is_near = self.entries[asker].domain == self.entries[asked].domain;
        let there_and_back = if is_near {
            self.spec.near_way
        } else {
            self.spec.far_way
        };
        let has_idle = self.entries[asker].take_idle(order.server);
        self.next_tag += 1;
        let tag = CallTag(self.next_tag);
        let call = RelayedCall {
            root: self.root_of(order.call),
            asker,
            attempt: order.attempt,
            server: order.server,
            asked,
            way: there_and_back / 2,
            order: relay,
        };
        self.relayed.insert(tag, call);
        self.entries[asker].relays.insert(order.attempt, tag);
        let is_cut = self.is_cut_between(asker, asked);
        if is_cut && has_idle {
            return;
        }
        if is_cut {
            let end = Box::new(AttemptResult::Unsent);
            let event = PlayEvent::RelayEnd { tag, end };
            return self.events.push(self.now + OPEN_TIME, event);
        }
        let mut takes = there_and_back / 2;
        if !has_idle {
            takes += there_and_back;
            let connected = ForwardInput::Connected {
                server: order.server,
                took: there_and_back,
            };
            let _ = self.entries[asker].step(self.now, connected);
        }
        self.events
            .push(self.now + takes, PlayEvent::RelayReach { tag });
    }

    pub(super) fn relay_reaches(&mut self, tag: CallTag) {
        let Some(call) = self.relayed.get(&tag) else {
            return;
        };
        if self.is_cut_between(call.asker, call.asked) {
            return;
        }
        let Some((caller, _)) = self.tries.get(&call.root) else {
            return;
        };
        let caller = &self.callers[*caller];
        let (name, mark) = (self.spec.kinds[caller.kind].name, caller.mark);
        let asked = call.asked;
        // It is told how much time is left, not until when.
        let order = RelayOrder {
            answer_by: call.order.answer_by + call.way,
            ..call.order.clone()
        };
        let sign = PlayEvent::RelaySign { tag };
        self.events.push(self.now + call.way, sign);
        let input = ForwardCall {
            tag,
            host: HOST.into(),
            path: format!("/{name}/x").into(),
            mark,
            key: None,
            arrived_at: self.now,
            time_left: None,
            relayed: Some(order),
        };
        self.step(asked, ForwardInput::Call(input));
    }

    pub(super) fn relay_signs(&mut self, tag: CallTag) {
        let Some(call) = self.relayed.get(&tag) else {
            return;
        };
        if self.is_cut_between(call.asker, call.asked) {
            return;
        }
        let (asker, attempt) = (call.asker, call.attempt);
        self.step(asker, ForwardInput::RelayAcknowledged(attempt));
    }

    pub(super) fn grant(&mut self, asker: usize, attempt: SlotKey, attempts: u32) {
        let Some(tag) = self.entries[asker].relays.get(&attempt).copied() else {
            return;
        };
        let way = self
            .relayed
            .get(&tag)
            .map_or(Duration::ZERO, |call| call.way);
        let event = PlayEvent::RelayGrant { tag, attempts };
        self.events.push(self.now + way, event);
    }

    pub(super) fn relay_granted(&mut self, tag: CallTag, attempts: u32) {
        let Some(call) = self.relayed.get(&tag) else {
            return;
        };
        if !self.is_cut_between(call.asker, call.asked) {
            let asked = call.asked;
            self.step(asked, ForwardInput::AllowanceRaised(tag, attempts));
        }
    }

    /// Takes the answer of an entry that was asked by another. Returns false
    /// if a caller asked for it.
    pub(super) fn relay_answered(&mut self, tag: CallTag, answer: &ForwardAnswer) -> bool {
        let Some(call) = self.relayed.get(&tag) else {
            return false;
        };
        if self.is_cut_between(call.asker, call.asked) {
            return true;
        }
        let end = match answer {
            ForwardAnswer::Gathered {
                stamps,
                shards,
                top,
                ..
            } => {
                let parts = shards.iter().zip(stamps);
                AttemptResult::Bundle(BundleAnswer {
                    parts: parts
                        .map(|(shard, stamp)| ((**shard).into(), stamp.clone()))
                        .collect(),
                    top: Some(*top),
                    body: bytes::Bytes::new(),
                })
            }
            ForwardAnswer::Failure { failure, .. } if failure.is_known_unrun() => {
                AttemptResult::Unsent
            }
            ForwardAnswer::Failure { .. } | ForwardAnswer::Server(_) => AttemptResult::Broken,
        };
        let event = PlayEvent::RelayEnd {
            tag,
            end: Box::new(end),
        };
        self.events.push(self.now + call.way, event);
        true
    }

    pub(super) fn relay_ended(&mut self, tag: CallTag, end: AttemptResult) {
        let Some(call) = self.relayed.remove(&tag) else {
            return;
        };
        let entry = &mut self.entries[call.asker];
        if entry.relays.remove(&call.attempt).is_none() {
            return;
        }
        if matches!(end, AttemptResult::Bundle(_)) {
            entry.keep_idle(call.server, self.now);
        }
        let attempt = call.attempt;
        self.step(call.asker, ForwardInput::AttemptEnded { attempt, end });
    }

    /// Closes the connection on which another entry was asked.
    pub(super) fn cancel_relay(&mut self, asker: usize, attempt: SlotKey) {
        let Some(tag) = self.entries[asker].relays.remove(&attempt) else {
            return;
        };
        if let Some(call) = self.relayed.get(&tag) {
            self.events
                .push(self.now + call.way, PlayEvent::RelayLeft { tag });
        }
        let end = AttemptResult::Broken;
        self.step(asker, ForwardInput::AttemptEnded { attempt, end });
    }

    pub(super) fn relay_left(&mut self, tag: CallTag) {
        let Some(call) = self.relayed.get(&tag) else {
            return;
        };
        if !self.is_cut_between(call.asker, call.asked) {
            let asked = call.asked;
            self.step(asked, ForwardInput::CallerLeft(tag));
        }
    }

    fn is_cut_between(&self, asker: usize, asked: usize) -> bool {
        self.entries[asker].is_cut(self.now) || self.entries[asked].is_cut(self.now)
    }
}
