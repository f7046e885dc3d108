//! Collects the log lines of one request from the JSON logs of several processes and merges them
//! in time order.

use std::io::Read;
use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use serde_json::{Map, Value};

/// Fields of a log line that are not printed after its message.
const OMITTED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// One log line of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestLogLine {
    /// Timestamp of the line, by the clock of the process that wrote the line.
    pub at: String,
    /// Name of the process: the text before the JSON, or else the name of the log file.
    pub process: String,
    /// Message of the line, followed by its remaining fields.
    pub text: String,
}

/// Reads the log lines of a request from a file, a folder of files, or standard input (`-`), and
/// returns them sorted by timestamp.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line belongs to the request.
pub fn read_request_log(request: &str, source: &Path) -> anyhow::Result<Vec<RequestLogLine>> {
    let mut lines = Vec::new();
    for file in list_files(source)? {
        let (process, text) = read_log(&file)?;
        let matching_lines = text.lines().filter(|line| line.contains(request));
        lines.extend(matching_lines.filter_map(|line| read_line(&process, request, line)));
    }
    if lines.is_empty() {
        bail!(
            "could not find request {request} in {}; plain successes are logged only as a sample",
            source.display()
        );
    }
    // The sort is stable, so lines with equal timestamps from one process keep their order.
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(lines)
}

/// Returns the files of a folder sorted by name, or the path itself if the path is no folder.
fn list_files(source: &Path) -> anyhow::Result<Vec<PathBuf>> {
    if !source.is_dir() {
        return Ok(vec![source.to_path_buf()]);
    }
    let entries = std::fs::read_dir(source)
        .with_context(|| format!("could not read folder {}", source.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Reads a log and returns the name of its process, taken from the file name, and its text.
fn read_log(file: &Path) -> anyhow::Result<(String, String)> {
    let mut bytes = Vec::new();
    let result = if file == Path::new("-") {
        std::io::stdin().read_to_end(&mut bytes).map(|_| ())
    } else {
        std::fs::read(file).map(|content| bytes = content)
    };
    result.with_context(|| format!("could not read log {}", file.display()))?;
    let process = file.file_stem().unwrap_or_default();
    Ok((
        process.to_string_lossy().to_string(),
        String::from_utf8_lossy(&bytes).to_string(),
    ))
}

/// Parses a JSON log line; returns `None` if the line does not belong to the request. The last word
/// before the first brace names the process, as in a stream that joins the logs of several
/// processes; without such a word, `process` is used.
fn read_line(process: &str, request: &str, line: &str) -> Option<RequestLogLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let prefix_name = prefix.split_whitespace().last();
    let message = fields.get("message").and_then(Value::as_str);
    let other_fields = fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let other_fields: Vec<String> = other_fields
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let at = fields.get("timestamp").and_then(Value::as_str);
    Some(RequestLogLine {
        at: at.unwrap_or_default().to_string(),
        process: prefix_name.unwrap_or(process).to_string(),
        text: format!("{} {}", message.unwrap_or_default(), other_fields.join(" ")),
    })
}
