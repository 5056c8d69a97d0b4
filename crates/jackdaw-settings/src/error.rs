//! Faults of a settings file.

use std::fmt;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file's name.
    pub file: String,
    /// The section; empty above the first one.
    pub section: String,
    /// The key; empty where the fault is about the section.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsError { file, section, key, found, allowed } = self;
        write!(f, "{file}: [{section}]")?;
        if !key.is_empty() {
            write!(f, " {key}")?;
        }
        write!(f, ": found {found}; allowed: {allowed}")
    }
}

/// Every fault of a settings file, one a line when displayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
