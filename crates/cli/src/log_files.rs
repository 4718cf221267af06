//! Log files of several processes.

use std::fs;

use anyhow::Context;

/// Reads log files; returns the name of each process, from the name of its file, and its log text.
///
/// # Errors
///
/// Fails if a file can't be read.
pub fn read_log_files(files: &[String]) -> anyhow::Result<Vec<(String, String)>> {
    let read = |file: &String| {
        let text = fs::read_to_string(file).with_context(|| format!("can't read {file}"))?;
        let process = file.rsplit('/').next().unwrap_or(file);
        Ok((process.trim_end_matches(".log").to_owned(), text))
    };
    files.iter().map(read).collect()
}
