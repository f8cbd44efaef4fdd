//! Whose object a request is for.
//!
//! A prefix of hex digits is a range of numbers, and two such ranges are apart or one holds the other. So the
//! numbers fall into segments, each with one innermost prefix, which knows the next one round it. A look-up is one
//! binary search over the segments' first numbers and a short walk outwards; `benches` has it beside a plain list.

use std::collections::{BTreeMap, HashMap};

/// A route as it is set.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The class; none: all.
    pub class: Option<String>,
    /// The prefix, its digits at the top and zeros below.
    pub prefix: u64,
    /// Digits of the prefix, 0 to 16.
    pub digits: u32,
    /// First and last group.
    pub groups: (u32, u32),
    /// Whose objects these are.
    pub home: String,
    /// The next site on the way, where that is not the home itself.
    pub via: Option<String>,
    /// This side's caches may serve them.
    pub copies: bool,
}

impl Rule {
    /// The last number that the prefix holds.
    fn last(&self) -> u64 {
        match self.digits {
            0 => u64::MAX,
            n => self.prefix | u64::MAX.checked_shr(4 * n).unwrap_or(0),
        }
    }

    /// Where a request goes next.
    pub fn next(&self) -> &str {
        self.via.as_deref().unwrap_or(&self.home)
    }

    fn matches(&self, class: &str, group: u32, object: u64) -> bool {
        self.class.as_deref().is_none_or(|c| c == class)
            && (self.groups.0..=self.groups.1).contains(&group)
            && (self.prefix..=self.last()).contains(&object)
    }
}

/// What is wrong with a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its place in the list.
    pub route: usize,
    /// The field.
    pub field: &'static str,
    /// What is wrong.
    pub what: String,
}

/// Finds what is wrong between routes: two that match the same, sites that no link leads to, ways that come back.
pub fn check(own: &str, peers: &[&str], rules: &[Rule]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |route, field, what| faults.push(Fault { route, field, what });
    type Same<'a> = (Option<&'a str>, u64, u32);
    let mut same: HashMap<Same<'_>, BTreeMap<u32, (u32, usize)>> = HashMap::new();
    for (i, rule) in rules.iter().enumerate() {
        if rule.home == own && rule.via.is_some() {
            fault(i, "via", "this site's own objects need no way".to_string());
        } else if rule.via.as_deref() == Some(own) {
            fault(i, "via", "the way comes back to this site".to_string());
        } else if rule.home != own && !peers.contains(&rule.next()) {
            let field = if rule.via.is_some() { "via" } else { "home" };
            fault(i, field, format!("no peer is named {:?}", rule.next()));
        }
        if rule.home == own && rule.copies {
            fault(i, "mode", "COPIES is for another site's objects".to_string());
        }
        let (first, last) = rule.groups;
        if first > last {
            continue;
        }
        let beside = same.entry((rule.class.as_deref(), rule.prefix, rule.digits)).or_default();
        // Those there are apart from each other: only the one that starts last before this one's end can meet it.
        match beside.range(..=last).next_back() {
            Some((_, (end, other))) if *end >= first => {
                fault(i, "prefix", format!("matches the same as sites.routes[{other}]"));
            }
            _ => {
                beside.insert(first, (last, i));
            }
        }
    }
    faults
}

/// Follows requests through several sites' routes. Tells, with the number of the file, where one would come by a
/// site twice, take too many hops, or end at a site that holds itself not to be the home.
pub fn check_together(maps: &[(String, Vec<Rule>, u32)]) -> Vec<(usize, String)> {
    let tables: Vec<Routes> = maps.iter().map(|(own, rules, _)| Routes::new(own, rules.clone())).collect();
    let mut faults = Vec::new();
    for (start, (own, rules, hops)) in maps.iter().enumerate() {
        for (i, rule) in rules.iter().enumerate().filter(|(_, r)| r.home != *own) {
            // Every place in the rule where another file's routes change: their first numbers and groups inside it.
            let all = || maps.iter().flat_map(|(_, rules, _)| rules);
            let mut objects: Vec<u64> =
                all().map(|r| r.prefix).filter(|p| (rule.prefix..=rule.last()).contains(p)).collect();
            objects.push(rule.prefix);
            let mut groups: Vec<u32> =
                all().map(|r| r.groups.0).filter(|g| (rule.groups.0..=rule.groups.1).contains(g)).collect();
            groups.push(rule.groups.0);
            objects.sort_unstable();
            objects.dedup();
            groups.sort_unstable();
            groups.dedup();
            let class = rule.class.as_deref().unwrap_or("");
            let lost = objects
                .iter()
                .flat_map(|o| groups.iter().map(move |g| (*o, *g)))
                .find_map(|(o, g)| follow(maps, &tables, start, class, g, o, *hops).err());
            if let Some(what) = lost {
                faults.push((start, format!("sites.routes[{i}]: {what}")));
            }
        }
    }
    faults
}

fn follow(
    maps: &[(String, Vec<Rule>, u32)],
    tables: &[Routes],
    start: usize,
    class: &str,
    group: u32,
    object: u64,
    hops: u32,
) -> Result<(), String> {
    let mut path = vec![start];
    loop {
        let at = path[path.len() - 1];
        let Some(rule) = tables[at].find(class, group, object) else { return Ok(()) };
        let Some(next) = maps.iter().position(|(name, ..)| *name == rule.next()) else {
            // That site's file was not given.
            return Ok(());
        };
        let way = path.iter().chain([&next]).map(|i| &*maps[*i].0).collect::<Vec<_>>().join(" > ");
        if path.contains(&next) {
            return Err(format!("object {object:016x} goes round: {way}"));
        }
        path.push(next);
        if path.len() > hops as usize + 1 {
            return Err(format!("object {object:016x} takes over {hops} hops: {way}"));
        }
    }
}

#[derive(Debug)]
struct Prefix {
    /// The last number that it holds.
    last: u64,
    /// The next prefix round it.
    round: Option<u32>,
    /// Its rules: those that name a class first.
    rules: Vec<u32>,
}

/// The routes in a form to look up.
#[derive(Debug, Default)]
pub struct Routes {
    own: String,
    rules: Vec<Rule>,
    prefixes: Vec<Prefix>,
    /// First numbers of the segments, ascending, and the innermost prefix of each.
    starts: Vec<u64>,
    innermost: Vec<Option<u32>>,
}

impl Routes {
    /// Builds the index; the rules have passed `check`.
    pub fn new(own: &str, rules: Vec<Rule>) -> Self {
        let mut order: Vec<u32> = (0..rules.len() as u32).collect();
        // Outer prefixes before inner ones, and of the same prefix those that name a class first.
        order.sort_by_key(|i| {
            let rule = &rules[*i as usize];
            (rule.prefix, rule.digits, rule.class.is_none())
        });
        let mut routes = Routes { own: own.to_string(), rules, ..Routes::default() };
        let mut round: Vec<u32> = Vec::new();
        let mut before: Option<(u64, u32)> = None;
        for i in order {
            let rule = &routes.rules[i as usize];
            let (first, last, same) = (rule.prefix, rule.last(), (rule.prefix, rule.digits));
            if before == Some(same) {
                if let Some(prefix) = routes.prefixes.last_mut() {
                    prefix.rules.push(i);
                }
                continue;
            }
            before = Some(same);
            routes.leave(&mut round, first);
            let number = routes.prefixes.len() as u32;
            routes.prefixes.push(Prefix { last, round: round.last().copied(), rules: vec![i] });
            routes.segment(first, Some(number));
            round.push(number);
        }
        while let Some(inner) = round.pop() {
            if let Some(after) = routes.prefixes[inner as usize].last.checked_add(1) {
                routes.segment(after, round.last().copied());
            }
        }
        routes
    }

    /// Ends the prefixes that end before a number.
    fn leave(&mut self, round: &mut Vec<u32>, first: u64) {
        while let Some(inner) = round.last().copied() {
            let last = self.prefixes[inner as usize].last;
            if last >= first {
                return;
            }
            round.pop();
            self.segment(last + 1, round.last().copied());
        }
    }

    fn segment(&mut self, start: u64, innermost: Option<u32>) {
        if self.starts.last() == Some(&start) {
            // Prefixes that end at one number, or one that begins where another ends: the last word counts.
            self.innermost.pop();
            self.starts.pop();
        }
        self.starts.push(start);
        self.innermost.push(innermost);
    }

    /// This site.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// The route of a request to another site; none: it is this site's own.
    pub fn find(&self, class: &str, group: u32, object: u64) -> Option<&Rule> {
        let segment = self.starts.partition_point(|start| *start <= object).checked_sub(1)?;
        let mut at = self.innermost[segment];
        while let Some(number) = at {
            let prefix = &self.prefixes[number as usize];
            let found = prefix.rules.iter().map(|i| &self.rules[*i as usize]);
            if let Some(rule) = found.clone().find(|r| r.matches(class, group, object)) {
                return Some(rule).filter(|r| r.home != self.own);
            }
            at = prefix.round;
        }
        None
    }

    /// The rules, as they were given.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Bytes that the index takes beside the rules.
    pub fn size(&self) -> usize {
        let rules: usize = self.prefixes.iter().map(|p| p.rules.capacity() * 4).sum();
        self.starts.capacity() * 8
            + self.innermost.capacity() * 8
            + self.prefixes.capacity() * size_of::<Prefix>()
            + rules
    }
}

/// The same by walking over all rules: what the index is checked and measured against.
pub fn find_plainly<'a>(
    own: &str,
    rules: &'a [Rule],
    class: &str,
    group: u32,
    object: u64,
) -> Option<&'a Rule> {
    let matching = rules.iter().filter(|r| r.matches(class, group, object));
    matching.max_by_key(|r| (r.digits, r.class.is_some())).filter(|r| r.home != own)
}
