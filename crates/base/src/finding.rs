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
    /// Stable code, such as `F002`.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl FilePlace {
    /// Returns the place of the byte `offset` in `text`.
    pub fn at(file: &str, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        Self {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column,
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
