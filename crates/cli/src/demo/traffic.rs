//! Open-loop traffic: requests are sent at random times that do not depend on
//! earlier responses. Latency is measured from the moment a request was due.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use hyper::StatusCode;
use wheelmast_core::prelude::{RequestKind, ServiceTable};
use wheelmast_fake::checker::{check_answer, check_problem, AnswerShape, ViolationCounts};
use wheelmast_fake::deployment::ServiceRate;
use wheelmast_fake::ledger::FakeLedger;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

use crate::client::{HttpClient, HttpResponse, ServiceCall};
use crate::demo::arrival::draw_interval;
use crate::demo::balancer::DemoBalancer;
use crate::demo::tally::{CallOutcome, CallResult, RunStats};

/// State shared by all callers of a run.
#[derive(Debug)]
pub struct TrafficContext {
    /// Chooses the instance that a request is sent to.
    pub balancer: Arc<DemoBalancer>,
    /// Record of the work that the fake servers did; responses are checked
    /// against it.
    pub ledger: Arc<FakeLedger>,
    /// Statistics of the results.
    pub stats: RunStats,
    /// Service table, which holds the request kind of each service.
    pub table: ServiceTable,
    /// HTTP client that sends the requests.
    pub client: HttpClient,
    /// Random number that makes the search terms of this run unique.
    pub run: u64,
    /// Number of requests made so far.
    pub count: AtomicU64,
}

/// Sends requests to one service until `until`, then waits for all responses.
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

/// Sends one request and records its result. `due` is the time at which the
/// request was scheduled.
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

/// Checks a response against the fake servers' record and adds the result to the
/// statistics.
fn record_response(
    context: &TrafficContext,
    term: &str,
    shape: AnswerShape,
    mut result: CallResult,
    response: anyhow::Result<HttpResponse>,
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
