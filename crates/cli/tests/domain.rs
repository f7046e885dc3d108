//! Tests `wheelmast domain` against a fake control instance, including retries.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::mpsc::{channel, Receiver};

use wheelmast_cli::app::{command, dispatch};

/// Starts an HTTP server that answers one connection after the other with these statuses. Returns
/// its address and a channel that receives the first line of each request.
fn start_fake_instance(statuses: &'static [u16]) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("local address");
    let (request_sender, request_receiver) = channel();
    std::thread::spawn(move || {
        for status in statuses {
            let (mut stream, _) = listener.accept().expect("connection");
            let mut bytes = [0; 1024];
            let count = stream.read(&mut bytes).expect("read request");
            let text = String::from_utf8_lossy(&bytes[..count]).to_string();
            let _ = request_sender.send(text.lines().next().unwrap_or_default().to_string());
            let body = r#"{"evacuated":["north-1"]}"#;
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).expect("write answer");
        }
    });
    (address, request_receiver)
}

/// A command line, the statuses with which the instance answers, and the expected requests.
struct CommandCase {
    name: &'static str,
    args: &'static [&'static str],
    statuses: &'static [u16],
    expected_line: &'static str,
    succeeds: bool,
}

const CASES: &[CommandCase] = &[
    CommandCase {
        name: "out of use",
        args: &["out", "north-1"],
        statuses: &[200],
        expected_line: "POST /v1/evacuations/north-1 HTTP/1.1",
        succeeds: true,
    },
    CommandCase {
        name: "back, accepted at the second attempt",
        args: &["back", "north-1"],
        statuses: &[503, 200],
        expected_line: "DELETE /v1/evacuations/north-1 HTTP/1.1",
        succeeds: true,
    },
    CommandCase {
        name: "listed",
        args: &["list"],
        statuses: &[200],
        expected_line: "GET /v1/evacuations HTTP/1.1",
        succeeds: true,
    },
    CommandCase {
        name: "a 4xx status is not retried",
        args: &["out", "nowhere"],
        statuses: &[404],
        expected_line: "POST /v1/evacuations/nowhere HTTP/1.1",
        succeeds: false,
    },
];

#[test]
fn a_command_is_retried_until_it_is_accepted_or_refused() {
    for case in CASES {
        let (address, request_receiver) = start_fake_instance(case.statuses);
        let address = address.to_string();
        let args = ["wheelmast", "domain"].iter().chain(case.args);
        let args = args.copied().chain(["--instance", &address]);
        let matches = command().get_matches_from(args);
        let result = dispatch(&matches);
        let succeeded = result.is_ok_and(|code| code == ExitCode::SUCCESS);
        assert_eq!(succeeded, case.succeeds, "{}", case.name);
        let request_lines: Vec<String> = request_receiver.try_iter().collect();
        assert_eq!(request_lines.len(), case.statuses.len(), "{}", case.name);
        assert!(
            request_lines.iter().all(|line| line == case.expected_line),
            "{}: {request_lines:?}",
            case.name
        );
    }
}
