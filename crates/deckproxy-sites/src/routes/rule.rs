//! One route, and the linear search that serves as a reference for the index.

/// A configured route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The request class; `None` matches all.
    pub class: Option<String>,
    /// Prefix of the object's number, left-aligned and padded with zeros.
    pub prefix: u64,
    /// Number of hex digits of the prefix, 0 to 16.
    pub prefix_digits: u32,
    /// First and last group, both included.
    pub groups: (u32, u32),
    /// The site that is the home of the objects.
    pub home: String,
    /// The site that requests are forwarded to, if that is not the home itself.
    pub via: Option<String>,
    /// Whether this site's caches may serve copies of the objects.
    pub copies_allowed: bool,
}

impl RouteRule {
    /// The last object number with this prefix.
    pub(super) fn last_object(&self) -> u64 {
        match self.prefix_digits {
            0 => u64::MAX,
            digits => self.prefix | u64::MAX.checked_shr(4 * digits).unwrap_or(0),
        }
    }

    /// The site that a request is forwarded to.
    pub fn next_site(&self) -> &str {
        self.via.as_deref().unwrap_or(&self.home)
    }

    pub(super) fn contains_object(&self, object: u64) -> bool {
        (self.prefix..=self.last_object()).contains(&object)
    }

    pub(super) fn contains_group(&self, group: u32) -> bool {
        (self.groups.0..=self.groups.1).contains(&group)
    }

    pub(super) fn matches(&self, class: &str, group: u32, object: u64) -> bool {
        self.class.as_deref().is_none_or(|own| own == class)
            && self.contains_group(group)
            && self.contains_object(object)
    }
}

/// Finds a request's route by a linear search: the reference for tests and benchmarks of the index.
pub fn find_linear<'a>(
    own_site: &str,
    rules: &'a [RouteRule],
    class: &str,
    group: u32,
    object: u64,
) -> Option<&'a RouteRule> {
    let matching = rules.iter().filter(|rule| rule.matches(class, group, object));
    matching
        .max_by_key(|rule| (rule.prefix_digits, rule.class.is_some()))
        .filter(|rule| rule.home != own_site)
}
