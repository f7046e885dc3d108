//! Orders about failure domains, made at a stand-in for control instances.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::mpsc::{channel, Receiver};

use wheelmast_cli::app::{command, dispatch};

/// Answers one connection after the other with these statuses, and tells the
/// first line of each request.
fn stand_in(statuses: &'static [u16]) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for status in statuses {
            let (mut stream, _) = listener.accept().expect("a caller");
            let mut bytes = [0; 1024];
            let count = stream.read(&mut bytes).expect("a request");
            let text = String::from_utf8_lossy(&bytes[..count]).to_string();
            let _ = tell.send(text.lines().next().unwrap_or_default().to_string());
            let body = r#"{"evacuated":["north-1"]}"#;
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    (address, told)
}

struct OrderCase {
    name: &'static str,
    words: &'static [&'static str],
    statuses: &'static [u16],
    asked: &'static str,
    is_done: bool,
}

const CASES: &[OrderCase] = &[
    OrderCase {
        name: "out of use",
        words: &["out", "north-1"],
        statuses: &[200],
        asked: "POST /v1/evacuations/north-1 HTTP/1.1",
        is_done: true,
    },
    OrderCase {
        name: "back, at the second try",
        words: &["back", "north-1"],
        statuses: &[503, 200],
        asked: "DELETE /v1/evacuations/north-1 HTTP/1.1",
        is_done: true,
    },
    OrderCase {
        name: "listed",
        words: &["list"],
        statuses: &[200],
        asked: "GET /v1/evacuations HTTP/1.1",
        is_done: true,
    },
    OrderCase {
        name: "a clear no is not asked again",
        words: &["out", "nowhere"],
        statuses: &[404],
        asked: "POST /v1/evacuations/nowhere HTTP/1.1",
        is_done: false,
    },
];

#[test]
fn an_order_is_made_until_it_is_taken_or_refused() {
    for case in CASES {
        let (address, told) = stand_in(case.statuses);
        let address = address.to_string();
        let words = ["wheelmast", "domain"].iter().chain(case.words);
        let words = words.copied().chain(["--instance", &address]);
        let matches = command().get_matches_from(words);
        let done = dispatch(&matches);
        let is_done = done.is_ok_and(|code| code == ExitCode::SUCCESS);
        assert_eq!(is_done, case.is_done, "{}", case.name);
        let asked: Vec<String> = told.try_iter().collect();
        assert_eq!(asked.len(), case.statuses.len(), "{}", case.name);
        assert!(
            asked.iter().all(|line| line == case.asked),
            "{}: {asked:?}",
            case.name
        );
    }
}
