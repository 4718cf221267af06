//! Findings about a file, each with its place, collected and reported together.

use std::fmt;

use serde::Serialize;

/// Place in a text file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FilePlace {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

/// One thing that is wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FileFinding {
    /// Where it is.
    pub place: FilePlace,
    /// Stable code, such as `F007`.
    pub code: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

/// Finds lines and columns in one text.
#[derive(Debug, Clone)]
pub struct LineIndex<'a> {
    file: &'a str,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Indexes `text`; `file` names it in the places.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            file,
            text,
            starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the place of the byte at `offset`; an offset past the end counts as the end.
    pub fn place(&self, offset: usize) -> FilePlace {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
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
