//! How many requests a second endpoints take from all instances together, as they name it in their answers.
//!
//! An endpoint in need names its limit in each answer, and an answer without one ends it. Answers cross: one that was asked for before the need may come
//! long after it. So a word that loosens a limit counts only where its request was sent after the last word that held it had come.

use std::collections::BTreeMap;
use std::time::Duration;

/// The beginning and the end of a limit are passed on for this long by each instance: several times the 3 and 4 s in which all of 300 and of 2,300 members
/// know what is told so (simulated, `news_site_of_*` in the tests).
const PASSED_ON: Duration = Duration::from_secs(15);
/// Limits named in one heartbeat, some 30 bytes each. Each heartbeat names others.
pub const LIMIT_NEWS_MAX: usize = 8;

/// What an answer says of the limit of the endpoint that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitWord {
    /// Nothing: the endpoint is not in need.
    #[default]
    Unsaid,
    /// Something that is no number of requests: what was known holds.
    Unreadable,
    /// Requests a second from all instances together; never negative, never infinite.
    PerS(f64),
}

/// What a word has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// A limit where there was none.
    Began(f64),
    /// Another value.
    Changed(f64),
    /// The endpoint takes as much as before.
    Ended,
}

/// A limit that began or ended, as members tell each other.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitNews {
    /// The start of the endpoint.
    pub endpoint: String,
    /// Requests a second; nothing where it ended.
    pub per_s: Option<f64>,
    /// How long ago an answer named it; where it ended, how long ago the request was sent whose answer did not.
    pub ago: Duration,
}

/// The limit of one start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    per_s: f64,
    /// Since when it has been known here.
    known_at: Duration,
    /// When an answer with any limit came last.
    named_at: Duration,
    /// When an answer with this limit or a lower one came last; never after `named_at`.
    held_at: Duration,
}

/// A limit that ended.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Ended {
    /// When the request was sent whose answer named none.
    sent_at: Duration,
    /// Since when it has been known here.
    known_at: Duration,
}

/// The limits that hold, by start of endpoint. One entry for each that is known, at most.
#[derive(Debug, Default)]
pub struct Limits {
    held: BTreeMap<String, Limit>,
    /// Those that ended of late; none of them is in `held`.
    ended: BTreeMap<String, Ended>,
    /// Rises with every change.
    version: u64,
}

impl Limits {
    /// Takes the word of an answer that came now to a request sent then.
    pub fn take(
        &mut self,
        endpoint: &str,
        word: LimitWord,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        match word {
            LimitWord::Unreadable => None,
            LimitWord::Unsaid => self.end(endpoint, sent_at, now),
            LimitWord::PerS(per_s) => self.name(endpoint, per_s, sent_at, now),
        }
    }

    /// Takes what a member tells. Its answers and those that came here may have crossed: what is older than what is known changes nothing.
    pub fn take_news(&mut self, news: &LimitNews, now: Duration) -> Option<LimitChange> {
        let at = now.saturating_sub(news.ago);
        let Some(per_s) = news.per_s else {
            return self.end(&news.endpoint, at, now);
        };
        let ended = self.ended.get(&news.endpoint);
        let known = self.held.get(&news.endpoint);
        let is_old = ended.is_some_and(|ended| at <= ended.sent_at)
            || known.is_some_and(|limit| at <= limit.named_at);
        if is_old {
            return None;
        }
        self.put(&news.endpoint, per_s, at, now)
    }

    /// A limit that holds from then on, where it is newer than what is known.
    fn put(
        &mut self,
        endpoint: &str,
        per_s: f64,
        named_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        self.ended.remove(endpoint);
        let before = self.held.get(endpoint).copied();
        let limit = Limit {
            per_s,
            known_at: before.map_or(now, |before| before.known_at),
            named_at,
            held_at: named_at,
        };
        self.held.insert(endpoint.to_owned(), limit);
        let change = match before {
            None => Some(LimitChange::Began(per_s)),
            Some(before) if before.per_s.to_bits() == per_s.to_bits() => None,
            Some(_) => Some(LimitChange::Changed(per_s)),
        };
        self.version += u64::from(change.is_some());
        change
    }

    fn name(
        &mut self,
        endpoint: &str,
        per_s: f64,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        if let Some(limit) = self.held.get_mut(endpoint) {
            limit.named_at = limit.named_at.max(now);
            if per_s > limit.per_s && sent_at <= limit.held_at {
                return None;
            }
        }
        self.put(endpoint, per_s, now, now)
    }

    fn end(&mut self, endpoint: &str, sent_at: Duration, now: Duration) -> Option<LimitChange> {
        let limit = self.held.get(endpoint)?;
        if sent_at <= limit.named_at {
            return None;
        }
        self.held.remove(endpoint);
        let ended = Ended {
            sent_at,
            known_at: now,
        };
        self.ended.insert(endpoint.to_owned(), ended);
        self.version += 1;
        Some(LimitChange::Ended)
    }

    /// Limits that began or ended of late, for members; `first` picks where to begin where there are too many.
    #[must_use]
    pub fn news(&self, first: usize, now: Duration) -> Vec<LimitNews> {
        let is_news = |known_at: Duration| now.saturating_sub(known_at) < PASSED_ON;
        let began = self.held.iter();
        let began = began.filter(|(_, limit)| is_news(limit.known_at));
        let began = began.map(|(endpoint, limit)| LimitNews {
            endpoint: endpoint.clone(),
            per_s: Some(limit.per_s),
            ago: now.saturating_sub(limit.named_at),
        });
        let ended = self.ended.iter();
        let ended = ended.filter(|(_, ended)| is_news(ended.known_at));
        let ended = ended.map(|(endpoint, ended)| LimitNews {
            endpoint: endpoint.clone(),
            per_s: None,
            ago: now.saturating_sub(ended.sent_at),
        });
        let mut news: Vec<LimitNews> = began.chain(ended).collect();
        let count = news.len().max(1);
        news.rotate_left(first % count);
        news.truncate(LIMIT_NEWS_MAX);
        news
    }

    /// What is known of a limit, as a member is told.
    #[must_use]
    pub fn told(&self, endpoint: &str, now: Duration) -> Option<LimitNews> {
        let limit = self.held.get(endpoint)?;
        Some(LimitNews {
            endpoint: endpoint.to_owned(),
            per_s: Some(limit.per_s),
            ago: now.saturating_sub(limit.named_at),
        })
    }

    /// Rises with every change of what holds.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Requests a second that an endpoint takes from all instances together; nothing where it names no limit.
    #[must_use]
    pub fn per_s(&self, endpoint: &str) -> Option<f64> {
        self.held.get(endpoint).map(|limit| limit.per_s)
    }

    /// Endpoints that name a limit, and the requests a second that each takes.
    pub fn all(&self) -> impl Iterator<Item = (String, f64)> {
        let limits = self.held.iter();
        limits.map(|(endpoint, limit)| (endpoint.clone(), limit.per_s))
    }

    /// Endpoints that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no endpoint names one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Forgets starts that are gone, and ends that are news no more.
    pub fn tidy(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        let before = self.held.len();
        self.held.retain(|endpoint, _| is_known(endpoint));
        self.version += u64::from(self.held.len() < before);
        let kept = |ended: &Ended| now.saturating_sub(ended.known_at) < PASSED_ON;
        self.ended
            .retain(|endpoint, ended| kept(ended) && is_known(endpoint));
    }
}
