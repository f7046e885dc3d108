//! An entry in the process of the test: it serves callers over TCP and sends their requests to
//! servers that the test supplies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_node::process::forward::callers::accept_callers;
use wheelmast_node::process::forward::entry::{EntryPhase, ForwardDriver};
use wheelmast_wire::native::NativeDialect;

/// Longest time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry that serves callers.
pub struct LocalEntry {
    pub driver: Rc<ForwardDriver<NativeDialect>>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Keeps the listener for callers open.
    _closing: watch::Sender<bool>,
}

impl LocalEntry {
    /// Starts an entry with this route table, as JSON, and a large budget for extra load.
    pub async fn start(table: &str) -> LocalEntry {
        let options = ForwardOptions {
            domain: "here".into(),
            extra: ExtraBound {
                ratio: 1.0,
                slack: 1000.0,
                window: Duration::from_secs(10),
            },
            ..ForwardOptions::default()
        };
        let driver = Rc::new(ForwardDriver::new(options, 1));
        tokio::task::spawn_local(driver.clone().run_timers());
        let draft: RouteDraft = serde_json::from_str(table).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        driver.step(ForwardInput::Table(table.into()));
        driver.set_phase(EntryPhase::Serving);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (closing_sender, closing) = watch::channel(false);
        tokio::task::spawn_local(accept_callers(driver.clone(), listener, closing));
        LocalEntry {
            driver,
            address,
            _closing: closing_sender,
        }
    }

    /// Announces a server with four slots.
    pub fn add_server(&self, id: &str, service: &str, address: SocketAddr) {
        self.driver
            .step(ForwardInput::Announcement(ServerAnnouncement {
                id: id.into(),
                service: service.into(),
                address: Some(address),
                domain: "here".into(),
                version: "".into(),
                slots: 4,
                standing: ServerLifecycle::Ready,
                born: 0,
                sequence: 1,
                cold_ms: 0,
            }));
    }
}

/// Sends a request from a local address and returns the status and the text of the response.
/// The status is 0 if there is no valid response.
pub async fn request_from(source: [u8; 4], to: SocketAddr, request: &str) -> (u16, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((source, 0).into()).expect("a local address");
    let mut stream = socket.connect(to).await.expect("a connection");
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(CALLER_TIMEOUT, read).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    (status.unwrap_or(0), text)
}

/// Reads the head of a request and returns the value of its id header, or `None` at the end of
/// the connection.
pub async fn read_request_id(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let mut lines = head.lines();
    lines.find_map(|line| Some(line.strip_prefix("wheelmast-request:")?.trim().to_string()))
}
