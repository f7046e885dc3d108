//! One request and its answer on a connection, against servers that misbehave.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_node::connection::exchange::{exchange, exchange_with_continue, ExchangeFailure};

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

/// What a connection is like after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    Kept,
    Closed,
}

struct AnswerCase {
    name: &'static str,
    /// What the server writes, and whether it then closes.
    writes: &'static [u8],
    closes: bool,
    result: Result<(u16, &'static [u8], After), ExchangeFailure>,
}

async fn play(writes: &'static [u8], closes: bool) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).await;
        let _ = stream.write_all(writes).await;
        if !closes {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
    });
    TcpStream::connect(address).await.expect("a connection")
}

#[tokio::test]
async fn only_a_whole_answer_counts() {
    let broken = Err(ExchangeFailure::Broken);
    let cases = [
        AnswerCase {
            name: "with a length",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            closes: false,
            result: Ok((200, b"ok", After::Kept)),
        },
        AnswerCase {
            name: "chunked",
            writes: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nt: u\r\n\r\n",
            closes: false,
            result: Ok((200, b"ok", After::Kept)),
        },
        AnswerCase {
            name: "without length, up to its end",
            writes: b"HTTP/1.1 200 OK\r\n\r\nok",
            closes: true,
            result: Ok((200, b"ok", After::Closed)),
        },
        AnswerCase {
            name: "an interim answer first",
            writes: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            closes: false,
            result: Ok((200, b"", After::Kept)),
        },
        AnswerCase {
            name: "the server will close",
            writes: b"HTTP/1.1 200 OK\r\nconnection: Close\r\ncontent-length: 2\r\n\r\nok",
            closes: false,
            result: Ok((200, b"ok", After::Closed)),
        },
        AnswerCase {
            name: "idle time over at once",
            writes: b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 0\r\n\r\n",
            closes: false,
            result: Ok((200, b"", After::Kept)),
        },
        AnswerCase {
            name: "more bytes after it",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
            closes: false,
            result: Ok((200, b"ok", After::Closed)),
        },
        AnswerCase {
            name: "cut short",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok",
            closes: true,
            result: broken,
        },
        AnswerCase {
            name: "a chunk cut short",
            writes: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok",
            closes: true,
            result: broken,
        },
        AnswerCase {
            name: "no last chunk",
            writes: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            closes: true,
            result: broken,
        },
        AnswerCase {
            name: "two lengths that differ",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
            closes: false,
            result: broken,
        },
        AnswerCase {
            name: "a length and chunks",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            closes: false,
            result: broken,
        },
        AnswerCase {
            name: "no answer in the protocol",
            writes: b"\x00\x01\x02 what\r\n\r\n",
            closes: false,
            result: broken,
        },
        AnswerCase {
            name: "nothing",
            writes: b"",
            closes: true,
            result: broken,
        },
    ];
    for case in cases {
        let mut stream = play(case.writes, case.closes).await;
        let mut buffer = BytesMut::new();
        let answer = exchange(&mut stream, &mut buffer, REQUEST).await;
        let found = answer.map(|answer| {
            let after = match answer.keep {
                Some(_) => After::Kept,
                None => After::Closed,
            };
            (answer.status, answer.body.to_vec(), after)
        });
        let wanted = case
            .result
            .map(|(status, body, after)| (status, body.to_vec(), after));
        assert_eq!(found, wanted, "{}", case.name);
    }
}

#[tokio::test]
async fn a_long_request_that_is_answered_early_ends_the_connection() {
    let writes = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    let mut stream = play(writes, false).await;
    let mut request = b"POST /x HTTP/1.1\r\ncontent-length: 30000000\r\n\r\n".to_vec();
    request.resize(30_000_000, b'x');
    let mut buffer = BytesMut::new();
    let answer = exchange(&mut stream, &mut buffer, &request).await;
    let answer = answer.expect("a whole answer");
    assert_eq!((answer.status, answer.keep), (413, None));
}

#[tokio::test]
async fn nothing_is_written_where_bytes_came_or_the_server_closed() {
    for (writes, closes) in [(&b"late"[..], false), (&b""[..], true)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        server.write_all(writes).await.expect("written");
        let held = Some(server).filter(|_| !closes);
        stream.readable().await.expect("it ends or has bytes");
        let mut buffer = BytesMut::new();
        let answer = exchange(&mut stream, &mut buffer, REQUEST).await;
        assert_eq!(answer.err(), Some(ExchangeFailure::Unsent));
        drop(held);
    }
}

struct RestCase {
    name: &'static str,
    /// What the server writes before it reads the rest.
    writes: &'static [u8],
    /// What there is to send.
    rest: Option<&'static [u8]>,
    /// What the server gets in all.
    gets: &'static [u8],
}

#[tokio::test]
async fn the_rest_of_a_request_waits_for_the_word_to_continue() {
    let head = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
    let cases = [
        RestCase {
            name: "the word comes",
            writes: b"HTTP/1.1 100 Continue\r\n\r\n",
            rest: Some(b"2"),
            gets: b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n2",
        },
        RestCase {
            name: "the word comes and there is nothing to send",
            writes: b"HTTP/1.1 100 Continue\r\n\r\n",
            rest: None,
            gets: head,
        },
        RestCase {
            name: "another interim answer",
            writes: b"HTTP/1.1 103 Early Hints\r\n\r\n",
            rest: Some(b"2"),
            gets: head,
        },
        RestCase {
            name: "no word",
            writes: b"",
            rest: Some(b"2"),
            gets: head,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let writes = case.writes;
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut bytes = vec![0; REQUEST.len()];
            stream.read_exact(&mut bytes).await.expect("the head");
            stream.write_all(writes).await.expect("written");
            let mut rest = [0; 16];
            let wait = Duration::from_millis(200);
            if let Ok(read) = tokio::time::timeout(wait, stream.read(&mut rest)).await {
                bytes.extend_from_slice(&rest[..read.expect("read")]);
            }
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("written");
            bytes
        });
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let mut buffer = BytesMut::new();
        let rest = || async move {
            match case.rest {
                Some(rest) => rest.to_vec(),
                None => std::future::pending().await,
            }
        };
        let answer = exchange_with_continue(&mut stream, &mut buffer, REQUEST, rest).await;
        assert_eq!(answer.expect("an answer").status, 200, "{}", case.name);
        assert_eq!(server.await.expect("a server"), case.gets, "{}", case.name);
    }
}
