//! Errors in settings.

use std::fmt;

/// One setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFinding {
    /// The flag, without its hyphens.
    pub flag: &'static str,
    /// The given value, `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of accepted values.
    pub accepts: &'static str,
}

impl SettingFinding {
    /// The environment variable that can be set in place of the flag.
    pub fn variable(&self) -> String {
        format!("DAHLIAWOOD_{}", self.flag.replace('-', "_").to_uppercase())
    }
}

impl fmt::Display for SettingFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = self.variable();
        write!(formatter, "--{} (or {variable}) ", self.flag)?;
        match &self.value {
            Some(value) => write!(formatter, "is {value:?}; ")?,
            None => write!(formatter, "is missing; ")?,
        }
        write!(formatter, "accepted is {}", self.accepts)
    }
}

/// All findings in the given settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// One entry for each missing or invalid setting.
    pub findings: Vec<SettingFinding>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.findings.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsError {}
