//! Tests of one HTTP exchange on a connection, against servers that misbehave.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_node::connection::client_memory::ClientMemory;
use wheelmast_node::connection::exchange::{exchange, exchange_with_continue, ExchangeFailure};

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

/// Whether a connection may be reused after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reuse {
    Allowed,
    Forbidden,
}

/// What a server writes, and the result that the client is expected to report.
struct AnswerCase {
    name: &'static str,
    /// Bytes that the server writes.
    writes: &'static [u8],
    /// Whether the server then closes the connection.
    closes: bool,
    result: Result<(u16, &'static [u8], Reuse), ExchangeFailure>,
}

/// Starts a server that writes `writes` after it has read something. Returns a connection
/// to the server.
async fn connect_to_server(writes: &'static [u8], closes: bool) -> TcpStream {
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
async fn only_a_complete_answer_is_returned() {
    let broken = Err(ExchangeFailure::Broken);
    let cases = [
        AnswerCase {
            name: "with content-length",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            closes: false,
            result: Ok((200, b"ok", Reuse::Allowed)),
        },
        AnswerCase {
            name: "chunked",
            writes: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nt: u\r\n\r\n",
            closes: false,
            result: Ok((200, b"ok", Reuse::Allowed)),
        },
        AnswerCase {
            name: "without length, ended by the close",
            writes: b"HTTP/1.1 200 OK\r\n\r\nok",
            closes: true,
            result: Ok((200, b"ok", Reuse::Forbidden)),
        },
        AnswerCase {
            name: "interim answer first",
            writes: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            closes: false,
            result: Ok((200, b"", Reuse::Allowed)),
        },
        AnswerCase {
            name: "server announces the close",
            writes: b"HTTP/1.1 200 OK\r\nconnection: Close\r\ncontent-length: 2\r\n\r\nok",
            closes: false,
            result: Ok((200, b"ok", Reuse::Forbidden)),
        },
        AnswerCase {
            name: "idle time-out of 0 s",
            writes: b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 0\r\n\r\n",
            closes: false,
            result: Ok((200, b"", Reuse::Allowed)),
        },
        AnswerCase {
            name: "more bytes after the answer",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
            closes: false,
            result: Ok((200, b"ok", Reuse::Forbidden)),
        },
        AnswerCase {
            name: "body cut short",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok",
            closes: true,
            result: broken,
        },
        AnswerCase {
            name: "chunk cut short",
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
            name: "content-length and chunked encoding",
            writes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            closes: false,
            result: broken,
        },
        AnswerCase {
            name: "not HTTP",
            writes: b"\x00\x01\x02 what\r\n\r\n",
            closes: false,
            result: broken,
        },
        AnswerCase {
            name: "closed without an answer",
            writes: b"",
            closes: true,
            result: broken,
        },
    ];
    for case in cases {
        let mut stream = connect_to_server(case.writes, case.closes).await;
        let mut buffer = BytesMut::new();
        let answer = exchange(&mut stream, &mut buffer, REQUEST).await;
        let actual = answer.map(|answer| {
            let reuse = match answer.keep_alive {
                Some(_) => Reuse::Allowed,
                None => Reuse::Forbidden,
            };
            (answer.status, answer.body.to_vec(), reuse)
        });
        let expected = case
            .result
            .map(|(status, body, reuse)| (status, body.to_vec(), reuse));
        assert_eq!(actual, expected, "{}", case.name);
    }
}

#[tokio::test]
async fn a_connection_is_not_reused_after_an_early_answer() {
    let writes = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    let mut stream = connect_to_server(writes, false).await;
    let mut request = b"POST /x HTTP/1.1\r\ncontent-length: 30000000\r\n\r\n".to_vec();
    request.resize(30_000_000, b'x');
    let mut buffer = BytesMut::new();
    let answer = exchange(&mut stream, &mut buffer, &request).await;
    let answer = answer.expect("a complete answer");
    assert_eq!((answer.status, answer.keep_alive), (413, None));
}

#[tokio::test]
async fn nothing_is_written_on_a_connection_that_is_closed_or_has_unexpected_bytes() {
    for (writes, closes) in [(&b"late"[..], false), (&b""[..], true)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        server.write_all(writes).await.expect("written");
        let open_server = Some(server).filter(|_| !closes);
        stream.readable().await.expect("closed or readable");
        let mut buffer = BytesMut::new();
        let answer = exchange(&mut stream, &mut buffer, REQUEST).await;
        assert_eq!(answer.err(), Some(ExchangeFailure::Unsent));
        drop(open_server);
    }
}

/// How a server reacts to a request whose last bytes are held back.
struct RestCase {
    name: &'static str,
    /// Bytes that the server writes before it reads the rest.
    writes: &'static [u8],
    /// Bytes held back by the client; `None` if they never become ready.
    rest: Option<&'static [u8]>,
    /// All bytes that the server is expected to receive.
    receives: &'static [u8],
}

#[tokio::test]
async fn held_back_bytes_are_sent_only_after_100_continue() {
    let head = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
    let cases = [
        RestCase {
            name: "100 Continue",
            writes: b"HTTP/1.1 100 Continue\r\n\r\n",
            rest: Some(b"2"),
            receives: b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n2",
        },
        RestCase {
            name: "100 Continue and nothing to send",
            writes: b"HTTP/1.1 100 Continue\r\n\r\n",
            rest: None,
            receives: head,
        },
        RestCase {
            name: "other interim answer",
            writes: b"HTTP/1.1 103 Early Hints\r\n\r\n",
            rest: Some(b"2"),
            receives: head,
        },
        RestCase {
            name: "no interim answer",
            writes: b"",
            rest: Some(b"2"),
            receives: head,
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
        let memory = ClientMemory::default().receive_answer(Arc::default());
        let rest = || async move {
            match case.rest {
                Some(rest) => rest.to_vec(),
                None => std::future::pending().await,
            }
        };
        let answer = exchange_with_continue(&mut stream, &mut buffer, REQUEST, memory, rest).await;
        assert_eq!(answer.expect("an answer").status, 200, "{}", case.name);
        assert_eq!(
            server.await.expect("a server"),
            case.receives,
            "{}",
            case.name
        );
    }
}
