//! Processor time per thread and resident memory of this process, read from
//! `/proc`.

use std::collections::BTreeMap;

/// Clock ticks per second in `/proc`. Linux fixes this value for user space.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time used so far, in milliseconds, by the threads whose
/// names begin with `prefix`. The key is the rest of the thread's name. The map is
/// empty on systems without `/proc`.
pub fn thread_times_ms(prefix: &str) -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return times;
    };
    for task in tasks.flatten() {
        let Ok(text) = std::fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((name, millis)) = read_stat(&text) else {
            continue;
        };
        if let Some(rest) = name.strip_prefix(prefix) {
            *times.entry(rest.to_string()).or_default() += millis;
        }
    }
    times
}

/// Parses the thread's name and its processor time in milliseconds from a line of
/// `/proc/self/task/*/stat`.
fn read_stat(text: &str) -> Option<(&str, f64)> {
    let (head, tail) = text.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    // Fields 14 and 15 of the line are user and system time in clock ticks.
    let mut fields = tail.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((name, (user + system) * 1000.0 / TICKS_PER_S))
}

/// Returns the resident memory of this process in bytes, or 0 on systems without
/// `/proc`.
pub fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
