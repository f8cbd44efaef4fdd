//! Errors in settings.

use crate::keys::InvalidValue;
use std::fmt;

/// An error in the settings; its message names each invalid setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// Values that their keys do not allow, at least one.
    Invalid(Vec<InvalidSetting>),
    /// A value that cannot be read as its type.
    Unreadable {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// An item of a list that cannot be read as its type.
    UnreadableItem {
        /// The key.
        key: String,
        /// The item.
        item: String,
        /// The whole list.
        list: String,
    },
    /// A number that is infinite or NaN.
    NotFinite {
        /// The key.
        key: String,
    },
    /// A word that is not one of those defined for the key.
    UnknownWord {
        /// The key.
        key: String,
        /// What the word specifies, for the message.
        meaning: &'static str,
        /// The word.
        word: String,
    },
}

/// A setting whose value its key does not allow.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSetting {
    /// The key.
    pub key: String,
    /// The value, and what is allowed.
    pub value: InvalidValue,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.key, self.value)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Invalid(settings) => {
                let texts: Vec<String> = settings.iter().map(InvalidSetting::to_string).collect();
                f.write_str(&texts.join("; "))
            }
            SettingsError::Unreadable { key, value } => write!(f, "setting {key}: cannot read {value:?}"),
            SettingsError::UnreadableItem { key, item, list } => {
                write!(f, "setting {key}: cannot read {item:?} in {list:?}")
            }
            SettingsError::NotFinite { key } => write!(f, "setting {key}: not a finite number"),
            SettingsError::UnknownWord { key, meaning, word } => {
                write!(f, "setting {key}: unknown {meaning} {word:?}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
