//! The five rules, judged on a record of what passed on the sockets. Nothing here asks the gateway.

use crate::record::{Fact, Outcome, Seen};
use std::collections::{BTreeMap, HashMap};

/// By how much time limits are longer on sockets, ms.
pub const SLACK: f64 = 50.0;
/// After its deadline, until a request counts as never answered, ms.
const PATIENCE: f64 = 1000.0;

/// After a gateway was killed, until its clients must have seen that, ms.
const KILLED: f64 = 300.0;

/// What the judge goes by.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// After news of a drain, until nothing more may come, ms.
    pub drain: f64,
    /// After news of a purge, until no older copy may be asked for or given, ms.
    pub purge: f64,
    /// Attempts of one request that may be out at once.
    pub out: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { drain: 500.0, purge: 1000.0, out: 1 }
    }
}

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub requests: usize,
    /// Requests from one site for another's objects.
    pub crossed: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Shares served, of requests for the own site's objects and of crossing ones.
    pub home_share: f64,
    pub crossed_share: f64,
    pub unanswered: usize,
    /// Open at a gateway when that was killed, and owed by nobody.
    pub killed: usize,
    pub double_answers: usize,
    pub double_attempts: usize,
    pub double_effects: usize,
    pub stale_after_purge: usize,
    pub sends_after_drain: usize,
    /// Bodies that no origin made, or of another object.
    pub wrong_bodies: usize,
    /// Answers after the deadline and the slack.
    pub late: usize,
    pub cuts: usize,
    pub purges: usize,
    /// Of all requests to members, fills and hits.
    pub attempts: usize,
    pub hits: usize,
    pub fills: usize,
    /// Milliseconds from a request to its being served, ascending, for own objects and for crossing ones.
    pub took: [Vec<f64>; 2],
    /// The first few breaches, in words.
    pub breaches: Vec<String>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        let wrongs = [
            self.unanswered,
            self.double_answers,
            self.double_attempts,
            self.double_effects,
            self.stale_after_purge,
            self.sends_after_drain,
            self.wrong_bodies,
            self.late,
        ];
        wrongs.iter().all(|n| *n == 0)
    }

    /// Times that a rule was broken, but for answers that were doubled or never came.
    pub fn rule_breaks(&self) -> usize {
        self.double_attempts
            + self.double_effects
            + self.stale_after_purge
            + self.sends_after_drain
            + self.wrong_bodies
            + self.late
    }

    /// A quantile of the times of own (0) or crossing (1) requests.
    pub fn quantile(&self, which: usize, q: f64) -> f64 {
        let all = &self.took[which];
        let at = ((all.len() as f64 - 1.0) * q).round().max(0.0) as usize;
        all.get(at).copied().unwrap_or(0.0)
    }
}

#[derive(Debug)]
struct Request {
    at: f64,
    site: u32,
    /// Its gateway was killed while it was open.
    excused: bool,
    crosses: bool,
    object: u64,
    group: u32,
    allow: f64,
    answers: usize,
    lost: bool,
}

struct Purge {
    told: f64,
    at: u64,
}

/// Judges a record up to its end, at `end` ms.
pub fn judge(facts: &[Seen], terms: Terms, end: f64) -> Verdict {
    let mut v = Verdict::default();
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    let mut out: HashMap<&str, Vec<(&str, f64)>> = HashMap::new();
    let mut ran: HashMap<String, usize> = HashMap::new();
    let mut drained: HashMap<&str, f64> = HashMap::new();
    let mut objects: HashMap<u64, Vec<Purge>> = HashMap::new();
    let mut groups: HashMap<u32, Vec<Purge>> = HashMap::new();
    // When the latest attempt for a request came to a member.
    let mut came: HashMap<&str, f64> = HashMap::new();
    let mut served = [0usize; 2];
    let breach = |v: &mut Verdict, at: f64, what: String| {
        if v.breaches.len() < 20 {
            v.breaches.push(format!("{at:.0} ms: {what}"));
        }
    };
    let mut killed: HashMap<u32, f64> = HashMap::new();
    for Seen { at, fact } in facts {
        let at = *at;
        match fact {
            Fact::Asked { name, site, home, object, group, allow, .. } => {
                let (crosses, allow) = (site != home, *allow);
                v.requests += 1;
                // Its client may not have seen yet that the gateway was killed.
                let excused = killed.get(site).is_some_and(|since| at - since < KILLED);
                v.crossed += usize::from(crosses);
                let request = Request {
                    at,
                    site: *site,
                    excused,
                    crosses,
                    object: *object,
                    group: *group,
                    allow,
                    answers: 0,
                    lost: false,
                };
                requests.insert(name, request);
            }
            Fact::Answered { name, outcome } => {
                let Some(request) = requests.get_mut(name.as_str()) else { continue };
                request.answers += 1;
                if request.answers > 1 {
                    v.double_answers += 1;
                    breach(&mut v, at, format!("{name}: a second answer"));
                    continue;
                }
                if at > request.at + request.allow + SLACK {
                    v.late += 1;
                    breach(&mut v, at, format!("{name}: answered after {:.0} ms", at - request.at));
                }
                match outcome {
                    Outcome::Served(stamp) => {
                        v.served += 1;
                        served[usize::from(request.crosses)] += 1;
                        v.took[usize::from(request.crosses)].push(at - request.at);
                        match stamp {
                            Some(stamp) if stamp.object == request.object => {
                                // For a request that crossed the answer's time counts, for another that of the
                                // attempt that brought it.
                                let since = if request.crosses {
                                    at
                                } else {
                                    came.get(&**name).copied().unwrap_or(at)
                                };
                                let voids = |all: Option<&Vec<Purge>>| {
                                    all.into_iter()
                                        .flatten()
                                        .find(|p| p.at > stamp.issued && p.told + terms.purge + SLACK < since)
                                        .map(|p| p.told)
                                };
                                let told =
                                    voids(objects.get(&stamp.object)).or(voids(groups.get(&request.group)));
                                if let Some(told) = told {
                                    v.stale_after_purge += 1;
                                    breach(
                                        &mut v,
                                        at,
                                        format!(
                                            "{name}: a copy older than a purge told {:.0} ms before (crossed: {})",
                                            since - told,
                                            request.crosses
                                        ),
                                    );
                                }
                            }
                            _ => {
                                v.wrong_bodies += 1;
                                breach(&mut v, at, format!("{name}: a wrong body"));
                            }
                        }
                    }
                    Outcome::Unchanged => {
                        v.served += 1;
                        served[usize::from(request.crosses)] += 1;
                    }
                    Outcome::Refused(_) => v.refused += 1,
                    Outcome::Failed => v.failed += 1,
                }
            }
            Fact::Recalled { name } => {
                if let Some(request) = requests.remove(name.as_str()) {
                    v.requests -= 1;
                    v.crossed -= usize::from(request.crosses);
                }
            }
            Fact::Lost { name } => {
                if let Some(request) = requests.get_mut(name.as_str()) {
                    request.lost = true;
                }
            }
            Fact::Came { name, member, .. } => {
                v.attempts += 1;
                came.insert(name, at);
                let all = out.entry(name).or_default();
                all.push((member, at));
                if let Some(since) = drained.get(member.as_str()).filter(|t| at > **t + terms.drain + SLACK) {
                    v.sends_after_drain += 1;
                    breach(
                        &mut v,
                        at,
                        format!("{name}: came to {member} {:.0} ms after its drain", at - since),
                    );
                }
            }
            Fact::Over { name, member } => {
                let Some(all) = out.get_mut(name.as_str()) else { continue };
                let Some(i) = all.iter().position(|(m, _)| m == member) else { continue };
                let (_, since) = all.remove(i);
                // Others that began well before this one ended, and are out still.
                let beside = all.iter().filter(|(_, other)| at - other.max(since) > SLACK).count();
                if beside >= terms.out {
                    v.double_attempts += 1;
                    breach(&mut v, at, format!("{name}: {} attempts out at once", beside + 1));
                }
            }
            Fact::Ran { name, key, .. } => {
                let n = ran.entry(key.clone().unwrap_or_else(|| name.clone())).or_default();
                *n += 1;
                if *n > 1 {
                    v.double_effects += 1;
                    breach(&mut v, at, format!("{name}: ran {n} times"));
                }
            }
            Fact::Drained { member } => {
                drained.entry(member).or_insert(at);
            }
            Fact::Purged { object, group, at: stamp, .. } => {
                v.purges += 1;
                let purge = Purge { told: at, at: *stamp };
                match object {
                    Some(object) => objects.entry(*object).or_default().push(purge),
                    None => groups.entry(*group).or_default().push(purge),
                }
            }
            Fact::Probed { .. } => {}
            Fact::Filled { .. } => v.fills += 1,
            Fact::Hit { .. } => v.hits += 1,
            Fact::Killed { site } => {
                killed.insert(*site, at);
                for request in requests.values_mut().filter(|r| r.site == *site && r.answers == 0) {
                    request.excused = true;
                    v.killed += 1;
                }
            }
            Fact::Cut { on, .. } => v.cuts += usize::from(*on),
        }
    }
    for (name, request) in &requests {
        let due = request.at + request.allow + PATIENCE < end;
        if request.answers == 0 && !request.excused && (request.lost || due) {
            v.unanswered += 1;
            let how = if request.lost { "its connection ended" } else { "no answer came" };
            breach(&mut v, request.at, format!("{name}: {how}"));
        }
    }
    let share = |served: usize, all: usize| if all == 0 { 1.0 } else { served as f64 / all as f64 };
    v.home_share = share(served[0], v.requests - v.crossed);
    v.crossed_share = share(served[1], v.crossed);
    v.took.iter_mut().for_each(|all| all.sort_by(f64::total_cmp));
    v
}
