//! Access to the values of settings by key, as typed values.

use crate::error::{InvalidSetting, SettingsError};
use crate::keys;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings as text, by key. An empty value counts as absent.
pub(crate) struct Values<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Values<'a> {
    /// Checks every value against the format of its key.
    pub(crate) fn checked(
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, SettingsError> {
        let values: BTreeMap<&str, &str> = pairs.into_iter().collect();
        let mut invalid = Vec::new();
        for (key, value) in &values {
            if let Err(value) = keys::check(key, value) {
                invalid.push(InvalidSetting { key: (*key).to_string(), value });
            }
        }
        if invalid.is_empty() { Ok(Values(values)) } else { Err(SettingsError::Invalid(invalid)) }
    }

    /// A value as text.
    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|value| !value.is_empty())
    }

    /// A value of any type.
    pub(crate) fn parsed<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.text(key) else { return Ok(None) };
        let unreadable = |_| SettingsError::Unreadable { key: key.to_string(), value: value.to_string() };
        value.parse().map(Some).map_err(unreadable)
    }

    /// A finite number.
    pub(crate) fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        match self.parsed::<f64>(key)? {
            Some(number) if number.is_finite() => Ok(number),
            Some(_) => Err(SettingsError::NotFinite { key: key.to_string() }),
            None => Ok(default),
        }
    }

    /// A flag, `false` if absent.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.parsed::<bool>(key)?.unwrap_or(false))
    }

    /// A comma-separated list, empty if absent.
    pub(crate) fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let Some(list) = self.text(key) else { return Ok(Vec::new()) };
        let parse = |item: &str| {
            item.parse().map_err(|_| SettingsError::UnreadableItem {
                key: key.to_string(),
                item: item.to_string(),
                list: list.to_string(),
            })
        };
        list.split(',').map(parse).collect()
    }

    /// A position in a list; `None` if absent or negative.
    pub(crate) fn position(&self, key: &str) -> Result<Option<u32>, SettingsError> {
        Ok(self.parsed::<i64>(key)?.and_then(|position| u32::try_from(position).ok()))
    }

    /// The value that a word stands for according to `meanings`, or the default if it is absent. The error message
    /// calls the word `meaning`.
    pub(crate) fn word<T: Copy>(
        &self,
        key: &str,
        meaning: &'static str,
        default: T,
        meanings: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        let Some(word) = self.text(key) else { return Ok(default) };
        let known = meanings.iter().find(|(known, _)| *known == word);
        let unknown = || SettingsError::UnknownWord { key: key.to_string(), meaning, word: word.to_string() };
        known.map(|(_, value)| *value).ok_or_else(unknown)
    }
}
