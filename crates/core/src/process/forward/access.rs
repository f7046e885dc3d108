//! Who may ask: the workspace of a request, and what becomes of requests whose
//! key is taken away.

use std::sync::Arc;
use std::time::Duration;

use crate::process::forward::answer::{ForwardAction, ForwardFailure};
use crate::process::forward::call::CallState;
use crate::process::forward::input::ForwardCall;
use crate::process::forward::machine::ForwardMachine;
use crate::version::route_table::{RouteRule, RouteTable};
use crate::version::workspace::WorkspaceIndex;

/// Returns the workspace of a request, if its table has any.
///
/// # Errors
///
/// Fails if the request may not run. One that another entry passed on comes
/// without a key; if its workspace is not known here, the tables differ.
pub(super) fn asking_workspace(
    table: &RouteTable,
    route: &RouteRule,
    call: &ForwardCall,
) -> Result<Option<WorkspaceIndex>, ForwardFailure> {
    let Some(book) = table.workspaces() else {
        return Ok(None);
    };
    let (found, refusal) = match &call.relayed {
        Some(order) => {
            let name = order.workspace.as_deref();
            (
                name.and_then(|name| book.find_by_name(name)),
                ForwardFailure::NoTable,
            )
        }
        None => {
            let caller_workspace = call.key.and_then(|key| book.caller_workspace(key));
            (caller_workspace, ForwardFailure::NoKey)
        }
    };
    match found {
        Some(workspace) => Ok(Some(workspace)),
        None if route.public => Ok(None),
        None => Err(refusal),
    }
}

impl ForwardMachine {
    /// Returns the workspace of a caller's request, if it has a cap. What another
    /// entry passed on has its token.
    pub fn capped_workspace(&self, call: &ForwardCall) -> Option<Arc<str>> {
        let table = self.table.as_ref().filter(|_| call.relayed.is_none())?;
        let route = &table.routes()[table.find(&call.host, &call.path)?];
        let workspace = asking_workspace(table, route, call).ok()??;
        let rule = table.workspaces()?.rule(workspace);
        rule.cap.is_some().then(|| rule.name.as_str().into())
    }

    /// Ends the requests at work whose key a new table gives to nobody, or to
    /// another workspace. What may not be repeated and was sent is finished: its
    /// caller would not learn whether it ran.
    pub(super) fn end_keyless(
        &mut self,
        table: &RouteTable,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        for call in self.calls.keys() {
            let state = self.calls.get_mut(call);
            let Some(state) = state.filter(|state| !still_allows(table, state)) else {
                continue;
            };
            let has_run = state.may_have_run();
            if has_run && !state.rule().idempotent {
                state.attempts = 0;
                continue;
            }
            let failure = if has_run {
                ForwardFailure::KeyRevoked
            } else {
                ForwardFailure::NoKey
            };
            self.end_failed(call, failure, now, out);
        }
    }
}

/// Tells whether the workspace of a request still holds its key.
fn still_allows(table: &RouteTable, state: &CallState) -> bool {
    let Some(name) = state.workspace.as_ref().filter(|_| !state.rule().public) else {
        return true;
    };
    let Some(book) = table.workspaces() else {
        return true;
    };
    let caller_workspace = match state.key {
        Some(key) => book.caller_workspace(key),
        None => book.find_by_name(name),
    };
    caller_workspace.is_some_and(|caller_workspace| *book.rule(caller_workspace).name == **name)
}
