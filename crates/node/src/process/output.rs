//! The log of an instance with a role: JSON lines on standard output.
//!
//! A thread of its own writes them. Where nobody reads, or slowly, lines are
//! dropped and counted; no request waits for its log.

use std::io::{BufWriter, Write};
use std::sync::OnceLock;
use std::time::Duration;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for standard output.
const MAX_QUEUED_LINES: usize = 4000;

/// Bytes that are written together.
const BUFFER_BYTES: usize = 32 * 1024;
/// Time that the writing thread rests after it has written all that waited:
/// each line by itself would cost a wake-up and a system call.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts the log. It ends, with what waits written, when the guard is dropped.
///
/// # Errors
///
/// Fails if the level cannot be read.
pub fn start_log_output(level: &str) -> anyhow::Result<WorkerGuard> {
    let filter =
        EnvFilter::try_new(level).with_context(|| format!("could not read log level {level}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(BatchingWriter::new(std::io::stdout()));
    DROPPED_LINES.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    Ok(guard)
}

/// Returns how many lines found no room.
pub fn count_dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |dropped| dropped.dropped_lines() as u64)
}

/// Writes what waits together, and rests after that.
#[derive(Debug)]
struct BatchingWriter<W: Write> {
    inner: BufWriter<W>,
}

impl<W: Write> BatchingWriter<W> {
    fn new(inner: W) -> BatchingWriter<W> {
        BatchingWriter {
            inner: BufWriter::with_capacity(BUFFER_BYTES, inner),
        }
    }
}

impl<W: Write> Write for BatchingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.inner.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.inner.flush()?;
        std::thread::sleep(WRITE_PAUSE);
        Ok(())
    }
}
