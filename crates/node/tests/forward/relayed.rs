//! Checks the HTTP exchange of a relay: a request, or some of its shards, that one
//! entry sends to another. The other entry at once acknowledges a relay with
//! `100 Continue`. The sender's attempt allowance (how many servers the other entry
//! may try per shard) follows in the body.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use wheelmast_core::request::records::RECORD_BYTES;
use wheelmast_fake::shard::FakeShard;
use wheelmast_node::connection::frame::FrameReader;
use wheelmast_wire::group::GroupMessage;

use crate::harness::{route_table, send_request, wait_until, Deployment, TEST_TIMEOUT};
use crate::news::{send_message, subscribe_as_entry};

/// Number of records that the route of the table selects.
const TABLE_TOP: usize = 4;

/// Reads until the received bytes end with `end`, and returns them in lower case.
fn read_until(stream: &mut TcpStream, end: &[u8]) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(end) {
        stream.read_exact(&mut byte).expect("more bytes");
        bytes.extend_from_slice(&byte);
    }
    String::from_utf8_lossy(&bytes).to_lowercase()
}

/// Returns the identity of an entry's current incarnation (its run as one process),
/// as the control group sends it to entries.
async fn identity_of(deployment: &Deployment, name: &str) -> Box<str> {
    let stream = subscribe_as_entry(deployment, "asker").await;
    let (reader, mut writer) = stream.into_split();
    send_message(
        &mut writer,
        &GroupMessage::Whole {
            have: 0,
            servers: Vec::new(),
        },
    )
    .await;
    let mut reader = FrameReader::new(reader);
    let find_identity = async {
        loop {
            let message = reader.next().await.expect("a message");
            if let GroupMessage::Members { joined, .. } = message {
                if let Some(peer) = joined.iter().find(|peer| &*peer.instance == name) {
                    return peer.id();
                }
            }
        }
    };
    let found = tokio::time::timeout(TEST_TIMEOUT, find_identity).await;
    found.expect("the control group reports the entry")
}

/// Sends the head of a relay as an entry does, but holds back the body with the attempt
/// allowance: how many servers the other entry may try per shard. `lines` are further
/// header lines.
fn send_relay_head(stream: &mut TcpStream, id: &str, identity: &str, lines: &str) {
    let request = format!(
        "GET /q/x HTTP/1.1\r\nhost: shop\r\nwheelmast-request: {id}\r\n\
         wheelmast-time-left-ms: 2000\r\nwheelmast-relayed: 5;400;1;1;0;s0,s1\r\n\
         wheelmast-expect-server: {identity}\r\n{lines}\
         expect: 100-continue\r\ncontent-length: 1\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("written");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_acknowledges_a_relay_at_once() {
    let deployment = Deployment::start(9);
    deployment.put_first_table(&route_table(5));
    let mut shards = Vec::new();
    for number in 0..4 {
        let shard = FakeShard::start(&format!("s{number}"), "here", b'a').await;
        shards.push(shard.expect("a shard"));
    }
    deployment.announce_all(shards.iter());
    wait_until(
        "the entry is ready",
        || send_request(deployment.balancer_address(3), "GET", "/ready", "", ""),
        |reply| reply.status == 200,
    );
    wait_until(
        "all shards answer",
        || deployment.query(3, "/q/x", "first"),
        |reply| reply.status == 200 && reply.head.contains("missing: 0"),
    );

    let mut stream = TcpStream::connect(deployment.front_address(3)).expect("a connection");
    let read_timeout = Some(Duration::from_secs(3));
    stream.set_read_timeout(read_timeout).expect("a timeout");
    // A relay that is malformed, or meant for another incarnation, gets 503, which
    // says that nothing ran. The sending entry can then send to the shards itself.
    let identity = identity_of(&deployment, "n3").await;
    let identity_line = format!("wheelmast-expect-server: {identity}\r\n");
    let valid_relay = "wheelmast-relayed: 5;400;1;1;0;s0,s1\r\n";
    let cases = [
        (
            "malformed relay",
            "wheelmast-relayed: 5;400;0;s0,s1\r\n",
            &*identity_line,
        ),
        ("no incarnation", valid_relay, ""),
        (
            "another incarnation",
            valid_relay,
            "wheelmast-expect-server: n3#1\r\n",
        ),
    ];
    for (name, relay_line, incarnation_line) in cases {
        let lines = format!("{relay_line}{incarnation_line}");
        let reply = send_request(deployment.front_address(3), "GET", "/q/x", &lines, "")
            .expect("an answer");
        assert_eq!(reply.status, 503, "{name}");
    }

    // Several relays on one connection check that the body of the first, sent after the
    // acknowledgement, leaves no unread bytes on the connection. The last one orders fewer
    // records than the route of this entry selects.
    let relays = [
        ("r1", "", TABLE_TOP),
        ("r2", "", TABLE_TOP),
        ("r3", "wheelmast-top: 1\r\n", 1),
    ];
    for (id, lines, top) in relays {
        send_relay_head(&mut stream, id, &identity, lines);
        let acknowledgement = read_until(&mut stream, b"\r\n\r\n");
        assert!(
            acknowledgement.starts_with("http/1.1 100"),
            "{acknowledgement}"
        );
        stream.write_all(b"2").expect("written");
        let head = read_until(&mut stream, b"\r\n\r\n");
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert!(head.contains("wheelmast-shards: s0, s1"), "{head}");
        let top_line = format!("wheelmast-top: {top}\r\n");
        assert!(head.contains(&top_line), "{head}");
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.expect("a length").parse().expect("a number");
        let mut body = vec![0; length];
        stream.read_exact(&mut body).expect("the body");
        assert_eq!(body.len(), top * RECORD_BYTES, "{id}");
        for shard in &shards[..2] {
            assert!(shard.seen().contains(&id.to_string()), "{}", shard.id);
        }
    }

    // A relay for regions in which this entry knows no servers is refused before its body
    // is read.
    send_relay_head(&mut stream, "r4", &identity, "wheelmast-homes: nowhere\r\n");
    let head = read_until(&mut stream, b"\r\n\r\n");
    assert!(head.starts_with("http/1.1 503"), "{head}");
}
