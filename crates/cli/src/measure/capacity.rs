//! Measures how decision time, memory and message sizes grow with the deployment.
//! Each growth rate is the slope of a line fitted through several sizes; the
//! capacity page is computed from these slopes.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wheelmast_core::prelude::*;
use wheelmast_core::process::control::fence::ClaimRequest;
use wheelmast_core::process::control::log::LogPosition;
use wheelmast_core::process::control::message::ReplicaMessage;
use wheelmast_core::process::control::state::{ControlCommand, ControlState, TableVersion};
use wheelmast_core::process::gossip::machine::{GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberLifecycle, MemberState};
use wheelmast_wire::peer::{encode, PeerRequest};
use wheelmast_wire::prelude::{AnnouncementBody, HeldSnapshotBody};
use wheelmast_wire::upstream::{encode_search_start, SEARCH_REQUEST_END};

use crate::measure::cpu::resident_bytes;
use crate::measure::fit::{fit_line, LineFit, SizePoint};

/// Growth of one measured value with the size of the deployment.
#[derive(Debug)]
pub struct MeasuredSlope {
    /// Name of the measured value.
    pub name: &'static str,
    /// Unit of the measured value.
    pub unit: &'static str,
    /// What the size counts, for example servers.
    pub per: &'static str,
    /// Measured values, one per size.
    pub points: Vec<SizePoint>,
    /// Line fitted through the points.
    pub fit: LineFit,
}

/// Measures the slopes of all values.
///
/// # Errors
///
/// Fails if a message cannot be encoded.
pub fn measure_slopes() -> anyhow::Result<Vec<MeasuredSlope>> {
    Ok(vec![
        measure_slope(
            "decisions of a query",
            "us",
            "shard",
            &[20, 60, 120, 240],
            measure_query_micros,
        ),
        measure_slope(
            "roster memory",
            "bytes",
            "server",
            &[1350, 2700, 5400, 10_800],
            measure_roster_bytes,
        ),
        measure_slope(
            "gossip memory",
            "bytes",
            "server",
            &[2700, 5400, 10_800, 18_000],
            measure_gossip_bytes,
        ),
        measure_slope("table push", "bytes", "service", &[4, 40, 400], |size| {
            encoded_table_bytes(size).unwrap_or(0) as f64
        }),
        measure_slope(
            "state of the fence",
            "bytes",
            "claim",
            &[1000, 10_000, 50_000],
            |size| encoded_claim_bytes(size).unwrap_or(0) as f64,
        ),
    ])
}

/// Returns the encoded sizes, in bytes, of messages whose size does not depend on
/// the deployment.
///
/// # Errors
///
/// Fails if a message cannot be encoded.
pub fn measure_message_sizes() -> anyhow::Result<Vec<(&'static str, usize)>> {
    let heartbeat = PeerRequest::Replica {
        from: u64::MAX,
        message: ReplicaMessage::Append {
            term: 1000,
            previous: LogPosition {
                term: 1000,
                index: 1_000_000,
            },
            entries: Vec::new(),
            round: 1,
            commit: 1_000_000,
        },
    };
    let order = SendOrder {
        attempt: SlotArena::<()>::default().insert(()),
        id: AttemptId {
            incarnation: u64::MAX,
            sequence: 1_000_000,
        },
        request: RequestId {
            incarnation: u64::MAX,
            sequence: 1_000_000,
        },
        server: first_server(),
        address: ([127, 0, 0, 1], 7400).into(),
        shard: 100,
        snapshot: SnapshotId {
            epoch: 1,
            version: 100,
        },
        deadline: Duration::from_millis(180),
        body: Arc::new(body()),
    };
    Ok(vec![
        ("heartbeat to a replica", encode(&heartbeat)?.len()),
        (
            "question for a newer table",
            encode(&PeerRequest::AskTable { have: 1000 })?.len(),
        ),
        (
            "subquery",
            encode_search_start(&order, Duration::ZERO)?.len()
                + order.body.payload.len()
                + SEARCH_REQUEST_END.len(),
        ),
        ("announcement", serde_json::to_vec(&announcement())?.len()),
    ])
}

/// Measures a value at each size and fits a line through the results.
fn measure_slope(
    name: &'static str,
    unit: &'static str,
    per: &'static str,
    sizes: &[u32],
    measure: impl Fn(u32) -> f64,
) -> MeasuredSlope {
    let points: Vec<SizePoint> = sizes
        .iter()
        .map(|size| SizePoint {
            size: f64::from(*size),
            value: measure(*size),
        })
        .collect();
    MeasuredSlope {
        name,
        unit,
        per,
        fit: fit_line(&points),
        points,
    }
}

/// Returns the body of a typical query.
fn body() -> RequestBody {
    RequestBody {
        kind: RequestKind::Query,
        key: None,
        payload: Box::from(&b"{\"term\":\"refractory wear north\"}"[..]),
    }
}

/// Returns a typical announcement of a server that holds two snapshots.
fn announcement() -> AnnouncementBody {
    AnnouncementBody {
        server: "kiln-watch-17-1".into(),
        upstream: "kiln-watch".into(),
        domain: "tampere".into(),
        address: ([127, 0, 0, 1], 7400).into(),
        incarnation: 1_700_000_000,
        sequence: 100_000,
        phase: "serving".into(),
        held: vec![
            HeldSnapshotBody {
                epoch: 1,
                version: 100,
                shard: 17,
                shards: 20,
            };
            2
        ],
        slots: 2,
        connections: 25,
        load: 0.5,
        lease_ms: 2500,
    }
}

/// Returns an entry's state machine that knows `servers` servers, two per shard.
fn build_entry_machine(servers: u32) -> EntryMachine<LowestCostPolicy> {
    let options = EntryOptions::builder().decisions_per_second(0).build();
    let mut machine = EntryMachine::new(options, LowestCostPolicy::default());
    let mut out = Vec::new();
    let text = "service,kind,deadline_ms\nsearch,query,1000\n";
    if let Ok(table) = ServiceTable::parse(text, 1) {
        machine.step(Duration::ZERO, EntryInput::Table(table), &mut out);
    }
    let shards = servers / 2;
    for index in 0..servers {
        let announcement = build_server_announcement(index, shards);
        machine.step(Duration::ZERO, EntryInput::Announce(announcement), &mut out);
    }
    machine
}

/// Returns the announcement of server `index`, which holds one of `shards` shards.
/// The number of shards is capped at 4000.
fn build_server_announcement(index: u32, shards: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("search-{index}").into(),
        upstream: "search".into(),
        domain: format!("d{}", index % 6).into(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        sequence: 1,
        phase: ServerPhase::Serving,
        held: vec![HeldSnapshot {
            snapshot: SnapshotId {
                epoch: 1,
                version: 1,
            },
            shard: (index / 2) % shards.min(4000),
            shards: shards.min(4000),
        }],
        slots: 2,
        connections: 25,
        load: 0.0,
        lease: Duration::from_secs(1_000_000),
    }
}

/// Returns the key of some server, for use in a subquery.
fn first_server() -> ServerKey {
    let machine = build_entry_machine(2);
    let first = machine.roster().servers().next().map(|(key, _)| key);
    first.expect("two servers were announced")
}

/// Returns the median time, in microseconds, that an entry's state machine needs
/// for all decisions of a query over `shards` shards.
fn measure_query_micros(shards: u32) -> f64 {
    const ROUND_COUNT: u64 = 2000;
    let mut machine = build_entry_machine(shards * 2);
    let mut times = Vec::new();
    let mut actions = Vec::new();
    let mut reply_actions = Vec::new();
    for round in 0..ROUND_COUNT {
        let now = Duration::from_millis(round * 10);
        let request = QueryRequest {
            call: CallTag(round),
            service: "search".into(),
            deadline: None,
            body: Arc::new(body()),
        };
        let begin = Instant::now();
        machine.step(now, EntryInput::Submit(request), &mut actions);
        for action in actions.drain(..) {
            if let EntryAction::Send(order) = action {
                let now = now + Duration::from_millis(4);
                machine.step(
                    now,
                    EntryInput::Reply(AttemptReply::with_no_hits(&order)),
                    &mut reply_actions,
                );
            }
        }
        times.push(begin.elapsed().as_secs_f64() * 1e6);
        black_box(&reply_actions);
        reply_actions.clear();
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns the memory, in bytes, of a gossip state machine that knows `servers`
/// servers. The value is the mean growth of the process over several machines.
fn measure_gossip_bytes(servers: u32) -> f64 {
    const MACHINE_COUNT: usize = 8;
    let local_member = MemberState {
        name: "instance-0".into(),
        address: ([127, 0, 0, 1], 7403).into(),
        domain: "domain-0".into(),
        incarnation: 1,
        standing: MemberLifecycle::Alive,
    };
    let before = resident_bytes();
    let mut machines = Vec::new();
    for _ in 0..MACHINE_COUNT {
        let mut machine = GossipMachine::new(local_member.clone(), Vec::new(), 1, Duration::ZERO);
        for server in 0..servers {
            let mut out = Vec::new();
            let input = GossipInput::Announced(build_server_announcement(server, servers / 2));
            machine.step(Duration::ZERO, input, &mut out);
        }
        machines.push(machine);
    }
    let after = resident_bytes();
    black_box(&machines);
    std::mem::forget(machines);
    (after - before) / MACHINE_COUNT as f64
}

/// Returns the memory, in bytes, of an entry's roster of `servers` servers. The
/// value is the mean growth of the process over several state machines.
fn measure_roster_bytes(servers: u32) -> f64 {
    const MACHINE_COUNT: usize = 8;
    let before = resident_bytes();
    let machines: Vec<_> = (0..MACHINE_COUNT)
        .map(|_| build_entry_machine(servers))
        .collect();
    let after = resident_bytes();
    black_box(&machines);
    // Leaks the machines: the next measurement would reuse freed memory, and the
    // process would grow by less than that measurement allocates.
    std::mem::forget(machines);
    (after - before) / MACHINE_COUNT as f64
}

/// Returns the encoded size, in bytes, of the message that sends a service table
/// with `services` services.
fn encoded_table_bytes(services: u32) -> anyhow::Result<usize> {
    let mut text = "service,kind\n".to_string();
    for service in 0..services {
        text.push_str(&format!("service-{service:04},query\n"));
    }
    let csv = ServiceTable::parse(&text, 1)?.to_csv();
    let table = TableVersion {
        version: 1000,
        change: "0123456789abcdef".into(),
        note: "night shift".into(),
        csv,
    };
    Ok(encode(&PeerRequest::Table(table))?.len())
}

/// Returns the encoded size, in bytes, of the control group's state with `claims`
/// claims of idempotency keys.
fn encoded_claim_bytes(claims: u32) -> anyhow::Result<usize> {
    let mut state = ControlState::default();
    for claim in 0..claims {
        state.apply(&ControlCommand::Claim(ClaimRequest {
            key: format!("work-orders/0123456789abcdef-{claim:08}"),
            digest: u128::MAX,
            claimant: u64::MAX,
            at_ms: 1_700_000_000_000,
        }));
    }
    Ok(encode(&state)?.len())
}
