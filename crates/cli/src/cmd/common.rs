//! Arguments, runtime set-up and retries that several subcommands share.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use clap::{Arg, ArgAction, ArgMatches};
use hyper::Method;

use crate::client::{HttpClient, HttpResponse};

/// Attempts at each control instance before a command fails. With [`ROUND_PAUSE`] the attempts
/// outlast a leader election, which takes about a second.
const MAX_ROUNDS: usize = 6;
/// Delay between two rounds of attempts.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Returns the `--instance` argument: the listener addresses of one or more instances.
pub fn instance_arg(help: &'static str) -> Arg {
    Arg::new("instance")
        .long("instance")
        .value_name("ADDRESS")
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(SocketAddr))
        .required(true)
        .env("WHEELMAST_INSTANCE")
        .value_delimiter(',')
        .help(help)
}

/// Returns the positional `SERVICE` argument.
pub fn service_arg() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true)
}

/// Returns the `--body` argument: the JSON body of a search.
pub fn body_arg() -> Arg {
    Arg::new("body")
        .long("body")
        .value_name("JSON")
        .default_value("{}")
        .help("JSON body of the search")
}

/// Returns the `--json` flag, which switches the output to JSON.
pub fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

/// Returns the addresses given with `--instance`.
pub fn instances(matches: &ArgMatches) -> Vec<SocketAddr> {
    let named = matches.get_many::<SocketAddr>("instance");
    named.unwrap_or_default().copied().collect()
}

/// Returns the first address given with `--instance`.
///
/// # Errors
///
/// Fails if no instance was given.
pub fn first_instance(matches: &ArgMatches) -> anyhow::Result<SocketAddr> {
    let instance = instances(matches).first().copied();
    instance.context("could not find --instance")
}

/// Returns the value of a text argument.
///
/// # Errors
///
/// Fails if the argument was not given.
pub fn text(matches: &ArgMatches, name: &str) -> anyhow::Result<String> {
    let value = matches.get_one::<String>(name).cloned();
    value.with_context(|| format!("could not find {name}"))
}

/// Runs a future to completion on a new Tokio runtime with two worker threads.
///
/// # Errors
///
/// Fails if the future fails or the runtime cannot be created.
pub fn block_on<T>(
    future: impl std::future::Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("could not create a Tokio runtime")?
        .block_on(future)
}

/// Sends a request to one control instance after the other until one accepts it.
///
/// A response with a 4xx status is final. Other failures, such as a missing leader, are retried
/// for several rounds over all instances.
///
/// # Errors
///
/// Fails if an instance rejects the request with a 4xx status, or none accepts it.
pub fn send_to_any_instance(
    instances: &[SocketAddr],
    method: Method,
    path: &str,
    body: &str,
) -> anyhow::Result<HttpResponse> {
    let client = HttpClient::default();
    let mut last_failure = None;
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            std::thread::sleep(ROUND_PAUSE);
        }
        for instance in instances {
            let reply = block_on(client.send_with_method(*instance, method.clone(), path, body));
            match reply {
                Ok(reply) if reply.status.is_success() => return Ok(reply),
                Ok(reply) if reply.status.is_client_error() => {
                    let text = String::from_utf8_lossy(&reply.body);
                    bail!("{instance} refused {method} {path}: {text}");
                }
                Ok(reply) => {
                    last_failure = Some(format!("{instance} responded with {}", reply.status))
                }
                Err(error) => last_failure = Some(format!("{error:#}")),
            }
        }
    }
    let last_failure = last_failure.unwrap_or_else(|| "no instance given".to_string());
    bail!("no instance accepted {method} {path}: {last_failure}")
}
