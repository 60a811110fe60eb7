//! Reads a TOML table key by key and collects all problems instead of stopping at the first.

use serde::Deserialize;
use serde_with::DeserializeAs;
use serde_with::de::DeserializeAsWrap;
use std::fmt;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// Maximum number of problems reported for one text.
const MAX_PROBLEMS: usize = 100;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown
/// one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// Describes a string in an error message.
pub const EXPECTED_STRING: &str = "a string in quotes";

/// Describes a number in an error message.
pub const EXPECTED_NUMBER: &str = "a number like `0.5`";

/// Describes an integer in an error message.
pub const EXPECTED_INTEGER: &str = "a whole number";

/// Describes a Boolean in an error message.
pub const EXPECTED_BOOL: &str = "`true` or `false`";

/// Describes a socket address in an error message.
pub const EXPECTED_ADDRESS: &str = "an address with a port like `\"10.1.0.10:8080\"`";

/// A problem at one place of a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, from 1; `None` if the problem concerns no single line.
    pub line: Option<u32>,
    /// The key with the path of its section; empty if the problem concerns no key.
    pub key: String,
    /// The description of the problem, with the expected value where there is one.
    pub problem: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)
    }
}

/// The problems of one text; those beyond `MAX_PROBLEMS` are discarded.
#[derive(Debug, Default)]
pub struct Problems {
    list: Vec<Problem>,
}

impl Problems {
    /// Adds a problem, unless `MAX_PROBLEMS` is reached.
    pub fn add<S>(&mut self, line: Option<u32>, key: &str, problem: S)
    where
        S: Into<String>,
    {
        if self.list.len() < MAX_PROBLEMS {
            self.list.push(Problem { line, key: key.to_owned(), problem: problem.into() });
        }
    }

    /// Returns the problems sorted by line.
    pub fn into_sorted(mut self) -> Vec<Problem> {
        self.list.sort();
        self.list
    }

    /// Returns whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// A value with the line of its key.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The line, from 1; `None` for a value that was not read from a text.
    pub line: Option<u32>,
}

impl<T> Located<T> {
    /// Creates a value that was not read from a text.
    pub fn without_line(value: T) -> Self {
        Self { value, line: None }
    }
}

/// A table of a TOML text; each key that is read becomes a known key.
#[derive(Debug)]
pub struct Section<'t> {
    text: &'t str,
    /// The keys of the enclosing tables; ends with a dot unless it is empty.
    path: String,
    line: u32,
    /// Keys that have not been read yet.
    table: DeTable<'t>,
    /// Keys that have been read, whether present or not.
    known: Vec<&'static str>,
}

impl<'t> Section<'t> {
    /// Parses a text; adds the syntax errors and returns `None` if it is not TOML.
    pub fn parse(text: &'t str, problems: &mut Problems) -> Option<Self> {
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in &errors {
            let line = e.span().map(|span| line_at(text, span.start));
            problems.add(line, "", e.message());
        }
        errors.is_empty().then(|| Self::new(text, String::new(), 1, table.into_inner()))
    }

    fn new(text: &'t str, path: String, line: u32, table: DeTable<'t>) -> Self {
        Self { text, path, line, table, known: Vec::new() }
    }

    /// Returns the line where the section starts, from 1; always `Some`.
    pub fn line(&self) -> Option<u32> {
        Some(self.line)
    }

    /// Returns a key with the path of this section.
    pub fn key_path(&self, key: &str) -> String {
        format!("{}{key}", self.path)
    }

    /// Reads an optional key; `expected` describes the value in an error message.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        problems: &mut Problems,
    ) -> Option<Located<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        let (line, value) = self.take(key)?;
        let result = T::deserialize(ValueDeserializer::from(value));
        self.locate(key, line, result.map_err(|_| format!("expected {expected}")), problems)
    }

    /// Reads an optional key by a `serde_with` adapter.
    pub fn optional_as<T, A>(
        &mut self,
        key: &'static str,
        problems: &mut Problems,
    ) -> Option<Located<T>>
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        let (line, value) = self.take(key)?;
        let result = DeserializeAsWrap::<T, A>::deserialize(ValueDeserializer::from(value));
        let result = result.map(DeserializeAsWrap::into_inner).map_err(|e| e.message().to_owned());
        self.locate(key, line, result, problems)
    }

    /// Reads a required key; `expected` describes the value in an error message.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        problems: &mut Problems,
    ) -> Option<Located<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        if !self.table.contains_key(key) {
            self.known.push(key);
            problems.add(Some(self.line), &self.key_path(key), "this key is missing");
            return None;
        }
        self.optional(key, expected, problems)
    }

    /// Reads an optional table.
    pub fn section(&mut self, key: &'static str, problems: &mut Problems) -> Option<Self> {
        let (line, value) = self.take(key)?;
        match value.into_inner() {
            DeValue::Table(table) => Some(self.child(key, line, table)),
            other => {
                let problem =
                    format!("expected a table, found {}; write `[{key}]`", other.type_str());
                problems.add(Some(line), &self.key_path(key), problem);
                None
            }
        }
    }

    /// Reads an optional array of tables; returns no sections if the key is absent.
    pub fn sections(&mut self, key: &'static str, problems: &mut Problems) -> Vec<Self> {
        let Some((line, value)) = self.take(key) else { return Vec::new() };
        let path = self.key_path(key);
        let DeValue::Array(values) = value.into_inner() else {
            problems.add(
                Some(line),
                &path,
                format!("expected an array of tables; write `[[{path}]]`"),
            );
            return Vec::new();
        };
        let mut sections = Vec::new();
        for value in values {
            let line = line_at(self.text, value.span().start);
            match value.into_inner() {
                DeValue::Table(table) => sections.push(self.child(key, line, table)),
                _ => problems.add(
                    Some(line),
                    &path,
                    format!("each element must be a table; write `[[{path}]]`"),
                ),
            }
        }
        sections
    }

    /// Adds a problem for each key that was not read, and suggests the most similar known key.
    pub fn reject_unknown_keys(self, problems: &mut Problems) {
        for key in self.table.keys() {
            let line = line_at(self.text, key.span().start);
            let name: &str = key.get_ref();
            let most_similar = self
                .known
                .iter()
                .map(|known| (strsim::jaro_winkler(known, name), *known))
                .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let problem = match most_similar {
                Some((_, known)) => format!("this key is unknown; did you mean `{known}`?"),
                None => {
                    format!("this key is unknown; known keys are `{}`", self.known.join("`, `"))
                }
            };
            problems.add(Some(line), &self.key_path(name), problem);
        }
    }

    fn child(&self, key: &str, line: u32, table: DeTable<'t>) -> Self {
        Self::new(self.text, format!("{}{key}.", self.path), line, table)
    }

    fn take(&mut self, key: &'static str) -> Option<(u32, Spanned<DeValue<'t>>)> {
        self.known.push(key);
        let (name, value) = self.table.remove_entry(key)?;
        Some((line_at(self.text, name.span().start), value))
    }

    fn locate<T>(
        &self,
        key: &str,
        line: u32,
        result: Result<T, String>,
        problems: &mut Problems,
    ) -> Option<Located<T>> {
        match result {
            Ok(value) => Some(Located { value, line: Some(line) }),
            Err(e) => {
                problems.add(Some(line), &self.key_path(key), e);
                None
            }
        }
    }
}

/// Returns the line of a byte offset, from 1.
fn line_at(text: &str, offset: usize) -> u32 {
    text.get(..offset).unwrap_or(text).matches('\n').count() as u32 + 1
}

#[cfg(test)]
mod tests;
