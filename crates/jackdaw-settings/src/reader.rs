//! Reads values from INI text and collects all errors.

use std::collections::BTreeMap;
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use error_stack::{Report, ResultExt};
use ini::Ini;
use jackdaw_base::ErrorKind;

use crate::{SettingsError, SettingsErrors};

/// The maximum number of characters of a found value that an error message quotes.
const FOUND_LIMIT_CHARS: usize = 80;

/// The format of a value.
pub(crate) struct ValueRule<T> {
    /// The allowed values, as shown in error messages.
    pub(crate) allowed: &'static str,
    /// Parses the value; returns `None` if it is not allowed.
    pub(crate) parse: fn(&str) -> Option<T>,
}

/// Reader of one settings file.
///
/// The keys that are asked for are recorded as the known ones, so that
/// [`finish`](SettingsReader::finish) can report all others.
pub(crate) struct SettingsReader<'a> {
    file: &'a str,
    ini: Ini,
    known_keys: BTreeMap<&'static str, Vec<&'static str>>,
    errors: Vec<SettingsError>,
}

impl<'a> SettingsReader<'a> {
    /// Parses the INI syntax of the text. Values are checked when they are read.
    pub(crate) fn new(file: &'a str, text: &str) -> Result<Self, Report<ErrorKind>> {
        let ini = match Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                let error = SettingsError {
                    file: format!("{file}:{}:{}", error.line, error.col),
                    section: String::new(),
                    key: String::new(),
                    found: format!("a syntax error ({})", error.msg),
                    allowed: "[section], key = value, or a comment on a line of its own".into(),
                };
                return Err(error_report(vec![error]));
            }
        };
        Ok(SettingsReader { file, ini, known_keys: BTreeMap::new(), errors: Vec::new() })
    }

    /// Reads a required value. Adds an error and returns `None` if it is missing or invalid.
    pub(crate) fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        rule: &ValueRule<T>,
    ) -> Option<T> {
        match self.raw_value(section, key) {
            Some(text) => self.parse_value(section, key, &text, rule),
            None => {
                self.add_error(section, key, "nothing".into(), rule.allowed.into());
                None
            }
        }
    }

    /// Reads an optional value. Returns `Some(None)` if it is missing; adds an error and returns
    /// `None` if it is invalid.
    pub(crate) fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        rule: &ValueRule<T>,
    ) -> Option<Option<T>> {
        match self.raw_value(section, key) {
            Some(text) => self.parse_value(section, key, &text, rule).map(Some),
            None => Some(None),
        }
    }

    /// Same as [`optional`](Self::optional), but an empty value counts as missing: a template
    /// leaves a value empty if the platform does not state it.
    pub(crate) fn optional_or_empty<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        rule: &ValueRule<T>,
    ) -> Option<Option<T>> {
        match self.raw_value(section, key) {
            Some(text) if !text.is_empty() => self.parse_value(section, key, &text, rule).map(Some),
            _ => Some(None),
        }
    }

    /// Reads a whole number in `range`, or returns `default` if the key is missing.
    pub(crate) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let Some(text) = self.raw_value(section, key) else {
            return Some(default);
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.add_error(section, key, quote(&text), allowed);
                None
            }
        }
    }

    /// Reads one of several keywords. The key is required if there is no default.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let text = self.raw_value(section, key);
        let choice = match &text {
            Some(text) => choices.iter().find(|(word, _)| word == text).map(|(_, value)| *value),
            None => default,
        };
        if choice.is_none() {
            let words = choices.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
            let found = text.map_or_else(|| "nothing".into(), |text| quote(&text));
            self.add_error(section, key, found, format!("one of {words}"));
        }
        choice
    }

    /// Adds an error for a key.
    pub(crate) fn add_error(&mut self, section: &str, key: &str, found: String, allowed: String) {
        let error = SettingsError {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            found,
            allowed,
        };
        self.errors.push(error);
    }

    /// Returns the settings, or a report with all errors, including unknown and repeated names.
    pub(crate) fn finish<T>(mut self, settings: Option<T>) -> Result<T, Report<ErrorKind>> {
        self.check_names();
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(error_report(self.errors)),
        }
    }

    fn raw_value(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.known_keys.entry(section).or_default().push(key);
        self.ini.section(Some(section))?.get(key).map(str::to_owned)
    }

    fn parse_value<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        text: &str,
        rule: &ValueRule<T>,
    ) -> Option<T> {
        let value = (rule.parse)(text);
        if value.is_none() {
            self.add_error(section, key, quote(text), rule.allowed.into());
        }
        value
    }

    /// Adds an error for each unknown and each repeated section and key.
    fn check_names(&mut self) {
        let mut seen = BTreeMap::new();
        let mut errors = Vec::new();
        for (section, values) in &self.ini {
            let section = section.unwrap_or_default();
            let keys = values.iter().map(|(key, _)| key).collect::<Vec<_>>();
            let Some(known) = self.known_keys.get(section) else {
                if !section.is_empty() || !keys.is_empty() {
                    let allowed = self.known_keys.keys().copied().collect::<Vec<_>>().join(", ");
                    errors.push((section, "", "an unknown section", format!("one of {allowed}")));
                }
                continue;
            };
            if seen.insert(section, ()).is_some() {
                errors.push((section, "", "a repeated section", "each section once".to_owned()));
            }
            for (position, key) in keys.iter().copied().enumerate() {
                if !known.contains(&key) {
                    let allowed = format!("one of {}", known.join(", "));
                    errors.push((section, key, "an unknown key", allowed));
                } else if keys[..position].contains(&key) {
                    errors.push((section, key, "a repeated key", "each key once".to_owned()));
                }
            }
        }
        let errors = errors
            .into_iter()
            .map(|(section, key, found, allowed)| SettingsError {
                file: self.file.to_owned(),
                section: section.to_owned(),
                key: key.to_owned(),
                found: found.to_owned(),
                allowed,
            })
            .collect::<Vec<_>>();
        self.errors.extend(errors);
    }
}

/// Reads the text of a settings file.
pub(crate) fn read_file(path: &Path) -> Result<String, Report<ErrorKind>> {
    fs::read_to_string(path)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| path.display().to_string())
}

fn error_report(errors: Vec<SettingsError>) -> Report<ErrorKind> {
    Report::new(ErrorKind::SettingsInvalid).attach(SettingsErrors(errors))
}

fn quote(text: &str) -> String {
    let shown = text.chars().take(FOUND_LIMIT_CHARS).collect::<String>();
    format!("{shown:?}")
}
