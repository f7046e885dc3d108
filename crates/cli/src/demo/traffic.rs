//! Open-loop traffic: requests are due at random times, whatever became of
//! the earlier ones, and latency counts from the moment they were due.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use hyper::StatusCode;
use wheelmast_core::prelude::{RequestKind, ServiceTable};
use wheelmast_fake::checker::{check_answer, check_problem, AnswerShape, ViolationCounts};
use wheelmast_fake::deployment::ServiceRate;
use wheelmast_fake::ledger::FakeLedger;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

use crate::client::{HttpClient, ServiceCall, WholeResponse};
use crate::demo::arrival::draw_interval;
use crate::demo::balancer::DemoBalancer;
use crate::demo::tally::{CallOutcome, CallResult, RunStats};

/// What all callers of a run share.
#[derive(Debug)]
pub struct TrafficContext {
    /// Chooses the instance.
    pub balancer: Arc<DemoBalancer>,
    /// What the fakes did.
    pub ledger: Arc<FakeLedger>,
    /// Where results are counted.
    pub stats: RunStats,
    /// Tells the kind of each service.
    pub table: ServiceTable,
    /// Sends the requests.
    pub client: HttpClient,
    /// Distinguishes the terms of this run.
    pub run: u64,
    /// Counts the requests.
    pub count: AtomicU64,
}

/// Makes requests of one service until `until`, and waits for the last.
pub async fn make_traffic(context: Arc<TrafficContext>, rate: ServiceRate, until: Instant) {
    let mut due = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    loop {
        due += draw_interval(rate.rate);
        if due >= until {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        calls.spawn(make_request(context.clone(), rate.service, due));
    }
    while calls.join_next().await.is_some() {}
}

async fn make_request(context: Arc<TrafficContext>, service: &'static str, due: Instant) {
    let count = context.count.fetch_add(1, Ordering::Relaxed);
    let term = format!("t{}-{count}", context.run);
    let kind = context.table.row(service).map(|row| row.kind);
    let json = format!("{{\"term\":\"{term}\"}}");
    let (call, shape) = match kind {
        Some(RequestKind::Fetch) => (ServiceCall::Fetch(term.clone()), AnswerShape::Single),
        Some(RequestKind::NonRepeatable) => {
            context.stats.register_single_run(term.clone());
            let key = Some(term.clone());
            (ServiceCall::Submit { json, key }, AnswerShape::Single)
        }
        _ => (ServiceCall::Query(json), AnswerShape::Search),
    };
    let target = context.balancer.next();
    let response = context
        .client
        .call(target.address, service, &call, None)
        .await;
    let result = CallResult {
        service,
        outcome: CallOutcome::CutOff,
        answered: 0,
        asked: 0,
        latency: due.elapsed(),
        problem: None,
        request: None,
        operators: target.operators,
    };
    record_response(&context, &term, shape, result, response);
}

fn record_response(
    context: &TrafficContext,
    term: &str,
    shape: AnswerShape,
    mut result: CallResult,
    response: anyhow::Result<WholeResponse>,
) {
    let mut found = ViolationCounts::default();
    match response {
        Ok(response) if response.status == StatusCode::OK => {
            if let Ok(answer) = response.json::<AnswerBody>() {
                result.record_answer(&answer);
                check_answer(&context.ledger, term, shape, &answer, &mut found);
            }
        }
        Ok(response) => {
            if let Ok(problem) = response.json::<ProblemBody>() {
                result.record_problem(&problem);
                check_problem(&context.ledger, term, &problem, &mut found);
            }
        }
        Err(error) => tracing::warn!("demo: {error:#}"),
    }
    context.stats.add(&result, |counts| {
        counts.mixed_snapshot += found.mixed_snapshot;
        counts.false_coverage += found.false_coverage;
        counts.foreign_answer += found.foreign_answer;
        counts.false_not_run += found.false_not_run;
    });
}
