//! Arguments that several subcommands share.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use clap::{Arg, ArgAction, ArgMatches};
use hyper::Method;

use crate::client::{HttpClient, HttpResponse};

/// Rounds over all instances before an order is given up: an election takes
/// about a second.
const MAX_ROUNDS: usize = 6;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Returns the argument that names instances by the address they listen on.
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

/// Returns the argument that names a service.
pub fn service_arg() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true)
}

/// Returns the argument for what is searched for.
pub fn body_arg() -> Arg {
    Arg::new("body")
        .long("body")
        .value_name("JSON")
        .default_value("{}")
        .help("What to search for")
}

/// Returns the argument for output as JSON.
pub fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

/// Returns the instances named.
pub fn instances(matches: &ArgMatches) -> Vec<SocketAddr> {
    let named = matches.get_many::<SocketAddr>("instance");
    named.unwrap_or_default().copied().collect()
}

/// Returns the first instance named.
///
/// # Errors
///
/// Fails if none is.
pub fn first_instance(matches: &ArgMatches) -> anyhow::Result<SocketAddr> {
    let instance = instances(matches).first().copied();
    instance.context("could not find --instance")
}

/// Returns the value of a text argument.
///
/// # Errors
///
/// Fails if it was not given.
pub fn text(matches: &ArgMatches, name: &str) -> anyhow::Result<String> {
    let value = matches.get_one::<String>(name).cloned();
    value.with_context(|| format!("could not find {name}"))
}

/// Runs a future on a runtime of its own.
///
/// # Errors
///
/// Fails as the future does, or if there is no runtime to be had.
pub fn block_on<T>(
    future: impl std::future::Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("could not make a runtime")?
        .block_on(future)
}

/// Asks one control instance after the other until one says yes; a clear no ends
/// it.
///
/// # Errors
///
/// Fails if none said yes.
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
                Ok(reply) => last_failure = Some(format!("{instance} said {}", reply.status)),
                Err(error) => last_failure = Some(format!("{error:#}")),
            }
        }
    }
    let last_failure = last_failure.unwrap_or_else(|| "no instance named".to_string());
    bail!("could not make {method} {path}: {last_failure}")
}
