//! Errors of fields whose position in the text is not yet known.

/// An error of a field, found by validating the decoded file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    /// The field's path, as `sites.routes[2].prefix`.
    pub path: String,
    /// The error message.
    pub message: String,
}

impl Finding {
    /// An error of the field at a path.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Finding { path: path.into(), message: message.into() }
    }
}
