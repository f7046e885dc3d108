//! Letting requests in: at once, after a wait, or not at all.

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

/// Time kept back from a deadline for the answer's own way to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);
/// When to come back after a refusal that names no better time.
pub(super) const RETRY_SOON: Duration = Duration::from_secs(1);

impl<P: RoutePolicy> EntryMachine<P> {
    pub(super) fn submit(
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
        let (gate, row) = match self.admissible(&request) {
            Ok(found) => found,
            Err(reason) => return self.refuse_early(request.call, id, reason, None, now, out),
        };
        let allowed = request.deadline.unwrap_or(row.deadline);
        if allowed <= ANSWER_MARGIN {
            let reason = RefusalReason::DeadlinePassed;
            return self.refuse_early(request.call, id, reason, None, now, out);
        }
        let deadline = now + allowed - ANSWER_MARGIN;
        if self.gates.may_start(gate) {
            let query = self.insert_query(request, id, gate, row, deadline, now);
            return self.start(query, now, out);
        }
        match self.queue_check(gate, &row, deadline - now) {
            Err((reason, wait)) => {
                self.refuse_early(request.call, id, reason, Some(wait), now, out)
            }
            Ok(()) => {
                let query = self.insert_query(request, id, gate, row, deadline, now);
                self.enqueue(query, gate, now, out);
            }
        }
    }

    pub(super) fn caller_left(&mut self, call: CallTag, now: Duration, out: &mut Vec<EntryAction>) {
        if let Some(query) = self.calls.get(&call).copied() {
            self.end_refused(query, RefusalReason::CallerLeft, None, now, out);
        }
    }

    /// Starts waiting requests while there is room.
    pub(super) fn start_waiting(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        while let Some(query) = self.gates.pop_next() {
            if self.queries.get(query).is_some() {
                self.start(query, now, out);
            }
        }
    }

    fn admissible(
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

    /// Checks whether a request may wait: there is a place in the queue, and
    /// the wait leaves enough time to answer. The reason comes with the time
    /// after which it is worth to come back.
    fn queue_check(
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

    fn insert_query(
        &mut self,
        request: QueryRequest,
        id: RequestId,
        gate: GateKey,
        row: Arc<ServiceRow>,
        deadline: Duration,
        now: Duration,
    ) -> SlotKey {
        let traced = self.try_start_trace(now);
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
            maybe_ran: 0,
            traced,
        });
        self.calls.insert(request.call, query);
        self.timers.set(deadline, TimerPurpose::Deadline(query));
        query
    }

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

    /// Refuses a request that was never let in; this is always "not run".
    fn refuse_early(
        &mut self,
        call: CallTag,
        request: RequestId,
        reason: RefusalReason,
        wait: Option<Duration>,
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
            retry_after: wait.or_else(|| helpful_wait(reason)),
            coverage: CoverageReport::default(),
        };
        out.push(EntryAction::Finish {
            call,
            outcome: QueryOutcome::Refusal(refusal),
        });
    }
}

/// Returns when to come back, for the reasons that pass with time.
pub(super) fn helpful_wait(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::Leaving
        | RefusalReason::NoServer
        | RefusalReason::BelowFloor
        | RefusalReason::Shed => Some(RETRY_SOON),
        _ => None,
    }
}

/// Tells whether a request of this kind may be sent again after it may have
/// run.
pub(super) fn is_repeatable(kind: RequestKind) -> bool {
    kind != RequestKind::NonRepeatable
}
