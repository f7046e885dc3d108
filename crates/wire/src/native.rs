//! Built-in implementation of [`ForwardDialect`]: the header names, paths and JSON
//! formats that are used without a platform adapter.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use wheelmast_core::finding::FindingList;
use wheelmast_core::process::control::rollout::RolloutState;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::version::route_table::RouteDraft;

use crate::dialect::{
    parse_error_findings, ControlCall, ForwardDialect, HeaderNames, RolloutOrder,
};

/// Path prefix of server announcements; the server id follows.
const SERVERS_PATH: &str = "/v1/servers/";
/// Path of the route table.
pub const ROUTES_PATH: &str = "/v1/routes";
/// Path of the list of evacuated failure domains, and, with a domain's name appended,
/// of the calls that start and end an evacuation.
pub const EVACUATIONS_PATH: &str = "/v1/evacuations";
/// Path of the call that starts a roll-out, and, with a service's name appended, of the
/// call that reads a roll-out's state.
pub const ROLLOUTS_PATH: &str = "/v1/rollouts";
/// Path of the load balancer's health check.
const READY_PATH: &str = "/ready";

/// Built-in dialect.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

/// JSON body of a server's announcement.
#[derive(Debug, Deserialize)]
struct ServerAnnouncementBody {
    service: Box<str>,
    address: SocketAddr,
    failure_domain: Box<str>,
    #[serde(default)]
    version: Box<str>,
    slots: u32,
    draining: bool,
    sequence: u64,
    #[serde(default)]
    cold_ms: u64,
    #[serde(default)]
    born: u64,
}

/// JSON body of the order for a roll-out.
#[derive(Debug, Deserialize)]
struct RolloutBody {
    service: String,
    version: String,
    duration_ms: u64,
}

/// JSON body of the announcement that a server leaves.
#[derive(Debug, Deserialize)]
struct WithdrawalBody {
    #[serde(default)]
    born: u64,
}

impl ForwardDialect for NativeDialect {
    const HEADERS: HeaderNames = HeaderNames {
        request: "wheelmast-request",
        time_left: "wheelmast-time-left-ms",
        stamp: "wheelmast-stamp",
        expect: "wheelmast-expect-server",
        load: "wheelmast-load",
        not_run: "wheelmast-not-run",
        parts: "wheelmast-parts",
        missing: "wheelmast-missing",
        key: "wheelmast-key",
        workspace: "wheelmast-workspace",
    };

    fn call(method: &str, path: &str) -> Option<ControlCall> {
        match (method, path) {
            ("GET", READY_PATH) => return Some(ControlCall::Ready),
            ("GET", ROUTES_PATH) => return Some(ControlCall::GetTable),
            ("PUT", ROUTES_PATH) => return Some(ControlCall::PutTable),
            ("POST", ROLLOUTS_PATH) => return Some(ControlCall::StartRollout),
            ("GET", EVACUATIONS_PATH) => return Some(ControlCall::ListEvacuations),
            _ => {}
        }
        if let Some(call) = parse_evacuation_call(method, path) {
            return Some(call);
        }
        if let Some(call) = parse_rollout_call(method, path) {
            return Some(call);
        }
        let id = path.strip_prefix(SERVERS_PATH)?;
        match method {
            "PUT" => Some(ControlCall::Announce(id.to_string())),
            "DELETE" => Some(ControlCall::Withdraw(id.to_string())),
            _ => None,
        }
    }

    fn read_rollout(text: &[u8]) -> Result<RolloutOrder, FindingList> {
        let body: RolloutBody =
            serde_json::from_slice(text).map_err(|error| parse_error_findings(&error))?;
        Ok(RolloutOrder {
            service: body.service,
            target: body.version,
            duration: Duration::from_millis(body.duration_ms),
        })
    }

    fn rollout(target: &str, state: RolloutState) -> String {
        let state = match state {
            RolloutState::Trying => "trying",
            RolloutState::Moving => "moving",
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled_back",
        };
        serde_json::json!({ "version": target, "state": state }).to_string()
    }

    fn write_announce_reply(next: Option<SocketAddr>) -> String {
        let next = next.map(|next| next.to_string());
        serde_json::json!({ "next": next }).to_string()
    }

    fn read_table(text: &[u8]) -> Result<RouteDraft, FindingList> {
        serde_json::from_slice(text).map_err(|error| parse_error_findings(&error))
    }

    fn read_announcement(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList> {
        let body: ServerAnnouncementBody =
            serde_json::from_slice(text).map_err(|error| parse_error_findings(&error))?;
        let standing = if body.draining {
            ServerLifecycle::Draining
        } else {
            ServerLifecycle::Ready
        };
        Ok(ServerAnnouncement {
            id: id.into(),
            service: body.service,
            address: Some(body.address),
            domain: body.failure_domain,
            version: body.version,
            slots: body.slots,
            standing,
            born: body.born,
            sequence: body.sequence,
            cold_ms: body.cold_ms,
        })
    }

    fn read_withdrawal(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList> {
        if text.is_empty() {
            return Ok(ServerAnnouncement::gone(id, 0));
        }
        let body: WithdrawalBody =
            serde_json::from_slice(text).map_err(|error| parse_error_findings(&error))?;
        Ok(ServerAnnouncement::gone(id, body.born))
    }
}

/// Recognises the call that reads the state of a roll-out.
fn parse_rollout_call(method: &str, path: &str) -> Option<ControlCall> {
    let service = path.strip_prefix(ROLLOUTS_PATH)?.strip_prefix('/')?;
    (method == "GET" && !service.is_empty()).then(|| ControlCall::GetRollout(service.to_string()))
}

/// Recognises the calls that start and end the evacuation of a failure domain.
fn parse_evacuation_call(method: &str, path: &str) -> Option<ControlCall> {
    let domain = path.strip_prefix(EVACUATIONS_PATH)?.strip_prefix('/')?;
    if domain.is_empty() {
        return None;
    }
    match method {
        "POST" => Some(ControlCall::Evacuate(domain.to_string())),
        "DELETE" => Some(ControlCall::EndEvacuation(domain.to_string())),
        _ => None,
    }
}
