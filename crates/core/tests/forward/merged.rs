//! Property test of merged answers: whether the parts came from servers or in
//! bundles from other entries, the records of the answer are the greatest records of
//! exactly the parts that the answer names.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;
use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardAnswer};
use wheelmast_core::process::forward::input::{
    AttemptResult, BundleAnswer, EntryPeer, ForwardInput,
};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::request::records::{PartRecord, RecordMerge};
use wheelmast_core::version::route_table::RouteRule;

use crate::harness::{answer, route, shards, table, Harness, LOCAL_DOMAIN};

/// Failure domain in another region.
const FAR_DOMAIN: &str = "far";
/// Another failure domain of the local region.
const NEAR_DOMAIN: &str = "beside";
const SHARDS: usize = 40;
/// Number of records in the answer.
const TOP: usize = 5;
/// Number of records in a part.
const RECORDS: usize = 6;

/// Returns the records of a server, derived from its stamp by a hash, so that each
/// server has different ones.
fn records(stamp: &str) -> Vec<PartRecord> {
    let mut state = 0xcbf2_9ce4_8422_2325u64;
    for byte in stamp.bytes() {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let draw = |number: usize| {
        let mut value = state
            .wrapping_add(number as u64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        value ^= value >> 29;
        // One significant byte, so that some records are equal.
        let mut record = [0; 16];
        record[0] = (value >> 8) as u8;
        record
    };
    (0..RECORDS).map(draw).collect()
}

/// Returns the merged records of the servers with these stamps.
fn greatest<'a>(stamps: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let mut merge = RecordMerge::new(TOP);
    for stamp in stamps {
        merge.take(&records(stamp).concat());
    }
    merge.finish()
}

/// Returns the answer of another entry to a relay. The answer has those of the requested
/// shards whose index `has_part` selects, from servers of that entry's domain.
fn entry_answer(order: &AttemptOrder, has_part: impl Fn(usize) -> bool) -> AttemptResult {
    let relay = order.relay.as_ref().expect("a relay to another entry");
    let domain = if order.instance.contains(FAR_DOMAIN) {
        FAR_DOMAIN
    } else {
        &*order.instance
    };
    let named: Vec<(Box<str>, Box<str>)> = relay
        .shards
        .iter()
        .enumerate()
        .filter(|(place, _)| has_part(*place))
        .map(|(_, shard)| ((**shard).into(), format!("{shard}@{domain}").into()))
        .collect();
    if named.is_empty() {
        return AttemptResult::Broken;
    }
    let body = greatest(named.iter().map(|(_, stamp)| &**stamp));
    AttemptResult::Bundle(BundleAnswer {
        parts: named,
        top: Some(TOP),
        body: Bytes::from(body),
    })
}

/// Returns a harness with three failure domains that all have entries: the local one,
/// a near one of the same region, and a far one. Each shard has a server in the local
/// or the near domain and one in the far domain.
fn three_domain_harness() -> Harness {
    let pairs = [
        (LOCAL_DOMAIN, "west"),
        (NEAR_DOMAIN, "west"),
        (FAR_DOMAIN, "east"),
    ];
    let pairs = pairs.map(|(domain, region)| (domain.into(), region.into()));
    let peer = |number: usize, domain: &str| EntryPeer {
        instance: format!("{domain}{number}").into(),
        incarnation: 1,
        domain: domain.into(),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
    };
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        local_id: peer(0, LOCAL_DOMAIN).id(),
        regions: RegionMap::new(pairs),
        ..ForwardOptions::default()
    });
    let rule = RouteRule {
        top: TOP,
        attempts: 3,
        least_coverage: 0.3,
        ..route("q", shards(SHARDS))
    };
    harness.set_table(table(3, vec![rule]));
    for shard in 0..SHARDS {
        let near = if shard < 30 {
            LOCAL_DOMAIN
        } else {
            NEAR_DOMAIN
        };
        for domain in [near, FAR_DOMAIN] {
            harness.add_server_in(&format!("s{shard}"), domain);
        }
    }
    let mut peers: Vec<EntryPeer> = (0..5).map(|number| peer(number, LOCAL_DOMAIN)).collect();
    peers.extend((5..8).map(|number| peer(number, NEAR_DOMAIN)));
    peers.extend((8..11).map(|number| peer(number, FAR_DOMAIN)));
    harness.step(ForwardInput::Peers(peers));
    harness
}

/// Gives an attempt the result chosen by `kind` and `mask`. Every other relay is
/// acknowledged first.
fn end(harness: &mut Harness, send: usize, kind: u8, mask: u64) {
    let order = harness.sends[send].clone();
    if order.relay.is_some() {
        if kind & 1 == 0 {
            harness.acknowledge_relay(send);
        }
        let has_part = |place: usize| mask >> (place % 60) & 1 == 0 || kind % 5 < 3;
        return match kind % 11 {
            0 => harness.end(send, AttemptResult::Unsent),
            1 => harness.end(send, AttemptResult::Broken),
            _ => harness.end(send, entry_answer(&order, has_part)),
        };
    }
    if kind.is_multiple_of(7) {
        return harness.end(send, AttemptResult::Broken);
    }
    let stamp = format!("{}!", order.instance);
    let mut whole = answer(200, &stamp, b"");
    whole.body = Bytes::from(records(&stamp).concat());
    harness.end(send, AttemptResult::Answer(whole));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn the_records_are_the_greatest_of_the_named_parts(
        draws in prop::collection::vec((any::<u8>(), any::<u64>(), any::<u8>()), 120),
    ) {
        let mut harness = three_domain_harness();
        // Lets the machine learn answer times first.
        for _ in 0..6 {
            let first = harness.sends.len();
            harness.call("q");
            harness.advance(6);
            for send in first..harness.sends.len() {
                end(&mut harness, send, 2, 0);
            }
            harness.advance(200);
        }
        let mut open: BTreeMap<usize, ()> = BTreeMap::new();
        let mut seen = harness.sends.len();
        let call = harness.call("q");
        for (kind, mask, pick) in draws {
            open.extend((seen..harness.sends.len()).map(|send| (send, ())));
            seen = harness.sends.len();
            let place = usize::from(pick) % open.len().max(1);
            if let Some(send) = open.keys().copied().nth(place) {
                // Half of the chosen server attempts stay outstanding, as if slow.
                if harness.sends[send].relay.is_some() || kind % 2 == 0 {
                    open.remove(&send);
                    end(&mut harness, send, kind, mask);
                }
            }
            harness.advance(u64::from(pick % 3));
        }
        harness.advance(1200);
        if let Some(ForwardAnswer::Gathered { stamps, body, missing, .. }) = harness.answer_to(call) {
            let mut named: Vec<&str> = stamps.iter().map(|stamp| &**stamp).collect();
            prop_assert_eq!(&body[..], &greatest(named.iter().copied())[..]);
            prop_assert_eq!(named.len() + missing, SHARDS);
            let shard = |stamp: &str| stamp.split(['@', '-']).next().unwrap_or_default().to_string();
            named.sort_by_key(|stamp| shard(stamp));
            named.dedup_by_key(|stamp| shard(stamp));
            prop_assert_eq!(named.len() + missing, SHARDS, "a shard occurs twice");
        }
    }
}
