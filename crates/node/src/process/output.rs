//! Writes the log of an instance with a role (entry or control) as JSON lines
//! to standard output.
//!
//! A separate thread writes the lines. If standard output is read slowly or not
//! at all, lines are dropped and counted, so no request waits for its log line.

use std::io::{BufWriter, Write};
use std::sync::OnceLock;
use std::time::Duration;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of log lines queued for standard output.
const MAX_QUEUED_LINES: usize = 4000;

/// Size of the write buffer: this many bytes are written together.
const BUFFER_BYTES: usize = 32 * 1024;
/// Pause of the writing thread after it has written all queued lines. Without
/// the pause, each line would cost a wake-up and a system call.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Counts the log lines that were dropped because the queue was full.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts the log. When the returned guard is dropped, the queued lines are
/// written and the log ends.
///
/// # Errors
///
/// Fails if `level` is not a valid log filter.
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

/// Returns how many log lines were dropped because the queue was full.
pub fn count_dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |dropped| dropped.dropped_lines() as u64)
}

/// Writes the queued lines together, and pauses after each flush.
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
