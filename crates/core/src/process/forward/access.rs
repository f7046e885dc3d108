//! Access control: determines by the caller's key which workspace (customer) a request
//! belongs to, and ends requests whose key is revoked by a new route table.

use std::sync::Arc;
use std::time::Duration;

use crate::process::forward::answer::{ForwardAction, ForwardFailure};
use crate::process::forward::call::CallState;
use crate::process::forward::input::ForwardCall;
use crate::process::forward::machine::ForwardMachine;
use crate::version::route_table::{RouteRule, RouteTable};
use crate::version::workspace::WorkspaceIndex;

/// Returns the workspace of a request. Returns `None` if the table defines no
/// workspaces, or if the route is public and no workspace was found.
///
/// # Errors
///
/// Fails with `NoKey` if the caller's key belongs to no workspace. A request relayed by
/// another entry carries the workspace's name instead of a key. If that workspace
/// is unknown, the two entries have different tables and the call fails with `NoTable`.
pub(super) fn find_workspace(
    table: &RouteTable,
    route: &RouteRule,
    call: &ForwardCall,
) -> Result<Option<WorkspaceIndex>, ForwardFailure> {
    let Some(workspaces) = table.workspaces() else {
        return Ok(None);
    };
    let (found, refusal) = match &call.relayed {
        Some(order) => {
            let name = order.workspace.as_deref();
            (
                name.and_then(|name| workspaces.find_by_name(name)),
                ForwardFailure::NoTable,
            )
        }
        None => {
            let caller_workspace = call.key.and_then(|key| workspaces.caller_workspace(key));
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
    /// Returns the workspace of a caller's request if the workspace has a usage cap.
    /// Returns `None` for a relayed request, because the entry that relayed it has
    /// already spent a token for it.
    pub fn find_capped_workspace(&self, call: &ForwardCall) -> Option<Arc<str>> {
        let table = self.table.as_ref().filter(|_| call.relayed.is_none())?;
        let route = &table.routes()[table.find(&call.host, &call.path)?];
        let workspace = find_workspace(table, route, call).ok()??;
        let rule = table.workspaces()?.rule(workspace);
        rule.cap.is_some().then(|| rule.name.as_str().into())
    }

    /// Ends the running requests whose key belongs to no workspace or to another one in
    /// the new table. A non-idempotent request that was already sent is finished
    /// without further attempts, because otherwise its caller would not learn whether
    /// it ran.
    pub(super) fn end_unauthorized(
        &mut self,
        table: &RouteTable,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        for call in self.calls.keys() {
            let state = self.calls.get_mut(call);
            let Some(state) = state.filter(|state| !is_still_authorized(table, state)) else {
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

/// Returns whether the key of a request still belongs to the request's workspace.
fn is_still_authorized(table: &RouteTable, state: &CallState) -> bool {
    let Some(name) = state.workspace.as_ref().filter(|_| !state.rule().public) else {
        return true;
    };
    let Some(workspaces) = table.workspaces() else {
        return true;
    };
    let caller_workspace = match state.key {
        Some(key) => workspaces.caller_workspace(key),
        None => workspaces.find_by_name(name),
    };
    caller_workspace
        .is_some_and(|caller_workspace| *workspaces.rule(caller_workspace).name == **name)
}
