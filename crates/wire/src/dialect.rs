//! Interface to a platform: the trait [`ForwardDialect`] defines header names, paths and
//! JSON formats that differ between platforms, and makes no decisions.
//!
//! [`crate::native::NativeDialect`] is the built-in implementation; an adapter crate
//! implements the trait for another platform.

use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::finding::FindingList;
use wheelmast_core::process::control::rollout::RolloutState;
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::version::route_table::RouteDraft;

/// Names of the HTTP headers that callers, entries and servers exchange, in lower
/// case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, sent to the server and returned with its answer.
    pub request: &'static str,
    /// Time left until the request's deadline, in milliseconds.
    pub time_left: &'static str,
    /// Stamp by which a server proves that the answer is its own.
    pub stamp: &'static str,
    /// Id of the server, or incarnation of the entry, that the request is meant for.
    pub expect: &'static str,
    /// Load of a server: its running requests, its waiting requests and its slots.
    pub load: &'static str,
    /// Present if the server states that it did not run the request.
    pub not_run: &'static str,
    /// Server stamps of the answered parts. A part is one shard's subquery of a request,
    /// or the whole of an unsharded request.
    pub parts: &'static str,
    /// Number of shards omitted from an answer.
    pub missing: &'static str,
    /// API key of a caller. It is not forwarded to servers or other entries.
    pub key: &'static str,
    /// Name of the caller's workspace, sent to servers and other entries.
    pub workspace: &'static str,
}

/// HTTP call to a control instance, or to an entry's listener for the health checks of
/// its load balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// The server with this id announces itself.
    Announce(String),
    /// The server with this id announces that it leaves.
    Withdraw(String),
    /// An operator replaces the route table.
    PutTable,
    /// An operator reads the route table.
    GetTable,
    /// An operator evacuates this failure domain: takes it out of use.
    Evacuate(String),
    /// An operator ends the evacuation of this failure domain.
    EndEvacuation(String),
    /// An operator lists the evacuated failure domains.
    ListEvacuations,
    /// An operator starts a roll-out of a service to a new version.
    StartRollout,
    /// An operator reads the state of the last roll-out of this service.
    GetRollout(String),
    /// The load balancer checks whether the instance accepts requests.
    Ready,
}

/// Order of an operator to roll a service out to a new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that the service's requests go to after the roll-out.
    pub target: String,
    /// Longest time that the roll-out may take.
    pub duration: Duration,
}

/// Header names, paths and JSON formats of one platform.
pub trait ForwardDialect: std::fmt::Debug + Copy + Default + Send + Sync + 'static {
    /// Header names of the platform.
    const HEADERS: HeaderNames;

    /// Recognises a call by its HTTP method and path. Returns `None` if it is unknown.
    fn call(method: &str, path: &str) -> Option<ControlCall>;

    /// Parses a route table, without checking its rules.
    ///
    /// # Errors
    ///
    /// Returns the findings if the text does not have the expected format.
    fn read_table(text: &[u8]) -> Result<RouteDraft, FindingList>;

    /// Parses the order for a roll-out.
    ///
    /// # Errors
    ///
    /// Returns the findings if the text does not have the expected format.
    fn read_rollout(text: &[u8]) -> Result<RolloutOrder, FindingList>;

    /// Encodes the state of a roll-out to the version `target`.
    fn rollout(target: &str, state: RolloutState) -> String;

    /// Encodes the reply to an announcement. `next` is the address for the server's next
    /// announcements, if they should go to another control instance.
    fn write_announce_reply(next: Option<SocketAddr>) -> String;

    /// Parses the announcement of the server `id`.
    ///
    /// # Errors
    ///
    /// Returns the findings if the text does not have the expected format.
    fn read_announcement(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList>;

    /// Parses the announcement that the server `id` leaves. The text may be empty.
    ///
    /// # Errors
    ///
    /// Returns the findings if the text does not have the expected format.
    fn read_withdrawal(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList>;
}

/// Converts a JSON error to a list of one finding with the line and column.
pub fn parse_error_findings(error: &serde_json::Error) -> FindingList {
    let mut findings = FindingList::default();
    let place = wheelmast_core::finding::FindingPlace::Text {
        line: error.line(),
        column: error.column(),
    };
    findings.add(place, error.to_string());
    findings
}
