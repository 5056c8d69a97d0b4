//! Errors in a settings file.

use std::fmt;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file name; followed by `:line:column` for a syntax error.
    pub file: String,
    /// The section; empty for keys above the first section and for syntax errors.
    pub section: String,
    /// The key; empty if the error concerns a whole section or the syntax.
    pub key: String,
    /// The invalid value or a description of what was found.
    pub found: String,
    /// The allowed values.
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

/// All errors in a settings file, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
