//! Admission of a request: finds the route, builds the parts, and sends the first
//! attempts.

use std::sync::Arc;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::access;
use crate::process::forward::admit::AdmissionDecision;
use crate::process::forward::answer::{
    AttemptCause, ForwardAction, ForwardDecision, ForwardFailure,
};
use crate::process::forward::call::{CallState, PartState};
use crate::process::forward::input::ForwardCall;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::split::SplitScheduler;
use crate::version::route_table::{RouteRule, RouteTable, RouteTarget};
use crate::version::workspace::WorkspaceIndex;

impl ForwardMachine {
    /// Admits a new request and sends its first attempts, or rejects the request.
    pub(super) fn begin_request(
        &mut self,
        call: ForwardCall,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.counters.calls += 1;
        let Some(table) = self.table.clone() else {
            return self.reject_request(call.tag, ForwardFailure::NoTable, out);
        };
        let relay_order = call.relayed.as_ref();
        if relay_order.is_some_and(|order| order.version > table.version()) {
            // This entry would process the request with an older route table than
            // the entry that admitted it.
            return self.reject_request(call.tag, ForwardFailure::NoTable, out);
        }
        if relay_order.is_some_and(|order| order.top.is_none() && order.version != table.version())
        {
            // The order does not say how many records to merge, and the newer route table
            // of this entry may have another route for the request.
            return self.reject_request(call.tag, ForwardFailure::NoTable, out);
        }
        let Some(route) = table.find(&call.host, &call.path) else {
            // The entry that relayed the request has a route for it in an older table.
            let failure = match relay_order {
                Some(_) => ForwardFailure::NoTable,
                None => ForwardFailure::NoRoute,
            };
            return self.reject_request(call.tag, failure, out);
        };
        if self.calls.len() >= self.options.max_in_flight {
            return self.reject_request(call.tag, ForwardFailure::Overload, out);
        }
        let workspace = match access::find_workspace(&table, &table.routes()[route], &call) {
            Ok(workspace) => workspace,
            Err(failure) => return self.reject_request(call.tag, failure, out),
        };
        let mut state = self.build_call(&call, table, route, workspace, now);
        let is_too_late = now >= state.deadlines.hard_deadline
            || (state.is_relayed && now >= state.deadlines.soft_deadline);
        if is_too_late {
            // The request waited unread until it timed out; it is not sent to any
            // server.
            return self.reject_request(call.tag, ForwardFailure::TimedOutUnrun, out);
        }
        if let Err(refusal) = self.check_suspect(&mut state, now, out) {
            return self.reject_suspect(call.tag, refusal, out);
        }
        if let Some(failure) = self.check_share(&mut state, now, out) {
            self.withdraw_unrun_trial(&state);
            self.credit_refused_parts(&state, now);
            return self.reject_request(call.tag, failure, out);
        }
        let limit = self.limit_by_rank(&state, now);
        let decision = self.decide_admission(&state, limit.as_ref(), now);
        let AdmissionDecision::Accept(omitted) = decision else {
            self.record_rank_decision(&state, limit.as_ref(), None, now, out);
            self.withdraw_unrun_trial(&state);
            self.credit_refused_parts(&state, now);
            return self.reject_request(call.tag, ForwardFailure::Overload, out);
        };
        self.record_admitted_work(&state, now);
        let (deadlines, part_count) = (state.deadlines, state.parts.len());
        let needs_canary = state.needs_canary();
        let (route_name, version) = (state.rule().name.as_str().into(), state.table.version());
        self.record_decision(call.tag, out, || ForwardDecision::Admit {
            route: route_name,
            version,
            time_left: deadlines.caller_deadline.saturating_sub(now),
            mark: call.mark,
            relayed: call.relayed.is_some(),
        });
        self.record_rank_decision(&state, limit.as_ref(), Some(&omitted), now, out);
        let key = self.calls.insert(state);
        self.calls_by_tag.insert(call.tag, key);
        self.omit_parts(key, &omitted, out);
        if needs_canary {
            self.credit_direct_parts(key, now);
            self.review_suspect(key, now, out);
        } else {
            self.send_bundles(key, now, out);
            self.credit_direct_parts(key, now);
            for part in 0..part_count {
                self.send_first_attempt(key, part, now, out);
            }
        }
        self.timers
            .set(deadlines.hard_deadline, ForwardTimer::HardDeadline(key));
        if deadlines.soft_deadline > now {
            self.timers
                .set(deadlines.soft_deadline, ForwardTimer::SoftDeadline(key));
        }
        self.schedule_sweep(key, now);
        self.check_end(key, now, out);
    }

    /// Builds the state of a request on the route with index `route`.
    fn build_call(
        &mut self,
        call: &ForwardCall,
        table: Arc<RouteTable>,
        route: usize,
        workspace: Option<WorkspaceIndex>,
        now: Duration,
    ) -> CallState {
        let rule = &table.routes()[route];
        let timing = self.find_or_add_timing(&rule.name);
        let workspace = workspace.zip(table.workspaces());
        let workspace = workspace.map(|(workspace, workspaces)| workspaces.rule(workspace));
        let mut allowed_regions = self.options.regions.allowed_regions(&rule.homes);
        if let Some(workspace) = workspace {
            allowed_regions = allowed_regions
                .intersection(self.options.regions.allowed_regions(&workspace.homes));
        }
        if let Some(order) = &call.relayed {
            allowed_regions =
                allowed_regions.intersection(self.options.regions.allowed_regions(&order.homes));
        }
        let mut deadlines =
            self.timings[timing].compute_deadlines(rule, call.time_left, call.arrived_at);
        let upstreams = match &call.relayed {
            Some(order) => {
                deadlines.soft_deadline = order.answer_by;
                let shards = order.shards.iter();
                shards.map(|name| self.find_or_add_upstream(name)).collect()
            }
            None => self.target_upstreams(rule),
        };
        let ordered_top = call.relayed.as_ref().and_then(|order| order.top);
        CallState {
            tag: call.tag,
            mark: call.mark,
            is_scatter_gather: ordered_top.is_some()
                || matches!(rule.target, RouteTarget::Gather(_)),
            top: ordered_top.unwrap_or(rule.top),
            is_relayed: call.relayed.is_some(),
            may_divide: call.relayed.as_ref().is_none_or(|order| order.may_divide),
            credits_budget: call
                .relayed
                .as_ref()
                .is_none_or(|order| order.credits_budget),
            attempts: match &call.relayed {
                Some(order) => order.attempts.min(rule.attempts),
                None => rule.attempts,
            },
            allowed_regions,
            rank: workspace
                .and_then(|workspace| workspace.rank)
                .unwrap_or(rule.rank),
            workspace: workspace.map(|workspace| workspace.name.as_str().into()),
            key: call.key,
            route,
            timing,
            arrived_at: call.arrived_at,
            deadlines,
            parts: upstreams.into_iter().map(PartState::new).collect(),
            answered: 0,
            missing: 0,
            failed_answer: None,
            sends: 0,
            work_ms: 0.0,
            suspicion: self.initial_suspicion(call, now),
            table,
        }
    }

    /// Credits the extra-load budgets for the parts that this entry sends to servers
    /// itself. Parts relayed to another entry are credited there, because that entry
    /// sends their retries and hedges.
    fn credit_direct_parts(&mut self, call: SlotKey, now: Duration) {
        let Some(state) = self.calls.get(call).filter(|state| state.credits_budget) else {
            return;
        };
        let direct = state.parts.iter().filter(|part| part.attempts.is_empty());
        for part in direct {
            let budget = &mut self.upstreams[part.upstream].budget;
            budget.count_request(&self.options.extra, now);
        }
    }

    /// Credits the extra-load budgets for the parts of a refused request, which was
    /// an arrival for their services as well.
    fn credit_refused_parts(&mut self, state: &CallState, now: Duration) {
        for part in &state.parts {
            let budget = &mut self.upstreams[part.upstream].budget;
            budget.count_request(&self.options.extra, now);
        }
    }

    /// Returns the services that the request's parts go to. On a split route this
    /// chooses the next service by weight.
    fn target_upstreams(&mut self, rule: &RouteRule) -> Vec<UpstreamKey> {
        match &rule.target {
            RouteTarget::Service(name) => vec![self.find_or_add_upstream(name)],
            RouteTarget::Split(weighted_services) => {
                let counter = self
                    .split_counters
                    .entry(rule.name.as_str().into())
                    .or_default();
                if !counter.uses_weights(weighted_services) {
                    *counter = SplitScheduler::with_random_start(weighted_services, &mut self.rng);
                }
                let index = counter.next(weighted_services);
                vec![self.find_or_add_upstream(&weighted_services[index].service)]
            }
            RouteTarget::Gather(names) => names
                .iter()
                .map(|name| self.find_or_add_upstream(name))
                .collect(),
        }
    }

    /// Sends the first attempt for a part. A part for which an attempt is already
    /// outstanding is left alone. Without a usable server the part is queued or
    /// given up.
    pub(super) fn send_first_attempt(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let is_unsent = self.calls.get(call).is_some_and(|state| {
            let part = &state.parts[part];
            part.is_open() && part.attempts.is_empty()
        });
        if !is_unsent {
            return;
        }
        if let Err(reason) = self.send_part(call, part, AttemptCause::First, now, out) {
            self.enqueue_or_give_up(call, part, reason, now, out);
        }
    }
}
