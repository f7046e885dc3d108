//! Admission control: a new request starts at once, waits in its service's queue, or is
//! refused.
//!
//! A request is queued only if the queue has a free place and the expected wait leaves
//! enough time for an answer before the deadline.

use std::sync::Arc;
use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::action::EntryAction;
use crate::process::entry::EntryMachine;
use crate::process::gate::GateKey;
use crate::process::input::{CallTag, QueryRequest};
use crate::process::policy::RoutePolicy;
use crate::process::timer::TimerPurpose;
use crate::request::answer::{CoverageReport, QueryOutcome, QueryRefusal, RefusalReason, RunState};
use crate::request::decision::RouteDecision;
use crate::request::identity::RequestId;
use crate::request::query::QueryState;
use crate::version::row::{RequestKind, ServiceRow};
use crate::version::snapshot::SnapshotId;

/// Time subtracted from the caller's deadline for sending the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);
/// Retry time given to the caller when no better estimate exists.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<P: RoutePolicy> EntryMachine<P> {
    /// Handles a new request: starts it, queues it, or refuses it.
    pub(super) fn handle_request(
        &mut self,
        request: QueryRequest,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.counters.submitted += 1;
        self.requests += 1;
        let id = RequestId {
            incarnation: self.options.incarnation,
            sequence: self.requests,
        };
        let (gate, row) = match self.resolve_service(&request) {
            Ok(found) => found,
            Err(reason) => return self.refuse_unadmitted(request.call, id, reason, None, now, out),
        };
        let time_limit = request.deadline.unwrap_or(row.deadline);
        if time_limit <= RESPONSE_MARGIN {
            let reason = RefusalReason::DeadlinePassed;
            return self.refuse_unadmitted(request.call, id, reason, None, now, out);
        }
        let deadline = now + time_limit - RESPONSE_MARGIN;
        if self.gates.may_start(gate) {
            let query = self.insert_query(request, id, gate, row, deadline, now);
            return self.start_query(query, now, out);
        }
        match self.check_queue(gate, &row, deadline - now) {
            Err((reason, wait)) => {
                self.refuse_unadmitted(request.call, id, reason, Some(wait), now, out)
            }
            Ok(()) => {
                let query = self.insert_query(request, id, gate, row, deadline, now);
                self.enqueue(query, gate, now, out);
            }
        }
    }

    /// Ends the request of a caller that has disconnected.
    pub(super) fn handle_caller_left(
        &mut self,
        call: CallTag,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(query) = self.calls.get(&call).copied() {
            self.end_with_refusal(query, RefusalReason::CallerLeft, None, now, out);
        }
    }

    /// Starts queued requests while the limits on running requests allow it.
    pub(super) fn start_queued_requests(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        while let Some(query) = self.gates.pop_next() {
            if self.queries.get(query).is_some() {
                self.start_query(query, now, out);
            }
        }
    }

    /// Finds the gate (admission state) and the table row of the requested service.
    ///
    /// Fails if the instance is shutting down, the service is not in the table, or the
    /// service does not take this kind of request.
    fn resolve_service(
        &self,
        request: &QueryRequest,
    ) -> Result<(GateKey, Arc<ServiceRow>), RefusalReason> {
        if self.is_leaving {
            return Err(RefusalReason::Leaving);
        }
        let gate = self.gates.find(&request.service);
        let gate = gate.ok_or(RefusalReason::UnknownService)?;
        let row = self.gates.gate(gate).row.clone();
        let row = row.ok_or(RefusalReason::UnknownService)?;
        if row.kind != request.body.kind {
            return Err(RefusalReason::WrongKind);
        }
        Ok((gate, row))
    }

    /// Checks that the queue has a free place and that the expected wait leaves enough
    /// time for an answer.
    ///
    /// On failure, returns the reason and the time after which the caller should retry.
    fn check_queue(
        &self,
        gate: GateKey,
        row: &ServiceRow,
        remaining: Duration,
    ) -> Result<(), (RefusalReason, Duration)> {
        let state = self.gates.gate(gate);
        let waiting = state.queue.len();
        let parallelism = self.gates.parallelism(gate);
        let wait = state.expected_wait(waiting + 1, parallelism);
        if waiting >= row.queue as usize {
            return Err((RefusalReason::QueueFull, wait));
        }
        if wait + state.service_time > remaining {
            return Err((RefusalReason::QueueTooSlow, wait));
        }
        Ok(())
    }

    /// Stores the state of a new request and sets its deadline timer.
    fn insert_query(
        &mut self,
        request: QueryRequest,
        id: RequestId,
        gate: GateKey,
        row: Arc<ServiceRow>,
        deadline: Duration,
        now: Duration,
    ) -> SlotKey {
        let is_traced = self.try_start_trace(now);
        let shards = self.take_spare_shards();
        let query = self.queries.insert(QueryState {
            call: request.call,
            request: id,
            gate,
            row,
            table_version: self.table_version,
            body: request.body,
            arrived: now,
            started: now,
            deadline,
            is_running: false,
            upstream: None,
            snapshot: SnapshotId::default(),
            shards,
            answered: 0,
            missing: 0,
            hedged: false,
            restarted: false,
            partial_due: false,
            possible_runs: 0,
            is_traced,
        });
        self.calls.insert(request.call, query);
        self.timers.set(deadline, TimerPurpose::Deadline(query));
        query
    }

    /// Appends a request to the queue of its service and records that decision.
    fn enqueue(
        &mut self,
        query: SlotKey,
        gate: GateKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.gates.gate_mut(gate).queue.push_back(query);
        self.record_query_decision(query, now, out, |machine| {
            let gate = machine.gates.gate(gate);
            RouteDecision::Queue {
                service: gate
                    .row
                    .as_ref()
                    .map_or("".into(), |row| row.service.clone()),
                place: gate.queue.len(),
            }
        });
    }

    /// Refuses a request that was not admitted. No server has received any part of the
    /// request, so its run state is always `NotRun`.
    fn refuse_unadmitted(
        &mut self,
        call: CallTag,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.counters.not_run += 1;
        if self.try_start_trace(now) {
            self.charge_trace_budget(1);
            let decision = RouteDecision::Refuse { reason };
            self.record_decision(Some(request), decision, now, out);
        }
        let refusal = QueryRefusal {
            request,
            table_version: self.table_version,
            reason,
            run: RunState::NotRun,
            retry_after: retry_after.or_else(|| suggest_retry_after(reason)),
            coverage: CoverageReport::default(),
        };
        out.push(EntryAction::Finish {
            call,
            outcome: QueryOutcome::Refusal(refusal),
        });
    }
}

/// Returns the retry time for refusals whose reason is temporary, and `None` for the
/// others.
pub(super) fn suggest_retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::Leaving
        | RefusalReason::NoServer
        | RefusalReason::BelowFloor
        | RefusalReason::Shed => Some(DEFAULT_RETRY_AFTER),
        _ => None,
    }
}

/// Returns whether a request of this kind may be sent a second time after a server may
/// have run it.
pub(super) fn is_repeatable(kind: RequestKind) -> bool {
    kind != RequestKind::NonRepeatable
}
