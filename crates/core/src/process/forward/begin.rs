//! Starting a request: its route, its parts, its first sends.

use std::sync::Arc;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::access;
use crate::process::forward::admit::AdmitVerdict;
use crate::process::forward::answer::{
    AttemptCause, ForwardAction, ForwardDecision, ForwardFailure,
};
use crate::process::forward::call::{CallState, PartState};
use crate::process::forward::input::ForwardCall;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::split::SplitCounter;
use crate::version::route_table::{RouteRule, RouteTable, RouteTarget};
use crate::version::workspace::WorkspaceKey;

impl ForwardMachine {
    pub(super) fn begin(&mut self, call: ForwardCall, now: Duration, out: &mut Vec<ForwardAction>) {
        self.counters.calls += 1;
        let Some(table) = self.table.clone() else {
            return self.turn_away(call.tag, ForwardFailure::NoTable, out);
        };
        let asked = call.relayed.as_ref();
        if asked.is_some_and(|order| order.version > table.version()) {
            // It would be answered with an older table than it came in with.
            return self.turn_away(call.tag, ForwardFailure::NoTable, out);
        }
        let Some(route) = table.find(&call.host, &call.path) else {
            return self.turn_away(call.tag, ForwardFailure::NoRoute, out);
        };
        if self.calls.len() >= self.options.in_flight {
            return self.turn_away(call.tag, ForwardFailure::Overload, out);
        }
        let workspace = match access::asking_workspace(&table, &table.routes()[route], &call) {
            Ok(workspace) => workspace,
            Err(failure) => return self.turn_away(call.tag, failure, out),
        };
        let state = self.lay_out(&call, table, route, workspace, now);
        let is_too_late = now >= state.plan.limit || (state.relayed && now >= state.plan.aim);
        if is_too_late {
            // It lay unread until its time was over: no server works for it.
            return self.turn_away(call.tag, ForwardFailure::LateUnrun, out);
        }
        if let Some(failure) = self.check_suspect(&state, now) {
            return self.turn_away(call.tag, failure, out);
        }
        let AdmitVerdict::Take(without) = self.weigh(&state, now) else {
            self.count_refused(&state, now);
            return self.turn_away(call.tag, ForwardFailure::Overload, out);
        };
        let (plan, count) = (state.plan, state.parts.len());
        let needs_canary = state.needs_canary();
        let (name, version) = (state.rule().name.as_str().into(), state.table.version());
        self.decide(call.tag, out, || ForwardDecision::Admit {
            route: name,
            version,
            time_left: plan.given_up.saturating_sub(now),
            mark: call.mark,
            relayed: call.relayed.is_some(),
        });
        let key = self.calls.insert(state);
        self.tags.insert(call.tag, key);
        self.leave_out(key, &without, out);
        if needs_canary {
            self.count_direct(key, now);
            self.review_suspect(key, now, out);
        } else {
            self.send_bundles(key, now, out);
            self.count_direct(key, now);
            for part in 0..count {
                self.send_first(key, part, now, out);
            }
        }
        self.timers.set(plan.limit, ForwardTimer::Limit(key));
        if plan.aim > now {
            self.timers.set(plan.aim, ForwardTimer::Aim(key));
        }
        self.plan_sweep(key, now);
        self.check_end(key, now, out);
    }

    fn lay_out(
        &mut self,
        call: &ForwardCall,
        table: Arc<RouteTable>,
        route: usize,
        workspace: Option<WorkspaceKey>,
        now: Duration,
    ) -> CallState {
        let rule = &table.routes()[route];
        let timing = self.timing(&rule.name);
        let workspace = workspace.zip(table.workspaces());
        let workspace = workspace.map(|(workspace, book)| book.rule(workspace));
        let mut homes = self.options.regions.homes(&rule.homes);
        if let Some(workspace) = workspace {
            homes = homes.both(self.options.regions.homes(&workspace.homes));
        }
        let mut plan = self.timings[timing].plan(rule, call.time_left, call.arrived);
        let upstreams = match &call.relayed {
            Some(order) => {
                plan.aim = order.answer_by;
                let shards = order.shards.iter();
                shards.map(|name| self.upstream(name)).collect()
            }
            None => self.targets(rule),
        };
        CallState {
            tag: call.tag,
            mark: call.mark,
            gathers: matches!(rule.target, RouteTarget::Gather(_)),
            relayed: call.relayed.is_some(),
            divides: call.relayed.as_ref().is_none_or(|order| order.divides),
            earns: call.relayed.as_ref().is_none_or(|order| order.earns),
            attempts: match &call.relayed {
                Some(order) => order.attempts.min(rule.attempts),
                None => rule.attempts,
            },
            homes,
            workspace: workspace.map(|workspace| workspace.name.as_str().into()),
            key: call.key,
            route,
            timing,
            arrived: call.arrived,
            plan,
            parts: upstreams.into_iter().map(PartState::new).collect(),
            answered: 0,
            missing: 0,
            failure: None,
            sends: 0,
            doubt: self.initial_suspicion(call, now),
            table,
        }
    }

    /// Counts the parts that this entry asks for itself. Those that another
    /// one was asked for count there, as that one may repeat them.
    fn count_direct(&mut self, call: SlotKey, now: Duration) {
        let Some(state) = self.calls.get(call).filter(|state| state.earns) else {
            return;
        };
        let direct = state.parts.iter().filter(|part| part.attempts.is_empty());
        for part in direct {
            let budget = &mut self.upstreams[part.upstream].budget;
            budget.count_request(&self.options.extra, now);
        }
    }

    /// Counts a request that was refused: it was for these services as well.
    fn count_refused(&mut self, state: &CallState, now: Duration) {
        for part in &state.parts {
            let budget = &mut self.upstreams[part.upstream].budget;
            budget.count_request(&self.options.extra, now);
        }
    }

    fn targets(&mut self, rule: &RouteRule) -> Vec<UpstreamKey> {
        match &rule.target {
            RouteTarget::Service(name) => vec![self.upstream(name)],
            RouteTarget::Split(parts) => {
                let counter = self.splits.entry(rule.name.as_str().into()).or_default();
                if !counter.divides_by(parts) {
                    *counter = SplitCounter::begin(parts, &mut self.rng);
                }
                let index = counter.next(parts);
                vec![self.upstream(&parts[index].service)]
            }
            RouteTarget::Gather(names) => names.iter().map(|name| self.upstream(name)).collect(),
        }
    }

    pub(super) fn send_first(
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
        if let Err(reason) = self.send(call, part, AttemptCause::First, now, out) {
            self.wait_or_miss(call, part, reason, out);
        }
    }
}
