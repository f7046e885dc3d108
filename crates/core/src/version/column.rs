//! The columns of the service table: their names, allowed values and defaults.

use std::time::Duration;

use crate::request::merge::MergeRule;
use crate::version::row::{AnswerPriority, RequestKind, ServiceRow, UnfencedRule};

/// Reason why a cell was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellError {
    /// Description of the values that the column allows.
    pub allowed: String,
    /// Keywords that the column accepts, used to suggest a correction.
    pub known_words: &'static [&'static str],
}

type CellResult = Result<(), CellError>;

/// A column: its name and the conversion between its cells and the rows.
pub struct TableColumn {
    /// Name of the column in the header.
    pub name: &'static str,
    /// Whether the header must name the column.
    pub required: bool,
    /// Parses a cell and stores its value in the row.
    pub parse_cell: fn(&str, &mut ServiceRow) -> CellResult,
    /// Formats the row's value for this column as a cell.
    pub format_cell: fn(&ServiceRow) -> String,
}

const KIND_WORDS: &[&str] = &["query", "fetch", "non-repeatable"];
const FIRST_WORDS: &[&str] = &["time", "coverage"];
const UNFENCED_WORDS: &[&str] = &["refuse", "run"];
const MERGE_WORDS: &[&str] = &["score", "concatenate", "single"];

fn out_of_range(allowed: impl Into<String>) -> CellError {
    CellError {
        allowed: allowed.into(),
        known_words: &[],
    }
}

fn unknown_word(known_words: &'static [&'static str]) -> CellError {
    CellError {
        allowed: format!("one of {}", known_words.join(", ")),
        known_words,
    }
}

fn parse_whole_number(cell: &str, min: u32, max: u32) -> Result<u32, CellError> {
    let error = || out_of_range(format!("a whole number from {min} to {max}"));
    let number: u32 = cell.parse().map_err(|_| error())?;
    if number < min || number > max {
        return Err(error());
    }
    Ok(number)
}

fn parse_fraction(cell: &str, min: f64, max: f64) -> Result<f64, CellError> {
    let error = || out_of_range(format!("a number from {min} to {max}"));
    let number: f64 = cell.parse().map_err(|_| error())?;
    if !(min..=max).contains(&number) {
        return Err(error());
    }
    Ok(number)
}

fn parse_millis(cell: &str, min: u32, max: u32) -> Result<Duration, CellError> {
    let error = |_| out_of_range(format!("milliseconds from {min} to {max}"));
    let millis = parse_whole_number(cell, min, max).map_err(error)?;
    Ok(Duration::from_millis(u64::from(millis)))
}

/// Maximum number of characters in the name of a service or an upstream.
const MAX_NAME_LENGTH: usize = 64;

fn parse_name(cell: &str) -> Result<Box<str>, CellError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if cell.is_empty() || cell.len() > MAX_NAME_LENGTH || !cell.chars().all(is_allowed) {
        return Err(out_of_range(
            "1 to 64 of lower-case letters, digits and hyphens",
        ));
    }
    Ok(cell.into())
}

fn parse_kind(cell: &str) -> Result<RequestKind, CellError> {
    match cell {
        "query" => Ok(RequestKind::Query),
        "fetch" => Ok(RequestKind::Fetch),
        "non-repeatable" => Ok(RequestKind::NonRepeatable),
        _ => Err(unknown_word(KIND_WORDS)),
    }
}

fn format_kind(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Query => "query",
        RequestKind::Fetch => "fetch",
        RequestKind::NonRepeatable => "non-repeatable",
    }
}

fn parse_priority(cell: &str) -> Result<AnswerPriority, CellError> {
    match cell {
        "time" => Ok(AnswerPriority::Time),
        "coverage" => Ok(AnswerPriority::Coverage),
        _ => Err(unknown_word(FIRST_WORDS)),
    }
}

fn format_priority(first: AnswerPriority) -> &'static str {
    match first {
        AnswerPriority::Time => "time",
        AnswerPriority::Coverage => "coverage",
    }
}

fn parse_merge_rule(cell: &str) -> Result<MergeRule, CellError> {
    match cell {
        "score" => Ok(MergeRule::Score),
        "concatenate" => Ok(MergeRule::Concatenate),
        "single" => Ok(MergeRule::Single),
        _ => Err(unknown_word(MERGE_WORDS)),
    }
}

fn format_merge_rule(merge: MergeRule) -> &'static str {
    match merge {
        MergeRule::Score => "score",
        MergeRule::Concatenate => "concatenate",
        MergeRule::Single => "single",
    }
}

fn parse_unfenced_rule(cell: &str) -> Result<UnfencedRule, CellError> {
    match cell {
        "refuse" => Ok(UnfencedRule::Refuse),
        "run" => Ok(UnfencedRule::Run),
        _ => Err(unknown_word(UNFENCED_WORDS)),
    }
}

fn format_unfenced_rule(rule: UnfencedRule) -> &'static str {
    match rule {
        UnfencedRule::Refuse => "refuse",
        UnfencedRule::Run => "run",
    }
}

fn format_millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

/// Builds a [`TableColumn`] from its name, whether it is required, the field of
/// [`ServiceRow`], and the functions that parse and format its cells.
macro_rules! column {
    ($name:literal, $required:expr, $field:ident, $parse:expr, $format:expr) => {
        TableColumn {
            name: $name,
            required: $required,
            parse_cell: |cell, row| {
                row.$field = $parse(cell)?;
                Ok(())
            },
            format_cell: |row| $format(&row.$field).to_string(),
        }
    };
}

/// All columns, in the order in which a table is written.
pub static TABLE_COLUMNS: &[TableColumn] = &[
    column!("service", true, service, parse_name, |name: &str| name
        .to_string()),
    column!("kind", true, kind, parse_kind, |kind: &RequestKind| {
        format_kind(*kind)
    }),
    column!("upstream", false, upstream, parse_name, |name: &str| name
        .to_string()),
    column!(
        "weight",
        false,
        weight,
        |c: &str| parse_whole_number(c, 1, 1000),
        u32::to_string
    ),
    column!(
        "in_flight",
        false,
        in_flight,
        |c: &str| parse_whole_number(c, 1, 100_000),
        u32::to_string
    ),
    column!(
        "queue",
        false,
        queue,
        |c: &str| parse_whole_number(c, 0, 100_000),
        u32::to_string
    ),
    column!(
        "deadline_ms",
        false,
        deadline,
        |c: &str| parse_millis(c, 5, 600_000),
        |d: &Duration| format_millis(*d)
    ),
    column!(
        "coverage_floor",
        false,
        coverage_floor,
        |c: &str| parse_fraction(c, 0.0, 1.0),
        f64::to_string
    ),
    column!(
        "first",
        false,
        first,
        parse_priority,
        |first: &AnswerPriority| { format_priority(*first) }
    ),
    column!(
        "partial_after_ms",
        false,
        partial_after,
        |c: &str| parse_millis(c, 1, 600_000),
        |d: &Duration| format_millis(*d)
    ),
    column!(
        "hedge_quantile",
        false,
        hedge_quantile,
        |c: &str| parse_fraction(c, 0.5, 1.0),
        f64::to_string
    ),
    column!(
        "extra_load",
        false,
        extra_load,
        |c: &str| parse_fraction(c, 0.0, 1.0),
        f64::to_string
    ),
    column!(
        "retries",
        false,
        retries,
        |c: &str| parse_whole_number(c, 0, 10),
        u32::to_string
    ),
    column!(
        "merge",
        false,
        merge,
        parse_merge_rule,
        |merge: &MergeRule| { format_merge_rule(*merge) }
    ),
    column!(
        "limit",
        false,
        limit,
        |c: &str| parse_whole_number(c, 0, 100_000),
        u32::to_string
    ),
    column!(
        "unfenced",
        false,
        unfenced,
        parse_unfenced_rule,
        |rule: &UnfencedRule| format_unfenced_rule(*rule)
    ),
];

/// Returns a row in which every column has its default value.
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
