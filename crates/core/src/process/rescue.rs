//! Taking outstanding attempts back from servers that are lost.
//!
//! A lost server does no work, so what is sent in its place is no extra load:
//! a rescue draws on no budget. It is bounded all the same, by what this
//! instance may have outstanding at the servers and by the row's retries.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::action::EntryAction;
use crate::process::admission::is_repeatable;
use crate::process::domain::SUSPECT_PERIOD;
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::process::replies::CancelCause;
use crate::process::route::RouteOutcome;
use crate::request::answer::MissingReason;
use crate::request::decision::{RouteDecision, SendCause};
use crate::request::query::ShardStatus;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Takes a timeout into account for the server's whole domain.
    pub(super) fn watch_domain(
        &mut self,
        server: ServerKey,
        sent_at: Duration,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let domain = self.roster.server(server).domain;
        if !self
            .roster
            .domain_mut(domain)
            .record_timeout(server, sent_at)
        {
            return;
        }
        self.counters.suspicions += 1;
        let record = self.roster.domain(domain);
        let name = record.name.clone();
        let servers = record.servers.clone();
        for server in &servers {
            let health = &mut self.roster.server_mut(*server).health;
            health.eject_for_domain(SUSPECT_PERIOD, now);
        }
        let decision = RouteDecision::Suspect {
            domain: name,
            period: SUSPECT_PERIOD,
        };
        self.record_decision(None, decision, now, out);
        self.rescue(&servers, now, out);
    }

    /// Cancels the attempts outstanding at `servers` and sends for their
    /// shards elsewhere.
    pub(super) fn rescue(
        &mut self,
        servers: &[ServerKey],
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        for key in self.attempts.keys() {
            let Some(attempt) = self.attempts.get(key) else {
                continue;
            };
            let (query, index) = (attempt.query, attempt.index as usize);
            if servers.contains(&attempt.server) && self.may_rescue(query) {
                self.cancel_attempt(key, CancelCause::Unwanted, now, out);
                self.resend(query, index, now, out);
            }
        }
    }

    fn may_rescue(&self, query: SlotKey) -> bool {
        let state = self.queries.get(query);
        state.is_some_and(|state| is_repeatable(state.row.kind))
    }

    fn resend(&mut self, query: SlotKey, index: usize, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let Some(shard) = state.shards.get_mut(index) else {
            return;
        };
        if shard.status != ShardStatus::Open || !shard.attempts.is_empty() {
            return;
        }
        shard.trouble = Some(MissingReason::TooLate);
        let is_spent = shard.sends > state.row.retries;
        if is_spent || !self.has_good_server(query, index, now) {
            return self.give_up(query, index, MissingReason::TooLate, now, out);
        }
        let outcome = self.route_shard(query, index, SendCause::Rescue, now, out);
        if outcome == RouteOutcome::NoServer {
            self.give_up(query, index, MissingReason::TooLate, now, out);
        }
    }
}
