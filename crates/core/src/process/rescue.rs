//! Rescue of attempts: outstanding attempts of a lost server are cancelled and their shards
//! sent to other servers at once.
//!
//! A server is lost when it is ejected for failures or when its failure domain is suspected
//! to be unreachable. A lost server does no work, so a rescue adds no load and is not
//! charged to the extra-load budget. Rescues are still bounded by the number of subqueries
//! that this instance may have outstanding at each server and by the service's retry limit.

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
    /// Records a timeout against the server's failure domain.
    ///
    /// If enough servers of the domain have timed out with no reply from the domain in
    /// between, avoids all its servers for [`SUSPECT_PERIOD`] and rescues their attempts.
    pub(super) fn record_domain_timeout(
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
        self.rescue_attempts(&servers, now, out);
    }

    /// Cancels the attempts outstanding at `servers` and sends their shards to other
    /// servers. Skips requests that may not be repeated.
    pub(super) fn rescue_attempts(
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
                self.cancel_attempt(key, CancelCause::NoLongerNeeded, now, out);
                self.resend_shard(query, index, now, out);
            }
        }
    }

    /// Returns whether the query's subqueries may be sent to a second server.
    fn may_rescue(&self, query: SlotKey) -> bool {
        let state = self.queries.get(query);
        state.is_some_and(|state| is_repeatable(state.row.kind))
    }

    /// Sends a shard whose attempt was cancelled to another server.
    ///
    /// Gives the shard up if its retries are used up or no healthy server is left that has
    /// not been tried.
    fn resend_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let Some(shard) = state.shards.get_mut(index) else {
            return;
        };
        if shard.status != ShardStatus::Open || !shard.attempts.is_empty() {
            return;
        }
        shard.failure_reason = Some(MissingReason::TooLate);
        let has_no_retry_left = shard.sends > state.row.retries;
        if has_no_retry_left || !self.has_preferred_server(query, index, now) {
            return self.give_up_shard(query, index, MissingReason::TooLate, now, out);
        }
        let outcome = self.route_shard(query, index, SendCause::Rescue, now, out);
        if outcome == RouteOutcome::NoServer {
            self.give_up_shard(query, index, MissingReason::TooLate, now, out);
        }
    }
}
