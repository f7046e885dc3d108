//! The seam towards a platform: names, formats and calls of the forwarded
//! conversations, and nothing that decides.
//!
//! The product's own is [`crate::native::NativeDialect`]; an adapter fills in
//! another platform's.

use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::finding::FindingList;
use wheelmast_core::process::control::rollout::RolloutState;
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::version::route_table::RouteDraft;

/// Names of the headers that the conversations use, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of a request.
    pub request: &'static str,
    /// Time a request has left, in milliseconds.
    pub time_left: &'static str,
    /// Proof of a server that it made an answer.
    pub stamp: &'static str,
    /// The server that is meant.
    pub expect: &'static str,
    /// A server's load: running, waiting and slots.
    pub load: &'static str,
    /// A server's word that it did not run a request.
    pub not_run: &'static str,
    /// Stamps of the parts in an answer.
    pub parts: &'static str,
    /// Number of the shards left out of an answer.
    pub missing: &'static str,
    /// A caller's key. It is passed on to nobody.
    pub key: &'static str,
    /// The workspace that asks, as servers are told it.
    pub workspace: &'static str,
}

/// A call to the control group or to an entry's listener for its balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// A server announces itself under this id.
    Announce(String),
    /// The server of this id leaves.
    Withdraw(String),
    /// An operator changes the route table.
    PutTable,
    /// An operator reads the route table.
    GetTable,
    /// An operator takes a failure domain out of use.
    Evacuate(String),
    /// An operator takes a failure domain back into use.
    EndEvacuation(String),
    /// An operator asks which failure domains are out of use.
    ListEvacuations,
    /// An operator rolls a service out to a new version.
    StartRollout,
    /// An operator asks how far the last roll-out of this service is.
    GetRollout(String),
    /// The balancer asks whether the instance takes requests.
    Ready,
}

/// An operator's order to roll a service out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that its requests are to go to.
    pub target: String,
    /// Time that it may take.
    pub duration: Duration,
}

/// Names, formats and calls.
pub trait ForwardDialect: std::fmt::Debug + Copy + Default + Send + Sync + 'static {
    /// Names of the headers.
    const HEADERS: HeaderNames;

    /// Tells which call a method and a path are.
    fn call(method: &str, path: &str) -> Option<ControlCall>;

    /// Reads a route table.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    fn read_table(text: &[u8]) -> Result<RouteDraft, FindingList>;

    /// Reads the order of a roll-out.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    fn read_rollout(text: &[u8]) -> Result<RolloutOrder, FindingList>;

    /// Writes how far a roll-out is.
    fn rollout(target: &str, state: RolloutState) -> String;

    /// Writes the answer to an announcement: where the server should make its
    /// next ones, if that is elsewhere.
    fn write_announce_reply(next: Option<SocketAddr>) -> String;

    /// Reads the announcement of a server.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    fn read_announcement(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList>;

    /// Reads what a server says when it leaves; it need not say anything.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    fn read_withdrawal(id: &str, text: &[u8]) -> Result<ServerAnnouncement, FindingList>;
}

/// Returns the one finding that a text is not what was expected.
pub fn parse_error_findings(error: &serde_json::Error) -> FindingList {
    let mut findings = FindingList::default();
    let place = wheelmast_core::finding::FindingPlace::Text {
        line: error.line(),
        column: error.column(),
    };
    findings.add(place, error.to_string());
    findings
}
