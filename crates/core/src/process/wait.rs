//! Shards that wait until a server has room.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::action::EntryAction;
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::process::roster::QueuedShard;
use crate::request::decision::{RouteDecision, SendCause};
use crate::request::query::ShardStatus;

/// Waiting tickets of a server above which stale ones are swept out.
const TICKETS_SWEPT: usize = 1024;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Puts a shard into the queues of the servers that could take it.
    pub(super) fn wait_for_room(
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
        if shard.waits {
            return;
        }
        shard.waits = true;
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
            if record.queued_shards.len() >= TICKETS_SWEPT {
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

    /// Gives a server's free room to the shards that wait for it.
    pub(super) fn serve_waiters(
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
            if self.still_waits(ticket) {
                let cause = self.next_cause(ticket.query, index);
                self.clear_wait(ticket);
                if cause.draws_budget() && !self.allows_retry(ticket.query) {
                    // The next sweep decides what becomes of it.
                    continue;
                }
                self.route_shard(ticket.query, index, cause, now, out);
                if self.still_waits(ticket) {
                    // The server has room, yet the shard waits for a better
                    // one: leave the rest of the queue for the next time.
                    return;
                }
            }
        }
    }

    fn clear_wait(&mut self, ticket: QueuedShard) {
        if let Some(state) = self.queries.get_mut(ticket.query) {
            state.shards[ticket.index as usize].waits = false;
        }
    }

    fn still_waits(&self, ticket: QueuedShard) -> bool {
        let state = self.queries.get(ticket.query);
        let shard = state.and_then(|state| state.shards.get(ticket.index as usize));
        shard.is_some_and(|shard| {
            shard.waits && shard.status == ShardStatus::Open && shard.attempts.is_empty()
        })
    }

    /// Returns the cause of the next send of a shard without attempts.
    pub(super) fn next_cause(&self, query: SlotKey, index: usize) -> SendCause {
        let Some(state) = self.queries.get(query) else {
            return SendCause::First;
        };
        let shard = &state.shards[index];
        match (shard.sends, shard.unsent) {
            (0, _) => SendCause::First,
            (_, true) => SendCause::Resend,
            (_, false) => SendCause::Retry,
        }
    }
}
