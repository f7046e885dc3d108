//! Queues of shards that wait until one of their servers has free capacity.
//!
//! This instance limits the subqueries it has outstanding at each server. A shard whose
//! servers are all at that limit is put into the queue of each of them, and is sent to the
//! first one that gets free capacity.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::action::EntryAction;
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::process::roster::QueuedShard;
use crate::request::decision::{RouteDecision, SendCause};
use crate::request::query::ShardStatus;

/// Length of a server's queue from which entries of ended queries are removed before a new
/// entry is added.
const WAITER_PRUNE_THRESHOLD: usize = 1024;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Adds a shard to the queue of each live server that holds the shard.
    pub(super) fn enqueue_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let shard = &mut state.shards[index];
        if shard.is_queued {
            return;
        }
        shard.is_queued = true;
        let number = shard.number;
        let (Some(upstream), snapshot) = (state.upstream, state.snapshot) else {
            return;
        };
        let ticket = QueuedShard {
            query,
            index: index as u32,
        };
        for place in 0..self.roster.shard_servers(upstream, snapshot, number).len() {
            let server = self.roster.shard_servers(upstream, snapshot, number)[place];
            let queries = &self.queries;
            let record = self.roster.server_mut(server);
            if record.queued_shards.len() >= WAITER_PRUNE_THRESHOLD {
                record
                    .queued_shards
                    .retain(|ticket| queries.get(ticket.query).is_some());
            }
            if record.is_live(now) {
                record.queued_shards.push_back(ticket);
            }
        }
        self.record_query_decision(query, now, out, |_| RouteDecision::Wait { shard: number });
    }

    /// Routes queued shards while their server has free capacity.
    pub(super) fn route_queued_shards(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        loop {
            let record = self.roster.server_mut(server);
            if !record.has_capacity() || !record.is_live(now) {
                return;
            }
            let Some(ticket) = record.queued_shards.pop_front() else {
                return;
            };
            let index = ticket.index as usize;
            if self.is_still_queued(ticket) {
                let cause = self.next_send_cause(ticket.query, index);
                self.clear_queued(ticket);
                if cause.spends_budget() && !self.allows_retry(ticket.query) {
                    // The budget has no token for a retry: the next sweep either sends the
                    // shard or gives it up.
                    continue;
                }
                self.route_shard(ticket.query, index, cause, now, out);
                if self.is_still_queued(ticket) {
                    // The server has capacity, but the shard was queued again to wait for
                    // a better server. Leave the rest of the queue until the next call.
                    return;
                }
            }
        }
    }

    /// Records that a shard is no longer queued.
    fn clear_queued(&mut self, ticket: QueuedShard) {
        if let Some(state) = self.queries.get_mut(ticket.query) {
            state.shards[ticket.index as usize].is_queued = false;
        }
    }

    /// Returns whether the shard of a queue entry is still queued, not yet answered or given
    /// up, and without outstanding attempts.
    fn is_still_queued(&self, ticket: QueuedShard) -> bool {
        let state = self.queries.get(ticket.query);
        let shard = state.and_then(|state| state.shards.get(ticket.index as usize));
        shard.is_some_and(|shard| {
            shard.is_queued && shard.status == ShardStatus::Open && shard.attempts.is_empty()
        })
    }

    /// Returns the cause to record for the next send of a shard that has no attempt
    /// outstanding: first send, resend of a subquery that was never written, or retry.
    pub(super) fn next_send_cause(&self, query: SlotKey, index: usize) -> SendCause {
        let Some(state) = self.queries.get(query) else {
            return SendCause::First;
        };
        let shard = &state.shards[index];
        match (shard.sends, shard.was_last_unsent) {
            (0, _) => SendCause::First,
            (_, true) => SendCause::Resend,
            (_, false) => SendCause::Retry,
        }
    }
}
