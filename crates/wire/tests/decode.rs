//! Tests that decoders accept valid input from other processes, refuse invalid input, and
//! never panic.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde::{Deserialize, Serialize};
use wheelmast_core::prelude::ReplyStatus;
use wheelmast_core::process::forward::suspect::record::{ServerCrash, SuspectRecord};
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_wire::peer::{decode, encode};
use wheelmast_wire::prelude::AnnouncementBody;
use wheelmast_wire::upstream::{decode_reply, read_announcement, MAX_REPLY_HITS};

struct ReplyCase {
    name: &'static str,
    status: u16,
    body: &'static str,
    check: fn(&ReplyStatus) -> bool,
}

fn is_failed(status: &ReplyStatus) -> bool {
    matches!(status, ReplyStatus::Failed)
}

#[test]
fn only_an_explicit_refusal_counts_as_not_run() {
    let cases = [
        ReplyCase {
            name: "answer",
            status: 200,
            body: r#"{"attempt":"1-2","request":"1-1","shard":3,"epoch":1,"version":9,
                "hits":[{"score":1.5,"document":{"a":1}},{"document":null}]}"#,
            check: |status| matches!(status, ReplyStatus::Body(body) if body.hits.len() == 2),
        },
        ReplyCase {
            name: "not JSON",
            status: 200,
            body: "<html>",
            check: is_failed,
        },
        ReplyCase {
            name: "invalid attempt id",
            status: 200,
            body: r#"{"attempt":"x","request":"1-1","shard":3,"epoch":1,"version":9,"hits":[]}"#,
            check: is_failed,
        },
        ReplyCase {
            name: "shed",
            status: 503,
            body: r#"{"ran":false,"retry_after_ms":20}"#,
            check: |status| {
                matches!(
                    status,
                    ReplyStatus::Shed {
                        retry_after: Some(_)
                    }
                )
            },
        },
        ReplyCase {
            name: "503 for a subquery that ran",
            status: 503,
            body: r#"{"ran":true}"#,
            check: is_failed,
        },
        ReplyCase {
            name: "503 without a JSON body",
            status: 503,
            body: "overloaded",
            check: is_failed,
        },
        ReplyCase {
            name: "snapshot not held",
            status: 410,
            body: r#"{"ran":false,"held":[{"epoch":1,"version":2,"shard":0,"shards":4}]}"#,
            check: |status| matches!(status, ReplyStatus::SnapshotNotHeld { held } if held.len() == 1),
        },
        ReplyCase {
            name: "unexpected status",
            status: 500,
            body: r#"{"ran":false}"#,
            check: is_failed,
        },
    ];
    for case in cases {
        let status = decode_reply(case.status, case.body.as_bytes());
        assert!((case.check)(&status), "{}: {status:?}", case.name);
    }
}

#[test]
fn a_reply_of_too_many_hits_is_refused() {
    let hits = vec!["{\"document\":1}"; MAX_REPLY_HITS + 1].join(",");
    let body = format!(
        "{{\"attempt\":\"1-2\",\"request\":\"1-1\",\"shard\":0,\"epoch\":1,\"version\":1,\
         \"hits\":[{hits}]}}"
    );
    assert_matches!(decode_reply(200, body.as_bytes()), ReplyStatus::Failed);
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    })]

    #[test]
    fn decoding_any_reply_does_not_panic(status in 100u16..600, body in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_reply(status, &body);
    }

    #[test]
    fn an_announcement_is_accepted_only_if_valid(
        slots in 0u32..4,
        connections in 0u32..4,
        lease_ms in 0u64..100_000,
        phase in "(starting|serving|draining|left|gone)?",
        load in any::<f32>(),
    ) {
        let body = AnnouncementBody {
            server: "s".into(),
            upstream: "u".into(),
            domain: "d".into(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            sequence: 1,
            phase: phase.clone(),
            held: Vec::new(),
            slots,
            connections,
            load,
            lease_ms,
        };
        let is_valid = slots > 0
            && connections > 0
            && (1..=60_000).contains(&lease_ms)
            && !phase.is_empty()
            && phase != "gone";
        prop_assert_eq!(read_announcement(body).is_ok(), is_valid);
    }
}

#[test]
fn packing_a_route_table_is_lossless_and_saves_95_percent() {
    let route = |number: usize| {
        let shards: Vec<String> = (0..90).map(|shard| format!("\"shard{shard}\"")).collect();
        format!(
            "{{\"name\":\"r{number}\",\"gather\":[{}]}}",
            shards.join(",")
        )
    };
    let text: String = (0..100).map(route).collect();
    let packed = wheelmast_wire::pack::pack(text.as_bytes()).expect("the text is packed");
    assert!(
        packed.len() * 20 < text.len(),
        "{} of {}",
        packed.len(),
        text.len()
    );
    let unpacked = wheelmast_wire::pack::unpack(&packed).expect("unpacking succeeds");
    assert_eq!(unpacked, text.as_bytes());
}

#[test]
fn a_document_that_grows_too_large_is_refused() {
    let text = vec![b' '; wheelmast_wire::pack::MAX_UNPACKED_BYTES as usize + 1];
    let packed = wheelmast_wire::pack::pack(&text).expect("the text is packed");
    let error = wheelmast_wire::pack::unpack(&packed).expect_err("the document is too large");
    assert!(error.to_string().contains("over 33554432 bytes"));
}

proptest! {
    #![proptest_config(Config { cases: 256, rng_seed: RngSeed::Fixed(9), ..Config::default() })]

    #[test]
    fn any_bytes_are_unpacked_or_refused_and_packing_is_lossless(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = wheelmast_wire::pack::unpack(&bytes);
        let packed = wheelmast_wire::pack::pack(&bytes).expect("the text is packed");
        let unpacked = wheelmast_wire::pack::unpack(&packed).expect("unpacking succeeds");
        prop_assert_eq!(unpacked, bytes);
    }
}

/// A suspect record as instances without trials encode it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerRecord {
    mark: RequestFingerprint,
    round: u32,
    ends: Vec<ServerCrash>,
}

/// Guards against instances of two versions that cannot read each other's suspect records, or
/// the file with them: the number of failed trials is stored in the former shape.
#[test]
fn suspect_records_with_failed_trials_have_the_shape_of_the_version_before() {
    let mark = RequestFingerprint {
        content: ContentFingerprint(1),
        caller: CallerFingerprint(2),
    };
    let mut record = SuspectRecord::new(mark);
    for server in ["a", "b", "c", "d"] {
        record.add(ServerCrash::of(server, true));
    }
    let former = FormerRecord {
        mark,
        round: 0,
        ends: ["a", "b", "c", "d"]
            .map(|server| ServerCrash::of(server, true))
            .to_vec(),
    };
    let bytes = encode(&former).expect("encoded");
    let read: SuspectRecord = decode(&bytes).expect("the former record is read");
    assert_eq!(read, record);
    assert_eq!((read.crash_count(), read.failed_trials()), (4, 0));
    record.raise_failed_trials(2);
    let bytes = encode(&record).expect("encoded");
    let read: FormerRecord = decode(&bytes).expect("the former version reads the record");
    assert_eq!(read.ends.len(), 5);
    assert_eq!(read.ends[..4], former.ends[..]);
    // What a former instance passes on is understood again.
    let bytes = encode(&read).expect("encoded");
    let passed_on: SuspectRecord = decode(&bytes).expect("read");
    assert_eq!((passed_on.crash_count(), passed_on.failed_trials()), (4, 2));
    let text = serde_json::to_string(&record).expect("text");
    let read: SuspectRecord = serde_json::from_str(&text).expect("a header value");
    assert_eq!(read.failed_trials(), 2);
}
