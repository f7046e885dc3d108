//! `wheelmast query`: sends one request to one service and prints the answer or the refusal.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use hyper::StatusCode;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

use crate::client::{HttpClient, ServiceCall};
use crate::cmd::common::{
    block_on, body_arg, first_instance, instance_arg, json_arg, service_arg, text,
};

/// The parsed arguments of `wheelmast query`.
pub struct QueryCommand {
    instance: SocketAddr,
    service: String,
    call: ServiceCall,
    deadline: Option<Duration>,
    json: bool,
}

impl QueryCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("query")
            .about("Send one request")
            .after_help(
                "Examples:\n  \
                 wheelmast query kiln-watch --instance 127.0.0.1:7400 --body '{\"term\":\"hot\"}'\n  \
                 wheelmast query receipts --instance 127.0.0.1:7400 --key R-17\n  \
                 wheelmast query work-orders --instance 127.0.0.1:7400 --submit '{\"order\":7}' \
                 --idempotency-key w7",
            )
            .arg(service_arg())
            .arg(instance_arg("Listener for callers of an instance"))
            .arg(body_arg())
            .arg(
                Arg::new("key")
                    .long("key")
                    .value_name("KEY")
                    .conflicts_with("submit")
                    .help("Fetch the record with this key instead of searching"),
            )
            .arg(
                Arg::new("submit")
                    .long("submit")
                    .value_name("JSON")
                    .help("Submit this JSON instead of searching; it runs at most once"),
            )
            .arg(
                Arg::new("idempotency-key")
                    .long("idempotency-key")
                    .value_name("KEY")
                    .requires("submit")
                    .help("Idempotency key of the submission"),
            )
            .arg(
                Arg::new("deadline")
                    .long("deadline-ms")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64).range(1..=600_000))
                    .help("Deadline in milliseconds; defaults to the service table's"),
            )
            .arg(json_arg())
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<QueryCommand> {
        let option = |name: &str| matches.get_one::<String>(name).cloned();
        let call = match (option("key"), option("submit")) {
            (Some(key), _) => ServiceCall::Fetch(key),
            (None, Some(json)) => ServiceCall::Submit {
                json,
                key: option("idempotency-key"),
            },
            (None, None) => ServiceCall::Query(text(matches, "body")?),
        };
        let deadline = matches.get_one::<u64>("deadline").copied();
        Ok(QueryCommand {
            instance: first_instance(matches)?,
            service: text(matches, "service")?,
            call,
            deadline: deadline.map(Duration::from_millis),
            json: matches.get_flag("json"),
        })
    }

    /// Sends the request and prints the response. Returns failure unless the status is 200.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not respond or the response cannot be read.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let client = HttpClient::default();
        let call = client.call(self.instance, &self.service, &self.call, self.deadline);
        let response = block_on(call)?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
        } else if response.status == StatusCode::OK {
            print_answer(&response.json()?);
        } else {
            print_problem(&response.json()?);
        }
        Ok(if response.status == StatusCode::OK {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

/// Prints the coverage of an answer, its missing shards and its hits.
fn print_answer(answer: &AnswerBody) {
    let coverage = &answer.coverage;
    println!(
        "{} of {} shards, snapshot {}.{}, table version {}, {} ms left{}{}",
        coverage.answered,
        coverage.asked,
        answer.snapshot.epoch,
        answer.snapshot.version,
        answer.table_version,
        answer.time_left_ms,
        if answer.hedged { ", hedged" } else { "" },
        if answer.restarted { ", restarted" } else { "" },
    );
    for missing in &coverage.missing {
        println!("missing shard {}: {}", missing.shard, missing.reason);
    }
    for hit in &answer.hits {
        match hit.score {
            Some(score) => println!("{score:>8.4}  {}", hit.document.get()),
            None => println!("       -  {}", hit.document.get()),
        }
    }
    println!("request {}", answer.request);
}

/// Prints the reason of a refusal and when the request may be retried.
fn print_problem(problem: &ProblemBody) {
    println!("refused: {}, outcome {}", problem.title, problem.outcome);
    if let Some(detail) = &problem.detail {
        println!("{detail}");
    }
    if let Some(delay_ms) = problem.retry_after_ms {
        println!("come back in {delay_ms} ms");
    }
    if let Some(request) = &problem.request {
        println!("request {request}");
    }
}
