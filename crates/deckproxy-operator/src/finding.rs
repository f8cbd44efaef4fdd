//! Something wrong with a field, before its place in the text is known.

/// A fault of a field, found by a check of the decoded file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    /// The field's path, as `sites.routes[2].prefix`.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl Finding {
    /// A fault of the field at a path.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Finding { path: path.into(), message: message.into() }
    }
}
