//! The service table: a CSV document with a header and one row for each service.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::finding::{suggest_name, FindingList, FindingPlace};
use crate::request::merge::MergeRule;
use crate::version::column::{default_row, CellError, TableColumn, TABLE_COLUMNS};
use crate::version::row::{AnswerPriority, RequestKind, ServiceRow};

/// A checked version of the service table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceTable {
    version: u64,
    rows: BTreeMap<Box<str>, Arc<ServiceRow>>,
}

/// Maximum number of rows in a table.
pub const MAX_TABLE_ROWS: usize = 5_000;

impl ServiceTable {
    /// Parses a table from CSV text and assigns it a version.
    ///
    /// # Errors
    ///
    /// Returns all findings at once, each with its row and column.
    pub fn parse(text: &str, version: u64) -> Result<ServiceTable, FindingList> {
        let mut findings = FindingList::default();
        let mut reader = csv::ReaderBuilder::new()
            .comment(Some(b'#'))
            .trim(csv::Trim::All)
            .flexible(true)
            .from_reader(text.as_bytes());
        let columns = match reader.headers() {
            Ok(header) => parse_header(header, &mut findings),
            Err(error) => {
                findings.add(
                    FindingPlace::WholeInput,
                    format!("not readable CSV: {error}"),
                );
                return Err(findings);
            }
        };
        let mut rows = BTreeMap::new();
        for record in reader.records() {
            match record {
                Ok(record) => parse_row(&record, &columns, &mut rows, &mut findings),
                Err(error) => findings.add(
                    FindingPlace::WholeInput,
                    format!("not readable CSV: {error}"),
                ),
            }
        }
        if rows.is_empty() && findings.is_empty() {
            findings.add(
                FindingPlace::WholeInput,
                "no service; a table needs a row or more",
            );
        }
        if rows.len() > MAX_TABLE_ROWS {
            findings.add(
                FindingPlace::WholeInput,
                format!("over {MAX_TABLE_ROWS} services; split the table"),
            );
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(ServiceTable { version, rows })
    }

    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the row of `service`.
    pub fn row(&self, service: &str) -> Option<&Arc<ServiceRow>> {
        self.rows.get(service)
    }

    /// Iterates over the rows, ordered by service name.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<ServiceRow>> {
        self.rows.values()
    }

    /// Formats the table as CSV with all columns.
    pub fn to_csv(&self) -> String {
        let names: Vec<&str> = TABLE_COLUMNS.iter().map(|column| column.name).collect();
        let mut text = names.join(",");
        text.push('\n');
        for row in self.rows.values() {
            let cells: Vec<String> = TABLE_COLUMNS.iter().map(|c| (c.format_cell)(row)).collect();
            text.push_str(&cells.join(","));
            text.push('\n');
        }
        text
    }

    /// Returns the cells in which `next` differs from this table.
    pub fn diff(&self, next: &ServiceTable) -> Vec<CellChange> {
        let mut changes = Vec::new();
        let names = self.rows.keys().chain(next.rows.keys());
        let mut services: Vec<&Box<str>> = names.collect();
        services.sort();
        services.dedup();
        for service in services {
            diff_row(service, self.row(service), next.row(service), &mut changes);
        }
        changes
    }
}

/// A cell that differs between two tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellChange {
    /// Name of the service whose row differs.
    pub service: String,
    /// Name of the column.
    pub column: &'static str,
    /// Value in the old table, if it has the row.
    pub before: Option<String>,
    /// Value in the new table, if it has the row.
    pub after: Option<String>,
}

/// Appends the cells in which two rows of a service differ to `changes`. `None`
/// means that the table has no row for the service.
fn diff_row(
    service: &str,
    before: Option<&Arc<ServiceRow>>,
    after: Option<&Arc<ServiceRow>>,
    changes: &mut Vec<CellChange>,
) {
    for column in TABLE_COLUMNS {
        let old = before.map(|row| (column.format_cell)(row));
        let new = after.map(|row| (column.format_cell)(row));
        if old != new {
            changes.push(CellChange {
                service: service.to_string(),
                column: column.name,
                before: old,
                after: new,
            });
        }
    }
}

fn column_names() -> impl Iterator<Item = &'static str> {
    TABLE_COLUMNS.iter().map(|column| column.name)
}

/// Returns the column of each header cell, or `None` for an unknown name.
fn parse_header(
    header: &csv::StringRecord,
    findings: &mut FindingList,
) -> Vec<Option<&'static TableColumn>> {
    let mut columns = Vec::new();
    for (index, name) in header.iter().enumerate() {
        let place = FindingPlace::Cell {
            row: 1,
            column: name.to_string(),
        };
        let column = TABLE_COLUMNS.iter().find(|column| column.name == name);
        if column.is_none() {
            findings.add_with_hint(
                place.clone(),
                "unknown column",
                suggest_name(name, column_names()),
            );
        }
        if header.iter().take(index).any(|earlier| earlier == name) {
            findings.add(place, "named twice");
        }
        columns.push(column);
    }
    for column in TABLE_COLUMNS.iter().filter(|column| column.required) {
        if !header.iter().any(|name| name == column.name) {
            let place = FindingPlace::Cell {
                row: 1,
                column: column.name.to_string(),
            };
            findings.add(place, "missing; the header must name it");
        }
    }
    columns
}

/// Parses a record into a row and adds the row to `rows`.
fn parse_row(
    record: &csv::StringRecord,
    columns: &[Option<&'static TableColumn>],
    rows: &mut BTreeMap<Box<str>, Arc<ServiceRow>>,
    findings: &mut FindingList,
) {
    let line = record.position().map_or(0, |position| position.line()) as usize;
    let place = |column: &str| FindingPlace::Cell {
        row: line,
        column: column.to_string(),
    };
    if record.len() != columns.len() {
        findings.add(
            place("all columns"),
            format!(
                "{} cells where the header has {}",
                record.len(),
                columns.len()
            ),
        );
        return;
    }
    let mut row = default_row();
    for (cell, column) in record.iter().zip(columns) {
        let Some(column) = column else { continue };
        if cell.is_empty() && !column.required {
            continue;
        }
        if let Err(error) = (column.parse_cell)(cell, &mut row) {
            report_cell_error(place(column.name), cell, error, findings);
        }
    }
    if row.upstream.is_empty() {
        row.upstream = row.service.clone();
    }
    check_row(&row, line, findings);
    if rows.contains_key(&row.service) {
        findings.add(
            place("service"),
            format!("\"{}\" has a row already", row.service),
        );
    }
    rows.insert(row.service.clone(), Arc::new(row));
}

fn report_cell_error(
    place: FindingPlace,
    cell: &str,
    error: CellError,
    findings: &mut FindingList,
) {
    let message = format!("\"{cell}\" is not {}", error.allowed);
    let hint = suggest_name(cell, error.known_words.iter().copied());
    findings.add_with_hint(place, message, hint);
}

/// Checks the rules that involve several cells of a row.
fn check_row(row: &ServiceRow, line: usize, findings: &mut FindingList) {
    let place = |column: &str| FindingPlace::Cell {
        row: line,
        column: column.to_string(),
    };
    if row.first == AnswerPriority::Time && row.partial_after > row.deadline {
        findings.add(
            place("partial_after_ms"),
            "after the deadline; give a time up to deadline_ms",
        );
    }
    if row.kind != RequestKind::Query && row.merge != MergeRule::Single {
        findings.add(
            place("merge"),
            "a fetch or non-repeatable service has one reply; use \"single\"",
        );
    }
    if row.kind == RequestKind::NonRepeatable && row.hedge_quantile < 1.0 {
        findings.add(
            place("hedge_quantile"),
            "a non-repeatable request is never hedged; use 1",
        );
    }
    if row.kind == RequestKind::Query && row.merge == MergeRule::Single {
        findings.add(
            place("merge"),
            "a query has many replies; use \"score\" or \"concatenate\"",
        );
    }
}
