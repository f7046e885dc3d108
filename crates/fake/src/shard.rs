//! A stand-in for a server behind an entry that forwards: it answers with a
//! stamp and fixed-size records, and announces itself in the native dialect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::NativeDialect;

use crate::dialect::{announce, begin_answer};
use crate::head::read_head;

/// Size of a record in bytes.
const RECORD_BYTES: usize = 16;

/// A server that is running.
#[derive(Debug, Clone)]
pub struct FakeShard {
    /// Identity of its lifetime.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    domain: String,
    seen: Arc<Mutex<Vec<String>>>,
    heads: Arc<Mutex<Vec<String>>>,
    sequence: Arc<Mutex<u64>>,
}

impl FakeShard {
    /// Starts a server whose records all begin with `letter`.
    ///
    /// # Errors
    ///
    /// Fails if there is no port.
    pub async fn start(service: &str, domain: &str, letter: u8) -> std::io::Result<FakeShard> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shard = FakeShard {
            id: format!("{service}-{}", address.port()),
            service: service.to_string(),
            address,
            domain: domain.to_string(),
            seen: Arc::default(),
            heads: Arc::default(),
            sequence: Arc::default(),
        };
        let server = shard.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream, letter));
            }
        });
        Ok(shard)
    }

    /// Returns the identities of the requests that it ran, in order.
    pub fn seen(&self) -> Vec<String> {
        self.seen
            .lock()
            .map_or_else(|_| Vec::new(), |seen| seen.clone())
    }

    /// Returns the heads of all requests that came, in order, run or not.
    pub fn heads(&self) -> Vec<String> {
        self.heads
            .lock()
            .map_or_else(|_| Vec::new(), |heads| heads.clone())
    }

    /// Returns the call and the body of its next announcement.
    pub fn announcement(&self, draining: bool) -> (String, String) {
        let sequence = self.sequence.lock().map_or(0, |mut sequence| {
            *sequence += 1;
            *sequence
        });
        announce(
            &self.id,
            &self.service,
            self.address,
            &self.domain,
            draining,
            sequence,
        )
    }

    async fn serve(self, mut stream: TcpStream, letter: u8) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut bytes).await? {
            if let Ok(mut heads) = self.heads.lock() {
                heads.push(head.to_lowercase());
            }
            let answer = self.answer(&head, letter);
            stream.write_all(&answer).await?;
        }
        Ok(())
    }

    fn answer(&self, head: &str, letter: u8) -> Vec<u8> {
        let (request, mut lines) = match begin_answer(head, &self.id) {
            Ok(begun) => begun,
            Err(answer) => return answer.into(),
        };
        if let Ok(mut seen) = self.seen.lock() {
            seen.push(request.to_string());
        }
        let stamp = NativeDialect::HEADERS.stamp;
        lines.push_str(&format!("{stamp}: {}.{request}\r\n", self.id));
        let body: Vec<u8> = (0..3u8)
            .flat_map(|number| {
                let mut record = [letter; RECORD_BYTES];
                record[RECORD_BYTES - 1] = number;
                record
            })
            .collect();
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\n{lines}content-length: {length}\r\n\r\n");
        [head.into_bytes(), body].concat()
    }
}
