//! Parts that are asked for in another region beside a slow near server.

use std::time::Duration;

use bytes::Bytes;
use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::far::FarWay;
use wheelmast_core::process::forward::input::{AttemptEnd, BundleAnswer, BundleForm, RelayOrder};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::version::route_table::RouteRule;

use crate::harness::{answer, route, shards, table, Harness, HOME};

const FAR: &str = "far";
const SHARDS: usize = 20;
/// Records that an answer takes.
const TOP: usize = 3;

/// A record of this letter.
fn record(letter: u8) -> [u8; 16] {
    [letter; 16]
}

fn body(letters: &[u8]) -> Bytes {
    letters.iter().flat_map(|letter| record(*letter)).collect()
}

/// Shards with a server here and one in another region, where an entry is.
fn world(far: FarWay) -> Harness {
    let pairs = [(HOME, "west"), (FAR, "east")];
    let pairs = pairs.map(|(domain, region)| (domain.into(), region.into()));
    let mut harness = Harness::with_options(ForwardOptions {
        domain: HOME.into(),
        regions: RegionMap::new(pairs),
        far,
        ..ForwardOptions::default()
    });
    let rule = RouteRule {
        top: TOP,
        least_coverage: 0.9,
        ..route("q", shards(SHARDS))
    };
    harness.obey(table(3, vec![rule]));
    for shard in 0..SHARDS {
        for domain in [HOME, FAR] {
            harness.serve_in(&format!("s{shard}"), domain);
        }
    }
    harness.meet(&[FAR]);
    harness
}

/// Answers the first sends but those in `slow`, each with one record.
fn answer_all_but(harness: &mut Harness, slow: &[usize]) {
    harness.now += Duration::from_millis(5);
    for send in 0..SHARDS {
        if !slow.contains(&send) {
            let stamp = harness.sends[send].instance.to_string();
            let mut end = answer(200, &stamp, b"");
            end.body = body(&[b'a' + send as u8]);
            harness.end(send, AttemptEnd::Answer(end));
        }
    }
}

fn far_bundle(parts: &[(&str, &[u8])]) -> AttemptEnd {
    let named = parts.iter();
    AttemptEnd::Bundle(BundleAnswer {
        parts: named
            .map(|(shard, _)| ((*shard).into(), format!("{shard}-far").into()))
            .collect(),
        body: parts
            .iter()
            .flat_map(|(_, letters)| body(letters))
            .collect(),
        counts: parts.iter().map(|(_, letters)| letters.len()).collect(),
    })
}

#[test]
fn slow_parts_are_asked_for_together_with_the_least_record_of_use() {
    let mut harness = world(FarWay::Relayed);
    let call = harness.call("q");
    answer_all_but(&mut harness, &[4, 9, 10]);
    harness.pass(60);
    assert_eq!(harness.sends.len(), SHARDS + 1, "one send for three parts");
    let order = harness.sends[SHARDS].relay.clone().expect("to an entry");
    assert_eq!(order.shards.len(), 3);
    // The greatest three in are t, s and r.
    let above = Some(record(b'r'));
    assert_eq!(order.form, BundleForm::Apart { above });
    assert_eq!(order.attempts, 1, "a part runs on two servers at most");
    let end = far_bundle(&[("s4", b"z"), ("s9", b""), ("s10", b"s")]);
    harness.end(SHARDS, end);
    let Some(ForwardAnswer::Gathered {
        body: got, missing, ..
    }) = harness.answer_to(call)
    else {
        panic!("no answer");
    };
    assert_eq!(*missing, 0);
    assert_eq!(got[..], body(b"zts")[..]);
}

#[test]
fn by_themselves_each_part_is_a_send() {
    let mut harness = world(FarWay::Direct);
    harness.call("q");
    answer_all_but(&mut harness, &[4, 9, 10]);
    harness.pass(60);
    assert_eq!(harness.sends.len(), SHARDS + 3);
    assert!(harness.sends.iter().all(|order| order.relay.is_none()));
}

#[test]
fn what_is_answered_meanwhile_stays_and_the_rest_is_taken() {
    let mut harness = world(FarWay::Relayed);
    let call = harness.call("q");
    answer_all_but(&mut harness, &[4, 9, 10]);
    harness.pass(60);
    let mut near = answer(200, "s4-here", b"");
    near.body = body(b"yx");
    harness.end(4, AttemptEnd::Answer(near));
    harness.end(
        SHARDS,
        far_bundle(&[("s4", b"z"), ("s9", b"w"), ("s10", b"")]),
    );
    let Some(ForwardAnswer::Gathered {
        stamps, body: got, ..
    }) = harness.answer_to(call)
    else {
        panic!("no answer");
    };
    assert!(stamps.contains(&"s4-here".into()) && stamps.contains(&"s9-far".into()));
    assert!(!stamps.contains(&"s4-far".into()));
    assert_eq!(
        got[..],
        body(b"yxw")[..],
        "records of the parts named, no others"
    );
}

#[test]
fn an_entry_that_refuses_leaves_its_parts_to_their_servers() {
    let mut harness = world(FarWay::Relayed);
    harness.call("q");
    answer_all_but(&mut harness, &[4, 9, 10]);
    harness.pass(60);
    harness.end(SHARDS, AttemptEnd::Unsent);
    let direct = &harness.sends[SHARDS + 1..];
    assert_eq!(direct.len(), 3);
    assert!(direct.iter().all(|order| order.instance.ends_with(FAR)));
}

struct ApartCase {
    name: &'static str,
    above: Option<u8>,
    counts: &'static [usize],
    body: &'static [u8],
}

#[test]
fn an_entry_that_is_asked_for_parts_apart_sends_what_is_of_use() {
    let cases = [
        ApartCase {
            name: "all of use",
            above: None,
            counts: &[3, 1],
            body: b"fedm",
        },
        ApartCase {
            name: "equal ones count",
            above: Some(b'e'),
            counts: &[2, 1],
            body: b"fem",
        },
        ApartCase {
            name: "nothing of one",
            above: Some(b'g'),
            counts: &[0, 1],
            body: b"m",
        },
    ];
    for case in cases {
        let mut harness = world(FarWay::Relayed);
        let order = RelayOrder {
            version: 3,
            answer_in: Duration::from_millis(50),
            attempts: 1,
            earns: false,
            divides: false,
            form: BundleForm::Apart {
                above: case.above.map(record),
            },
            shards: vec!["s0".into(), "s1".into()],
        };
        let call = harness.call_as("q", None, Some(order));
        for (send, letters) in [&b"dcfeab"[..], b"m"].iter().enumerate() {
            let stamp = harness.sends[send].instance.to_string();
            let mut end = answer(200, &stamp, b"");
            end.body = body(letters);
            harness.end(send, AttemptEnd::Answer(end));
        }
        let Some(ForwardAnswer::Gathered {
            counts, body: got, ..
        }) = harness.answer_to(call)
        else {
            panic!("{}: no answer", case.name);
        };
        assert_eq!(counts, case.counts, "{}", case.name);
        assert_eq!(got[..], body(case.body)[..], "{}", case.name);
    }
}
