//! The columns of the service table: their names, ranges and defaults.

use std::time::Duration;

use crate::request::merge::MergeRule;
use crate::version::row::{AnswerPriority, RequestKind, ServiceRow, UnfencedRule};

/// Why a cell was not taken: what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellError {
    /// What the column allows.
    pub allowed: String,
    /// The words the column knows, for a hint.
    pub words: &'static [&'static str],
}

type CellResult = Result<(), CellError>;

/// One column: its name and how its cell becomes part of a row.
pub struct TableColumn {
    /// Name in the header.
    pub name: &'static str,
    /// Whether the header must name it.
    pub required: bool,
    /// Reads a cell into the row.
    pub read: fn(&str, &mut ServiceRow) -> CellResult,
    /// Writes the cell of a row.
    pub write: fn(&ServiceRow) -> String,
}

const KIND_WORDS: &[&str] = &["query", "fetch", "non-repeatable"];
const FIRST_WORDS: &[&str] = &["time", "coverage"];
const UNFENCED_WORDS: &[&str] = &["refuse", "run"];
const MERGE_WORDS: &[&str] = &["score", "concatenate", "single"];

fn out_of_range(allowed: impl Into<String>) -> CellError {
    CellError {
        allowed: allowed.into(),
        words: &[],
    }
}

fn unknown_word(words: &'static [&'static str]) -> CellError {
    CellError {
        allowed: format!("one of {}", words.join(", ")),
        words,
    }
}

fn read_whole(cell: &str, least: u32, most: u32) -> Result<u32, CellError> {
    let problem = || out_of_range(format!("a whole number from {least} to {most}"));
    let number: u32 = cell.parse().map_err(|_| problem())?;
    if number < least || number > most {
        return Err(problem());
    }
    Ok(number)
}

fn read_fraction(cell: &str, least: f64, most: f64) -> Result<f64, CellError> {
    let problem = || out_of_range(format!("a number from {least} to {most}"));
    let number: f64 = cell.parse().map_err(|_| problem())?;
    if !(least..=most).contains(&number) {
        return Err(problem());
    }
    Ok(number)
}

fn read_millis(cell: &str, least: u32, most: u32) -> Result<Duration, CellError> {
    let problem = |_| out_of_range(format!("milliseconds from {least} to {most}"));
    let millis = read_whole(cell, least, most).map_err(problem)?;
    Ok(Duration::from_millis(u64::from(millis)))
}

/// Most characters in the name of a service.
const NAME_LENGTH: usize = 64;

fn read_name(cell: &str) -> Result<Box<str>, CellError> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if cell.is_empty() || cell.len() > NAME_LENGTH || !cell.chars().all(plain) {
        return Err(out_of_range(
            "1 to 64 of lower-case letters, digits and hyphens",
        ));
    }
    Ok(cell.into())
}

fn read_kind(cell: &str) -> Result<RequestKind, CellError> {
    match cell {
        "query" => Ok(RequestKind::Query),
        "fetch" => Ok(RequestKind::Fetch),
        "non-repeatable" => Ok(RequestKind::NonRepeatable),
        _ => Err(unknown_word(KIND_WORDS)),
    }
}

fn write_kind(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Query => "query",
        RequestKind::Fetch => "fetch",
        RequestKind::NonRepeatable => "non-repeatable",
    }
}

fn read_first(cell: &str) -> Result<AnswerPriority, CellError> {
    match cell {
        "time" => Ok(AnswerPriority::Time),
        "coverage" => Ok(AnswerPriority::Coverage),
        _ => Err(unknown_word(FIRST_WORDS)),
    }
}

fn write_first(first: AnswerPriority) -> &'static str {
    match first {
        AnswerPriority::Time => "time",
        AnswerPriority::Coverage => "coverage",
    }
}

fn read_merge(cell: &str) -> Result<MergeRule, CellError> {
    match cell {
        "score" => Ok(MergeRule::Score),
        "concatenate" => Ok(MergeRule::Concatenate),
        "single" => Ok(MergeRule::Single),
        _ => Err(unknown_word(MERGE_WORDS)),
    }
}

fn write_merge(merge: MergeRule) -> &'static str {
    match merge {
        MergeRule::Score => "score",
        MergeRule::Concatenate => "concatenate",
        MergeRule::Single => "single",
    }
}

fn read_unfenced(cell: &str) -> Result<UnfencedRule, CellError> {
    match cell {
        "refuse" => Ok(UnfencedRule::Refuse),
        "run" => Ok(UnfencedRule::Run),
        _ => Err(unknown_word(UNFENCED_WORDS)),
    }
}

fn write_unfenced(rule: UnfencedRule) -> &'static str {
    match rule {
        UnfencedRule::Refuse => "refuse",
        UnfencedRule::Run => "run",
    }
}

fn write_millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

macro_rules! column {
    ($name:literal, $required:expr, $field:ident, $read:expr, $write:expr) => {
        TableColumn {
            name: $name,
            required: $required,
            read: |cell, row| {
                row.$field = $read(cell)?;
                Ok(())
            },
            write: |row| $write(&row.$field).to_string(),
        }
    };
}

/// All columns, in the order in which a table is written.
pub static TABLE_COLUMNS: &[TableColumn] = &[
    column!("service", true, service, read_name, |name: &str| name
        .to_string()),
    column!("kind", true, kind, read_kind, |kind: &RequestKind| {
        write_kind(*kind)
    }),
    column!("upstream", false, upstream, read_name, |name: &str| name
        .to_string()),
    column!(
        "weight",
        false,
        weight,
        |c: &str| read_whole(c, 1, 1000),
        u32::to_string
    ),
    column!(
        "in_flight",
        false,
        in_flight,
        |c: &str| read_whole(c, 1, 100_000),
        u32::to_string
    ),
    column!(
        "queue",
        false,
        queue,
        |c: &str| read_whole(c, 0, 100_000),
        u32::to_string
    ),
    column!(
        "deadline_ms",
        false,
        deadline,
        |c: &str| read_millis(c, 5, 600_000),
        |d: &Duration| write_millis(*d)
    ),
    column!(
        "coverage_floor",
        false,
        coverage_floor,
        |c: &str| read_fraction(c, 0.0, 1.0),
        f64::to_string
    ),
    column!(
        "first",
        false,
        first,
        read_first,
        |first: &AnswerPriority| { write_first(*first) }
    ),
    column!(
        "partial_after_ms",
        false,
        partial_after,
        |c: &str| read_millis(c, 1, 600_000),
        |d: &Duration| write_millis(*d)
    ),
    column!(
        "hedge_quantile",
        false,
        hedge_quantile,
        |c: &str| read_fraction(c, 0.5, 1.0),
        f64::to_string
    ),
    column!(
        "extra_load",
        false,
        extra_load,
        |c: &str| read_fraction(c, 0.0, 1.0),
        f64::to_string
    ),
    column!(
        "retries",
        false,
        retries,
        |c: &str| read_whole(c, 0, 10),
        u32::to_string
    ),
    column!("merge", false, merge, read_merge, |merge: &MergeRule| {
        write_merge(*merge)
    }),
    column!(
        "limit",
        false,
        limit,
        |c: &str| read_whole(c, 0, 100_000),
        u32::to_string
    ),
    column!(
        "unfenced",
        false,
        unfenced,
        read_unfenced,
        |rule: &UnfencedRule| write_unfenced(*rule)
    ),
];

/// Returns a row in which every column has its default.
pub fn default_row() -> ServiceRow {
    ServiceRow {
        service: "".into(),
        kind: RequestKind::Query,
        upstream: "".into(),
        weight: 10,
        in_flight: 64,
        queue: 64,
        deadline: Duration::from_millis(1000),
        coverage_floor: 0.5,
        first: AnswerPriority::Coverage,
        partial_after: Duration::from_millis(1000),
        hedge_quantile: 0.95,
        extra_load: 0.05,
        retries: 2,
        merge: MergeRule::Score,
        limit: 20,
        unfenced: UnfencedRule::Refuse,
    }
}
