//! The entry machine's own cost: a plan, and a whole query, by shards.

#![allow(missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use wheelmast_core::prelude::*;

const SNAPSHOT: SnapshotId = SnapshotId {
    epoch: 1,
    version: 1,
};

/// Returns a machine that knows `shards` groups of two servers.
fn machine<P: RoutePolicy>(shards: u32, policy: P) -> EntryMachine<P> {
    let options = EntryOptions::builder().decisions_per_second(0).build();
    let mut machine = EntryMachine::new(options, policy);
    let text = "service,kind,deadline_ms,merge\nsearch,query,1000,score\n";
    let table = ServiceTable::parse(text, 1).expect("the bench's table is good");
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

fn request(call: u64) -> EntryInput {
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

fn reply(order: &SendOrder) -> EntryInput {
    EntryInput::Reply(AttemptReply::with_no_hits(order))
}

/// Runs one query to its end and returns the number of actions.
fn whole_query<P: RoutePolicy>(machine: &mut EntryMachine<P>, call: u64) -> usize {
    let now = Duration::from_micros(call * 10_000);
    let mut orders = Vec::new();
    machine.step(now, request(call), &mut orders);
    let mut ends = Vec::new();
    for action in &orders {
        if let EntryAction::Send(order) = action {
            machine.step(now + Duration::from_millis(4), reply(order), &mut ends);
        }
    }
    orders.len() + ends.len()
}

fn plans(criterion: &mut Criterion) {
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

/// Measures admission, snapshot choice, plan and choice of upstreams; the
/// replies that make room for the next plan are not measured.
fn bench_plan<P: RoutePolicy>(bencher: &mut criterion::Bencher<'_>, shards: u32, policy: P) {
    let machine = std::cell::RefCell::new(machine(shards, policy));
    let mut call = 0;
    for _ in 0..100 {
        call += 1;
        whole_query(&mut machine.borrow_mut(), call);
    }
    let pending: std::cell::RefCell<Vec<EntryAction>> = std::cell::RefCell::default();
    bencher.iter_batched(
        || {
            call += 1;
            let mut out = Vec::new();
            let now = Duration::from_micros(call * 10_000);
            for action in pending.borrow_mut().drain(..) {
                if let EntryAction::Send(order) = action {
                    machine.borrow_mut().step(now, reply(&order), &mut out);
                }
            }
            (now, request(call), Vec::with_capacity(shards as usize))
        },
        |(now, input, mut out)| {
            machine.borrow_mut().step(now, input, &mut out);
            *pending.borrow_mut() = out;
        },
        BatchSize::PerIteration,
    );
}

fn queries(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    for shards in [20, 60, 120, 240] {
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            let mut machine = machine(shards, LowestCostPolicy::default());
            let mut call = 0;
            bencher.iter(|| {
                call += 1;
                whole_query(&mut machine, call)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plans, queries);
criterion_main!(benches);
