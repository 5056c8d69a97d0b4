//! Reads values from an INI text and collects every fault.

use std::collections::BTreeMap;
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use error_stack::{Report, ResultExt};
use ini::Ini;
use jackdaw_base::ErrorKind;

use crate::{SettingsError, SettingsErrors};

/// The longest found value that a fault repeats, in characters.
const FOUND_LIMIT_CHARS: usize = 80;

/// How a value is read.
pub(crate) struct ValueRule<T> {
    /// What is allowed, as faults say it.
    pub(crate) allowed: &'static str,
    /// Reads the value; `None` where it is not allowed.
    pub(crate) parse: fn(&str) -> Option<T>,
}

/// An INI text that is being read.
pub(crate) struct SettingsReader<'a> {
    file: &'a str,
    ini: Ini,
    known: BTreeMap<&'static str, Vec<&'static str>>,
    faults: Vec<SettingsError>,
}

impl<'a> SettingsReader<'a> {
    /// Reads the text's form; values are read by the other functions.
    pub(crate) fn new(file: &'a str, text: &str) -> Result<Self, Report<ErrorKind>> {
        let ini = match Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                let fault = SettingsError {
                    file: format!("{file}:{}:{}", error.line, error.col),
                    section: String::new(),
                    key: String::new(),
                    found: format!("a line that cannot be read ({})", error.msg),
                    allowed: "[section], key = value, and comments on lines of their own".into(),
                };
                return Err(fault_report(vec![fault]));
            }
        };
        Ok(SettingsReader { file, ini, known: BTreeMap::new(), faults: Vec::new() })
    }

    /// Reads a value that must be there.
    pub(crate) fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        rule: &ValueRule<T>,
    ) -> Option<T> {
        match self.text(section, key) {
            Some(text) => self.parsed(section, key, &text, rule),
            None => {
                self.fault(section, key, "nothing".into(), rule.allowed.into());
                None
            }
        }
    }

    /// Reads a value that may be missing; the outer `None` is a fault.
    pub(crate) fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        rule: &ValueRule<T>,
    ) -> Option<Option<T>> {
        match self.text(section, key) {
            Some(text) => self.parsed(section, key, &text, rule).map(Some),
            None => Some(None),
        }
    }

    /// Reads a whole number with a default.
    pub(crate) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let Some(text) = self.text(section, key) else {
            return Some(default);
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.fault(section, key, quote(&text), allowed);
                None
            }
        }
    }

    /// Reads one of several words; without a default the value must be there.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let text = self.text(section, key);
        let choice = match &text {
            Some(text) => choices.iter().find(|(word, _)| word == text).map(|(_, value)| *value),
            None => default,
        };
        if choice.is_none() {
            let words = choices.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
            let found = text.map_or_else(|| "nothing".into(), |text| quote(&text));
            self.fault(section, key, found, format!("one of {words}"));
        }
        choice
    }

    /// Notes a fault.
    pub(crate) fn fault(&mut self, section: &str, key: &str, found: String, allowed: String) {
        let fault = SettingsError {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            found,
            allowed,
        };
        self.faults.push(fault);
    }

    /// Returns the settings, or every fault.
    pub(crate) fn finish<T>(mut self, settings: Option<T>) -> Result<T, Report<ErrorKind>> {
        self.check_names();
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(fault_report(self.faults)),
        }
    }

    fn text(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.known.entry(section).or_default().push(key);
        self.ini.section(Some(section))?.get(key).map(str::to_owned)
    }

    fn parsed<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        text: &str,
        rule: &ValueRule<T>,
    ) -> Option<T> {
        let value = (rule.parse)(text);
        if value.is_none() {
            self.fault(section, key, quote(text), rule.allowed.into());
        }
        value
    }

    /// Notes unknown and repeated sections and keys.
    fn check_names(&mut self) {
        let mut seen = BTreeMap::new();
        let mut faults = Vec::new();
        for (section, values) in &self.ini {
            let section = section.unwrap_or_default();
            let keys = values.iter().map(|(key, _)| key).collect::<Vec<_>>();
            let Some(known) = self.known.get(section) else {
                if !section.is_empty() || !keys.is_empty() {
                    let allowed = self.known.keys().copied().collect::<Vec<_>>().join(", ");
                    faults.push((section, "", "an unknown section", format!("one of {allowed}")));
                }
                continue;
            };
            if seen.insert(section, ()).is_some() {
                faults.push((section, "", "the section again", "each section once".to_owned()));
            }
            for (position, key) in keys.iter().copied().enumerate() {
                if !known.contains(&key) {
                    let allowed = format!("one of {}", known.join(", "));
                    faults.push((section, key, "an unknown key", allowed));
                } else if keys[..position].contains(&key) {
                    faults.push((section, key, "the key again", "each key once".to_owned()));
                }
            }
        }
        let faults = faults
            .into_iter()
            .map(|(section, key, found, allowed)| SettingsError {
                file: self.file.to_owned(),
                section: section.to_owned(),
                key: key.to_owned(),
                found: found.to_owned(),
                allowed,
            })
            .collect::<Vec<_>>();
        self.faults.extend(faults);
    }
}

/// Reads a settings file's text.
pub(crate) fn read_file(path: &Path) -> Result<String, Report<ErrorKind>> {
    fs::read_to_string(path)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| path.display().to_string())
}

fn fault_report(faults: Vec<SettingsError>) -> Report<ErrorKind> {
    Report::new(ErrorKind::SettingsInvalid).attach(SettingsErrors(faults))
}

fn quote(text: &str) -> String {
    let shown = text.chars().take(FOUND_LIMIT_CHARS).collect::<String>();
    format!("{shown:?}")
}
