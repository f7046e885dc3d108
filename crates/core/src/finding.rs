//! Findings: what is wrong with an input, where, and what is allowed.
//!
//! Readers of settings and tables collect findings and report them together,
//! so that one run shows everything that has to be mended.

use std::fmt;

/// Where a finding was made. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FindingPlace {
    /// A position in a text file.
    Text {
        /// Line of the position.
        line: usize,
        /// Column of the position, in characters.
        column: usize,
    },
    /// A cell of the service table.
    Cell {
        /// Row in the file; the header is row 1.
        row: usize,
        /// Name of the column.
        column: String,
    },
    /// The input as a whole.
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

/// One thing that is wrong with an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputFinding {
    /// Where it was found.
    pub place: FindingPlace,
    /// What is wrong and what is allowed.
    pub message: String,
    /// What the author may have meant.
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

/// All findings of one input.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FindingList {
    items: Vec<InputFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn add(&mut self, place: FindingPlace, message: impl Into<String>) {
        self.items.push(InputFinding {
            place,
            message: message.into(),
            hint: None,
        });
    }

    /// Adds a finding with a hint.
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

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the findings in the order of their discovery.
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

/// Least similarity (0 to 1) at which a name is offered as a hint.
const HINT_SIMILARITY: f64 = 0.72;

/// Offers the known name that is nearest to `name`, if any is near.
pub fn suggest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let mut best: Option<(&str, f64)> = None;
    for candidate in known {
        let similarity = strsim::jaro_winkler(name, candidate);
        if best.is_none_or(|(_, top)| similarity > top) {
            best = Some((candidate, similarity));
        }
    }
    let (candidate, similarity) = best?;
    (similarity >= HINT_SIMILARITY).then(|| format!("did you mean \"{candidate}\"?"))
}
