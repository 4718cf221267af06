//! Findings about text files, with locations, collected and reported together.

use std::fmt;

use serde::Serialize;

/// Location in a text file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FilePlace {
    /// File name as given by the user.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
}

/// Problem found in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FileFinding {
    /// Location of the problem.
    pub place: FilePlace,
    /// Stable code of the problem, such as `F007`.
    pub code: String,
    /// Description of the problem.
    pub message: String,
    /// Suggested fix.
    pub hint: String,
}

/// Converts byte offsets of a text to lines and columns.
#[derive(Debug, Clone)]
pub struct LineIndex<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Indexes `text`; `file` is its name in the locations.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            file,
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the location of the byte at `offset`; offsets past the end are clamped to the end.
    pub fn place(&self, offset: usize) -> FilePlace {
        let offset = offset.min(self.text.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        FilePlace {
            file: self.file.to_owned(),
            line,
            column: before.chars().count() + 1,
        }
    }
}

impl fmt::Display for FilePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl fmt::Display for FileFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.code, self.message)?;
        if !self.hint.is_empty() {
            write!(f, " ({})", self.hint)?;
        }
        Ok(())
    }
}
