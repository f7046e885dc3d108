//! An answer whose body is read in parts as they arrive, such as a stream of lines without end.

use std::borrow::Cow;
use std::io::Result;
use std::sync::Arc;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::connection::answer_head::BodyFraming;
use crate::connection::answer_reader::{AnswerReader, MAX_FRAMING_BYTES};
use crate::connection::client_memory::ClientMemory;

/// What is left of a body.
#[derive(Debug, Clone, Copy)]
enum BodyRest {
    /// This number of bytes.
    Length(usize),
    /// This number of bytes of the current chunk, and more chunks.
    Chunks(u64),
    /// Everything until the server closes the connection.
    UntilClose,
    /// Nothing.
    Ended,
}

/// An answer whose head was read, on a connection of its own.
#[derive(Debug)]
pub struct AnswerStream {
    /// HTTP status code.
    pub status: u16,
    stream: TcpStream,
    buffer: BytesMut,
    rest: BodyRest,
    memory: ClientMemory,
}

impl AnswerStream {
    /// Sends a request without a body on a new connection and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the head is not valid.
    pub async fn open(
        mut stream: TcpStream,
        request: Cow<'_, [u8]>,
    ) -> anyhow::Result<AnswerStream> {
        stream.write_all(&request).await?;
        let mut buffer = BytesMut::new();
        let memory = ClientMemory::default();
        let mut reader = AnswerReader::new(
            &mut stream,
            &mut buffer,
            memory.receive_answer(Arc::default()),
        );
        let head = reader
            .read_final_head(std::future::pending::<Vec<u8>>)
            .await;
        let head = head.context("could not read the head of the answer")?;
        let rest = match head.framing {
            BodyFraming::Empty => BodyRest::Ended,
            BodyFraming::Length(length) => BodyRest::Length(length),
            BodyFraming::Chunked => BodyRest::Chunks(0),
            BodyFraming::UntilClose => BodyRest::UntilClose,
        };
        Ok(AnswerStream {
            status: head.status,
            stream,
            buffer,
            rest,
            memory,
        })
    }

    /// Reads the next part of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end, or if the body is not valid.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>> {
        let memory = self.memory.receive_answer(Arc::default());
        let mut reader = AnswerReader::new(&mut self.stream, &mut self.buffer, memory);
        if let BodyRest::Chunks(0) = self.rest {
            let size = reader.read_chunk_size(&mut { MAX_FRAMING_BYTES }).await?;
            self.rest = BodyRest::Chunks(size);
            if size == 0 {
                reader.read_trailers().await?;
                self.rest = BodyRest::Ended;
            }
        }
        let data = match self.rest {
            BodyRest::Ended | BodyRest::Length(0) => return Ok(None),
            BodyRest::Length(left) => {
                let data = reader.read_part(left).await?;
                self.rest = BodyRest::Length(left - data.len());
                data
            }
            BodyRest::Chunks(left) => {
                let data = reader
                    .read_part(usize::try_from(left).unwrap_or(usize::MAX))
                    .await?;
                if data.len() as u64 == left {
                    reader.read_line_end().await?;
                }
                self.rest = BodyRest::Chunks(left - data.len() as u64);
                data
            }
            BodyRest::UntilClose => match reader.read_to_close().await? {
                Some(data) => data,
                None => return Ok(None),
            },
        };
        Ok(Some(data))
    }
}
