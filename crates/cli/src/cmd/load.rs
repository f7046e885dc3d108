//! `wheelmast load`: sends open-loop load to one service, that is at a given rate whether or not
//! earlier requests were answered, and reports outcomes and latencies.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hyper::StatusCode;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

use crate::client::{HttpClient, HttpResponse, ServiceCall};
use crate::cmd::common::{
    block_on, body_arg, instance_arg, instances, json_arg, service_arg, text,
};
use crate::demo::arrival::draw_interval;
use crate::demo::report::CountReport;
use crate::demo::tally::{CallOutcome, CallResult, CallStats};

/// The parsed arguments of `wheelmast load`.
pub struct LoadCommand {
    instances: Vec<SocketAddr>,
    service: String,
    body: String,
    rate: f64,
    length: Duration,
    report: Option<PathBuf>,
    json: bool,
}

/// Results of a load run, written as JSON.
#[derive(Debug, Serialize)]
struct LoadReport {
    service: String,
    rate: f64,
    seconds: u64,
    cut_off: u64,
    #[serde(flatten)]
    counts: CountReport,
}

impl LoadCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("load")
            .about("Send requests at a rate, whether or not earlier ones were answered")
            .long_about(
                "Send requests to one service at a rate. Requests are due at random times \
                 (a Poisson process) and latency is measured from the moment a request was due, \
                 so that the requests delayed by a stall do not hide it.",
            )
            .after_help(
                "Example:\n  \
                 wheelmast load kiln-watch --instance 127.0.0.1:7400 --rate 50 --seconds 30 \
                 --report load.json",
            )
            .arg(service_arg())
            .arg(instance_arg("Listener for callers; may be repeated"))
            .arg(
                Arg::new("rate")
                    .long("rate")
                    .value_name("PER SECOND")
                    .value_parser(clap::value_parser!(f64))
                    .default_value("20"),
            )
            .arg(
                Arg::new("seconds")
                    .long("seconds")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64).range(1..=3600))
                    .default_value("10"),
            )
            .arg(body_arg())
            .arg(
                Arg::new("report")
                    .long("report")
                    .value_name("FILE")
                    .value_parser(clap::value_parser!(PathBuf))
                    .help("Write the results to this file as JSON"),
            )
            .arg(json_arg())
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is out of range.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<LoadCommand> {
        let rate = matches.get_one::<f64>("rate").copied().unwrap_or(20.0);
        if !(0.1..=100_000.0).contains(&rate) {
            anyhow::bail!("invalid --rate {rate}: expected 0.1 to 100000 per second");
        }
        let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
        Ok(LoadCommand {
            instances: instances(matches),
            service: text(matches, "service")?,
            body: text(matches, "body")?,
            rate,
            length: Duration::from_secs(seconds),
            report: matches.get_one::<PathBuf>("report").cloned(),
            json: matches.get_flag("json"),
        })
    }

    /// Sends the load and prints the results. Returns failure if a request got no response.
    ///
    /// # Errors
    ///
    /// Fails if the load cannot be sent or the report file cannot be written.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let tally = block_on(self.send_requests())?;
        let report = LoadReport {
            service: self.service.clone(),
            rate: self.rate,
            seconds: self.length.as_secs(),
            cut_off: tally.count(CallOutcome::CutOff),
            counts: CountReport::new(&tally),
        };
        let text = serde_json::to_string_pretty(&report)?;
        if let Some(path) = &self.report {
            std::fs::write(path, &text)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
        if self.json {
            println!("{text}");
        } else {
            print_report(&report);
        }
        Ok(if report.cut_off == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    /// Sends requests to the instances in turn at the times of a Poisson process, waits for all
    /// responses and returns their outcome counts.
    async fn send_requests(&self) -> anyhow::Result<CallStats> {
        let client = HttpClient::default();
        let tally = Arc::new(Mutex::new(CallStats::default()));
        let progress = self.progress_bar();
        let next_instance = AtomicU64::new(0);
        let begin = Instant::now();
        let mut due = begin;
        let mut calls = tokio::task::JoinSet::new();
        loop {
            due += draw_interval(self.rate);
            if due >= begin + self.length {
                break;
            }
            tokio::time::sleep_until(due.into()).await;
            progress.set_position(begin.elapsed().as_millis() as u64);
            let next_instance = next_instance.fetch_add(1, Ordering::Relaxed) as usize;
            let instance = self.instances[next_instance % self.instances.len()];
            let (client, tally) = (client.clone(), tally.clone());
            let (service, body) = (self.service.clone(), self.body.clone());
            calls.spawn(async move {
                let call = ServiceCall::Query(body);
                let response = client.call(instance, &service, &call, None).await;
                let result = classify_response(instance, due.elapsed(), response);
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.add(&result);
            });
        }
        while calls.join_next().await.is_some() {}
        progress.finish_and_clear();
        let tally = Arc::into_inner(tally).context("a request of the load is still running")?;
        Ok(tally.into_inner().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a progress bar, which is drawn only if the output is a terminal.
    fn progress_bar(&self) -> ProgressBar {
        let progress = ProgressBar::new(self.length.as_millis() as u64);
        let style = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {percent}%");
        if let Ok(style) = style {
            progress.set_style(style);
        }
        progress
    }
}

/// Returns the outcome of one request. A failed exchange and an unreadable body count as cut off.
fn classify_response(
    instance: SocketAddr,
    latency: Duration,
    response: anyhow::Result<HttpResponse>,
) -> CallResult {
    let mut result = CallResult {
        service: "",
        outcome: CallOutcome::CutOff,
        answered: 0,
        asked: 0,
        latency,
        problem: None,
        request: None,
        operators: instance,
    };
    let Ok(response) = response else {
        return result;
    };
    if response.status == StatusCode::OK {
        if let Ok(answer) = response.json::<AnswerBody>() {
            result.record_answer(&answer);
        }
    } else if let Ok(problem) = response.json::<ProblemBody>() {
        result.record_problem(&problem);
    }
    result
}

/// Prints the outcome counts, latencies and mean coverage of a load run as text.
fn print_report(report: &LoadReport) {
    let counts = &report.counts;
    println!(
        "{}: {} queries at {}/s, {} complete, {} partial, {} refused, {} unknown, {} cut off",
        report.service,
        counts.queries,
        report.rate,
        counts.complete,
        counts.partial,
        counts.refused,
        counts.unknown,
        report.cut_off
    );
    println!(
        "p50 {:.1} ms, p99 {:.1} ms, mean coverage {:.4}",
        counts.p50_ms, counts.p99_ms, counts.coverage_mean
    );
}
