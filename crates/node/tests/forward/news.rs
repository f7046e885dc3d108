//! Checks that the control group batches crash records for entries.
//!
//! A crash record names a suspect request, under which a server crashed. The test
//! guards against control instances that send each crash to each entry in a message
//! of its own. Where half of the servers reset connections, that made over 1,000
//! messages a second for entries with an eighth of a processor, and the entries
//! accepted no requests for seconds.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::suspect::record::{ServerCrash, SuspectRecord};
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_node::connection::frame::{write_frame, FrameReader};
use wheelmast_wire::group::GroupMessage;

use crate::harness::{route_table, Deployment, TEST_TIMEOUT};

/// Number of requests under which a server crashes.
const CRASHES: usize = 400;
/// Time between two crash reports.
const CRASH_INTERVAL: Duration = Duration::from_millis(2);
/// Most messages with crash records that an entry may receive from one control
/// instance during the test: a few tens a second.
const MAX_MESSAGES: usize = 80;
/// Longest time until an entry receives the first crash record, which must be sent
/// without waiting for others.
const FIRST_RECORD_DEADLINE: Duration = Duration::from_millis(500);

/// Connects to the first control instance and subscribes to its updates, as an
/// entry with the instance name `name` does.
pub(crate) async fn subscribe_as_entry(deployment: &Deployment, name: &str) -> TcpStream {
    let mut stream = TcpStream::connect(deployment.peer_address(0)).await;
    let begin = Instant::now();
    while stream.is_err() && begin.elapsed() < TEST_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream = TcpStream::connect(deployment.peer_address(0)).await;
    }
    let mut stream = stream.expect("a connection");
    let peer = EntryPeer {
        instance: name.into(),
        incarnation: 1,
        domain: "here".into(),
        address: ([127, 0, 0, 1], 9).into(),
    };
    let subscribe = GroupMessage::Subscribe {
        peer,
        confirm: false,
    };
    send_message(&mut stream, &subscribe).await;
    stream
}

/// Writes one message as a frame.
pub(crate) async fn send_message<W: AsyncWriteExt + Unpin>(writer: &mut W, message: &GroupMessage) {
    let mut bytes = Vec::new();
    write_frame(message, &mut bytes).expect("a frame");
    writer.write_all(&bytes).await.expect("written");
}

/// Returns the crash record of one request that crashed one server.
fn crash_record(number: usize) -> SuspectRecord {
    let mut record = SuspectRecord::new(RequestFingerprint {
        content: ContentFingerprint::of("GET", "h", &format!("/{number}"), &[]),
        caller: CallerFingerprint::of(b"caller"),
    });
    record.add(ServerCrash::of(&format!("server-{number}"), false));
    record
}

#[tokio::test(flavor = "multi_thread")]
async fn many_crash_records_are_batched_and_the_first_is_sent_at_once() {
    let deployment = Deployment::start(14);
    deployment.put_first_table(&route_table(5));
    let mut reporter = subscribe_as_entry(&deployment, "teller").await;
    let subscriber = subscribe_as_entry(&deployment, "hearer").await;
    let (reader, mut writer) = subscriber.into_split();
    let receiver = tokio::spawn(async move {
        let mut reader = FrameReader::new(reader);
        let (mut fingerprints, mut messages, mut first_at) = (HashSet::new(), 0, None);
        while fingerprints.len() < CRASHES {
            let message = reader.next().await.expect("a message");
            if let GroupMessage::Suspects(records) = message {
                messages += usize::from(!records.is_empty());
                fingerprints.extend(records.iter().map(|record| record.mark));
                if !fingerprints.is_empty() {
                    first_at.get_or_insert(Instant::now());
                }
            }
        }
        (messages, first_at)
    });
    tokio::time::sleep(FIRST_RECORD_DEADLINE).await;
    let begin = Instant::now();
    for number in 0..CRASHES {
        send_message(
            &mut reporter,
            &GroupMessage::Suspects(vec![crash_record(number)]),
        )
        .await;
        tokio::time::sleep(if number == 0 {
            FIRST_RECORD_DEADLINE
        } else {
            CRASH_INTERVAL
        })
        .await;
        send_message(&mut writer, &GroupMessage::Ping).await;
    }
    let received = tokio::time::timeout(TEST_TIMEOUT, receiver).await;
    let (messages, first_at) = received
        .expect("all records arrive in time")
        .expect("the receiver does not panic");
    let delay = first_at.expect("a first record") - begin;
    assert!(delay < FIRST_RECORD_DEADLINE, "{delay:?}");
    assert!(messages <= MAX_MESSAGES, "{messages} messages");
}
