//! Processor time of the threads of this process, by name.

use std::collections::BTreeMap;

/// Clock ticks a second in `/proc`; fixed by Linux's interface.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time so far, in milliseconds, of all threads whose
/// name begins with `prefix`, by the rest of the name. Empty where there is no
/// `/proc`.
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

/// Returns name and processor time out of a line of `/proc/*/stat`.
fn read_stat(text: &str) -> Option<(&str, f64)> {
    let (head, tail) = text.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    // Fields 14 and 15 of the line are user and system time.
    let mut fields = tail.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((name, (user + system) * 1000.0 / TICKS_PER_S))
}

/// Returns the resident memory of this process in bytes; 0 where there is no
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
