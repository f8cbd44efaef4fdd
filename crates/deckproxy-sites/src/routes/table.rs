//! The route index.
//!
//! A prefix of hex digits covers a range of object numbers, and two such ranges are disjoint or one contains the other.
//! This divides the object numbers into segments, each with one innermost prefix, which refers to the prefix that
//! encloses it. A look-up is one binary search over the segments' first numbers, followed by a short walk to the
//! enclosing prefixes.

use super::rule::RouteRule;
use crate::saturating_u32;

#[derive(Debug)]
struct Prefix {
    /// The last object number with this prefix.
    last_object: u64,
    /// The innermost prefix that encloses this one.
    enclosing: Option<u32>,
    /// Indexes of its rules; those for a single class are first.
    rules: Vec<u32>,
}

/// The routes of one site, indexed.
#[derive(Debug, Default)]
pub struct RouteTable {
    own_site: String,
    rules: Vec<RouteRule>,
    prefixes: Vec<Prefix>,
    /// First object numbers of the segments, ascending.
    segment_starts: Vec<u64>,
    /// The innermost prefix of each segment.
    innermost: Vec<Option<u32>>,
}

impl RouteTable {
    /// Builds the index. The rules must have passed [`super::validate`].
    pub fn new(own_site: &str, rules: Vec<RouteRule>) -> Self {
        // Outer prefixes before inner ones; within a prefix, the rules for a single class first.
        let mut order: Vec<u32> = (0..saturating_u32(rules.len())).collect();
        order.sort_by_key(|index| {
            let rule = &rules[*index as usize];
            (rule.prefix, rule.prefix_digits, rule.class.is_none())
        });
        let mut table = RouteTable { own_site: own_site.to_string(), rules, ..RouteTable::default() };
        // The prefixes that enclose the current rule, the innermost last.
        let mut enclosing: Vec<u32> = Vec::new();
        let mut previous: Option<(u64, u32)> = None;
        for index in order {
            let rule = &table.rules[index as usize];
            let (first_object, last_object) = (rule.prefix, rule.last_object());
            let current = (rule.prefix, rule.prefix_digits);
            if previous == Some(current) {
                if let Some(prefix) = table.prefixes.last_mut() {
                    prefix.rules.push(index);
                }
                continue;
            }
            previous = Some(current);
            table.close_prefixes_before(first_object, &mut enclosing);
            let number = saturating_u32(table.prefixes.len());
            let outer = enclosing.last().copied();
            table.prefixes.push(Prefix { last_object, enclosing: outer, rules: vec![index] });
            table.start_segment(first_object, Some(number));
            enclosing.push(number);
        }
        table.close_remaining_prefixes(enclosing);
        table
    }

    /// Closes the prefixes that end before an object number.
    fn close_prefixes_before(&mut self, first_object: u64, enclosing: &mut Vec<u32>) {
        while let Some(inner) = enclosing.last().copied() {
            let last_object = self.prefixes[inner as usize].last_object;
            if last_object >= first_object {
                return;
            }
            enclosing.pop();
            self.start_segment(last_object + 1, enclosing.last().copied());
        }
    }

    /// Closes the prefixes that are still open after the last rule.
    fn close_remaining_prefixes(&mut self, mut enclosing: Vec<u32>) {
        while let Some(inner) = enclosing.pop() {
            if let Some(next_object) = self.prefixes[inner as usize].last_object.checked_add(1) {
                self.start_segment(next_object, enclosing.last().copied());
            }
        }
    }

    fn start_segment(&mut self, first_object: u64, innermost: Option<u32>) {
        if self.segment_starts.last() == Some(&first_object) {
            // Several prefixes end here, or one begins where another ends: the last segment replaces the empty one.
            self.innermost.pop();
            self.segment_starts.pop();
        }
        self.segment_starts.push(first_object);
        self.innermost.push(innermost);
    }

    /// Finds a request's route to another site; `None` if the object's home is this site.
    pub fn find(&self, class: &str, group: u32, object: u64) -> Option<&RouteRule> {
        let segment = self.segment_starts.partition_point(|start| *start <= object).checked_sub(1)?;
        let mut current = self.innermost[segment];
        while let Some(number) = current {
            let prefix = &self.prefixes[number as usize];
            let mut rules = prefix.rules.iter().map(|index| &self.rules[*index as usize]);
            if let Some(rule) = rules.find(|rule| rule.matches(class, group, object)) {
                return Some(rule).filter(|rule| rule.home != self.own_site);
            }
            current = prefix.enclosing;
        }
        None
    }

    /// Memory used by the index without the rules, bytes.
    pub fn index_bytes(&self) -> usize {
        let rules: usize = self.prefixes.iter().map(|prefix| prefix.rules.capacity() * 4).sum();
        self.segment_starts.capacity() * 8
            + self.innermost.capacity() * 8
            + self.prefixes.capacity() * size_of::<Prefix>()
            + rules
    }
}
