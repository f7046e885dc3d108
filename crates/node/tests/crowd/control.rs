//! Crowds at a control instance: at its listener for servers and operators, and at that for
//! metrics.

use wheelmast_fake::shard::FakeShard;

use crate::crowd::{
    gather, run_alone, short_body, short_chunks, short_head, ProcessBounds, CROWD, LOW_LIMITS,
    ORDINARY_ATTEMPTS,
};
use crate::harness::{route_table, Deployment};

/// Number of the control instance under test.
const CONTROL: usize = 0;
/// Size of a large legal body, in bytes.
const BODY_BYTES: usize = 1024 * 1024;

/// Returns a part of a legal message of another instance.
fn short_message() -> Vec<u8> {
    let length = 7 * BODY_BYTES as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.resize(BODY_BYTES, 0);
    bytes
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_instance_bounds_what_its_clients_hold() {
    let _alone = run_alone().await;
    let deployment = Deployment::start_with(36, LOW_LIMITS);
    deployment.put_first_table(&route_table(5));
    let desk = FakeShard::start("desk", "here", b'x')
        .await
        .expect("a desk");
    deployment.announce_all([&desk].into_iter());
    let put = "PUT /v1/routes HTTP/1.1\r\nhost: shop\r\n";
    let announce = "PUT /v1/servers/x HTTP/1.1\r\nhost: shop\r\n";
    let calls = deployment.front_address(CONTROL);
    let metrics = deployment.metrics_address(CONTROL);
    let peers = deployment.peer_address(CONTROL);
    let cases = [
        (
            "a table without its last byte",
            calls,
            short_body(put, BODY_BYTES),
        ),
        (
            "an announcement without its last byte",
            calls,
            short_body(announce, BODY_BYTES),
        ),
        (
            "small chunks without a last one",
            calls,
            short_chunks(put, 1, 40_000),
        ),
        (
            "a head without its last byte",
            calls,
            short_head(put, 8 * 1024),
        ),
        ("no byte at all", calls, Vec::new()),
        ("no byte at all, metrics", metrics, Vec::new()),
        ("a message without its end, peers", peers, short_message()),
        ("no byte at all, peers", peers, Vec::new()),
    ];
    let child = deployment.daemons[CONTROL].child.as_ref();
    let bounds = ProcessBounds::measure(child.expect("the instance runs").id());
    for (name, address, bytes) in cases {
        let crowd = gather(address, CROWD, &bytes);
        let mut attempts =
            (0..ORDINARY_ATTEMPTS).map(|_| deployment.announce(&desk, CONTROL, false));
        let is_answered = attempts.any(|reply| reply.is_some_and(|reply| reply.status == 200));
        assert!(is_answered, "{name}: no announcement was acknowledged");
        bounds.check(name);
        drop(crowd);
    }
}
