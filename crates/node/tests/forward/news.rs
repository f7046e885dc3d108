//! What entries hear of requests under which servers end, when many do.
//!
//! What callers saw: where half of the servers reset answers, entries took no
//! request in for seconds. Each end was told to each entry by each control
//! instance, by itself: over 1,000 messages a second for entries that have an
//! eighth of a processor.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::suspect::record::{ServerCrash, SuspectRecord};
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_node::connection::frame::{write_frame, FrameReader};
use wheelmast_wire::group::GroupMessage;

use crate::harness::{route_table, Deployment, PATIENCE};

/// Requests under which a server ends.
const ENDS: usize = 400;
/// Time from one to the next.
const STEP: Duration = Duration::from_millis(2);
/// Most messages in which an entry hears of them from one control instance: a
/// few tens a second.
const MOST_MESSAGES: usize = 80;
/// Longest time until it hears of the first, which comes alone.
const FIRST_TIME: Duration = Duration::from_millis(500);

/// Follows a control instance as an entry does.
pub(crate) async fn follow(deployment: &Deployment, name: &str) -> TcpStream {
    let mut stream = TcpStream::connect(deployment.peers(0)).await;
    let begin = Instant::now();
    while stream.is_err() && begin.elapsed() < PATIENCE {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream = TcpStream::connect(deployment.peers(0)).await;
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
    say(&mut stream, &subscribe).await;
    stream
}

pub(crate) async fn say<W: AsyncWriteExt + Unpin>(writer: &mut W, message: &GroupMessage) {
    let mut bytes = Vec::new();
    write_frame(message, &mut bytes).expect("a frame");
    writer.write_all(&bytes).await.expect("written");
}

fn record(number: usize) -> SuspectRecord {
    let mut record = SuspectRecord::new(RequestFingerprint {
        content: ContentFingerprint::of("GET", "h", &format!("/{number}"), &[]),
        caller: CallerFingerprint::of(b"caller"),
    });
    record.add(ServerCrash::of(&format!("server-{number}"), false));
    record
}

#[tokio::test(flavor = "multi_thread")]
async fn news_of_many_ends_come_together_and_the_first_at_once() {
    let deployment = Deployment::start(14);
    deployment.put_first_table(&route_table(5));
    let mut teller = follow(&deployment, "teller").await;
    let hearer = follow(&deployment, "hearer").await;
    let (reader, mut writer) = hearer.into_split();
    let hearing = tokio::spawn(async move {
        let mut reader = FrameReader::new(reader);
        let (mut marks, mut messages, mut first) = (HashSet::new(), 0, None);
        while marks.len() < ENDS {
            let message = reader.next().await.expect("a message");
            if let GroupMessage::Suspects(records) = message {
                messages += usize::from(!records.is_empty());
                marks.extend(records.iter().map(|record| record.mark));
                if !marks.is_empty() {
                    first.get_or_insert(Instant::now());
                }
            }
        }
        (messages, first)
    });
    tokio::time::sleep(FIRST_TIME).await;
    let begin = Instant::now();
    for number in 0..ENDS {
        say(&mut teller, &GroupMessage::Suspects(vec![record(number)])).await;
        tokio::time::sleep(if number == 0 { FIRST_TIME } else { STEP }).await;
        say(&mut writer, &GroupMessage::Ping).await;
    }
    let heard = tokio::time::timeout(PATIENCE, hearing).await;
    let (messages, first) = heard.expect("all are heard of").expect("heard");
    let after = first.expect("the first") - begin;
    assert!(after < FIRST_TIME, "{after:?}");
    assert!(messages <= MOST_MESSAGES, "{messages} messages");
}
