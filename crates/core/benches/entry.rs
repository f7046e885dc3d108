//! Benchmarks of the entry machine's CPU cost by number of shards: planning a
//! query (`plan`), and a query from request to answer (`query`).

#![allow(missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use wheelmast_core::prelude::*;

const SNAPSHOT: SnapshotId = SnapshotId {
    epoch: 1,
    version: 1,
};

/// Creates a machine that knows `shards` shards with 2 servers each.
fn build_machine<P: RoutePolicy>(shards: u32, policy: P) -> EntryMachine<P> {
    let options = EntryOptions::builder().decisions_per_second(0).build();
    let mut machine = EntryMachine::new(options, policy);
    let text = "service,kind,deadline_ms,merge\nsearch,query,1000,score\n";
    let table = ServiceTable::parse(text, 1).expect("the table of the benchmark is valid");
    let mut out = Vec::new();
    machine.step(Duration::ZERO, EntryInput::Table(table), &mut out);
    for index in 0..shards * 2 {
        let announcement = UpstreamAnnouncement {
            name: format!("s{index}").into(),
            upstream: "search".into(),
            domain: format!("d{}", index % 3).into(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            sequence: 1,
            phase: ServerPhase::Serving,
            held: vec![HeldSnapshot {
                snapshot: SNAPSHOT,
                shard: index / 2,
                shards,
            }],
            slots: 2,
            connections: 25,
            load: 0.0,
            lease: Duration::from_secs(1_000_000),
        };
        machine.step(Duration::ZERO, EntryInput::Announce(announcement), &mut out);
    }
    machine
}

fn build_request(call: u64) -> EntryInput {
    EntryInput::Submit(QueryRequest {
        call: CallTag(call),
        service: "search".into(),
        deadline: None,
        body: Arc::new(RequestBody {
            kind: RequestKind::Query,
            key: None,
            payload: Box::from(&b"{}"[..]),
        }),
    })
}

fn build_reply(order: &SendOrder) -> EntryInput {
    EntryInput::Reply(AttemptReply::with_no_hits(order))
}

/// Runs one query until its answer and returns the number of actions.
fn run_query<P: RoutePolicy>(machine: &mut EntryMachine<P>, call: u64) -> usize {
    let now = Duration::from_micros(call * 10_000);
    let mut orders = Vec::new();
    machine.step(now, build_request(call), &mut orders);
    let mut final_actions = Vec::new();
    for action in &orders {
        if let EntryAction::Send(order) = action {
            machine.step(
                now + Duration::from_millis(4),
                build_reply(order),
                &mut final_actions,
            );
        }
    }
    orders.len() + final_actions.len()
}

fn bench_plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for shards in [20, 60, 120, 240] {
        group.bench_function(BenchmarkId::new("table", shards), |bencher| {
            bench_plan(bencher, shards, LowestCostPolicy::default());
        });
        group.bench_function(BenchmarkId::new("random", shards), |bencher| {
            bench_plan(bencher, shards, RandomChoice);
        });
    }
    group.finish();
}

/// Measures admission, the choices of snapshot and servers, and the sends. The
/// replies that free capacity for the next query are excluded from the measurement.
fn bench_plan<P: RoutePolicy>(bencher: &mut criterion::Bencher<'_>, shards: u32, policy: P) {
    let machine = std::cell::RefCell::new(build_machine(shards, policy));
    let mut call = 0;
    for _ in 0..100 {
        call += 1;
        run_query(&mut machine.borrow_mut(), call);
    }
    let pending: std::cell::RefCell<Vec<EntryAction>> = std::cell::RefCell::default();
    bencher.iter_batched(
        || {
            call += 1;
            let mut out = Vec::new();
            let now = Duration::from_micros(call * 10_000);
            for action in pending.borrow_mut().drain(..) {
                if let EntryAction::Send(order) = action {
                    machine
                        .borrow_mut()
                        .step(now, build_reply(&order), &mut out);
                }
            }
            (
                now,
                build_request(call),
                Vec::with_capacity(shards as usize),
            )
        },
        |(now, input, mut out)| {
            machine.borrow_mut().step(now, input, &mut out);
            *pending.borrow_mut() = out;
        },
        BatchSize::PerIteration,
    );
}

fn bench_queries(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    for shards in [20, 60, 120, 240] {
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            let mut machine = build_machine(shards, LowestCostPolicy::default());
            let mut call = 0;
            bencher.iter(|| {
                call += 1;
                run_query(&mut machine, call)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_plans, bench_queries);
criterion_main!(benches);
