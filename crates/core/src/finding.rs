//! Findings: validation errors in settings files and tables, with their location
//! and what would be allowed.
//!
//! The readers of settings and tables collect all findings of an input and report
//! them together, so that one run shows every error.

use std::fmt;

/// Location of a finding in its input. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FindingPlace {
    /// A position in a text file.
    Text {
        /// Line number.
        line: usize,
        /// Column number, in characters.
        column: usize,
    },
    /// A cell of the service table.
    Cell {
        /// Row number in the file; the header is row 1.
        row: usize,
        /// Name of the column.
        column: String,
    },
    /// The whole input, for errors without a specific position.
    WholeInput,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FindingPlace::Text { line, column } => write!(f, "{line}:{column}"),
            FindingPlace::Cell { row, column } => write!(f, "row {row}, {column}"),
            FindingPlace::WholeInput => write!(f, "whole"),
        }
    }
}

/// One validation error in an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputFinding {
    /// Location of the error.
    pub place: FindingPlace,
    /// Description of the error and of what is allowed.
    pub message: String,
    /// Suggestion of what the author may have meant.
    pub hint: Option<String>,
}

impl fmt::Display for InputFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// All findings of one input, in order of discovery.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingList {
    items: Vec<InputFinding>,
}

impl FindingList {
    /// Adds a finding without a hint.
    pub fn add(&mut self, place: FindingPlace, message: impl Into<String>) {
        self.items.push(InputFinding {
            place,
            message: message.into(),
            hint: None,
        });
    }

    /// Adds a finding with an optional hint.
    pub fn add_with_hint(
        &mut self,
        place: FindingPlace,
        message: impl Into<String>,
        hint: Option<String>,
    ) {
        self.items.push(InputFinding {
            place,
            message: message.into(),
            hint,
        });
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the findings in order of discovery.
    pub fn items(&self) -> &[InputFinding] {
        &self.items
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.items {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}

/// Minimum Jaro-Winkler similarity (0 to 1) at which a known name is suggested.
const HINT_SIMILARITY: f64 = 0.72;

/// Returns a hint with the known name most similar to `name`, if one is similar
/// enough.
pub fn suggest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let mut best: Option<(&str, f64)> = None;
    for candidate in known {
        let similarity = strsim::jaro_winkler(name, candidate);
        if best.is_none_or(|(_, highest)| similarity > highest) {
            best = Some((candidate, similarity));
        }
    }
    let (candidate, similarity) = best?;
    (similarity >= HINT_SIMILARITY).then(|| format!("did you mean \"{candidate}\"?"))
}
