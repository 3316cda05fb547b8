//! How many requests a second endpoints take from all instances together, as they name it in their answers.
//!
//! An endpoint in need names its limit in each answer, and an answer without one ends it. Answers cross: one that was asked for before the need may come
//! long after it. So a word that loosens a limit counts only where its request was sent after the last word that held it had come.

use std::collections::BTreeMap;
use std::time::Duration;

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

/// The limit of one start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    per_s: f64,
    /// When an answer with any limit came last.
    named_at: Duration,
    /// When an answer with this limit or a lower one came last; never after `named_at`.
    held_at: Duration,
}

/// The limits that hold, by start of endpoint. One entry for each that is known, at most.
#[derive(Debug, Default)]
pub struct Limits {
    limits: BTreeMap<String, Limit>,
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
            LimitWord::Unsaid => self.end(endpoint, sent_at),
            LimitWord::PerS(per_s) => self.name(endpoint, per_s, sent_at, now),
        }
    }

    fn name(
        &mut self,
        endpoint: &str,
        per_s: f64,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let Some(limit) = self.limits.get_mut(endpoint) else {
            let limit = Limit {
                per_s,
                named_at: now,
                held_at: now,
            };
            self.limits.insert(endpoint.to_owned(), limit);
            return Some(LimitChange::Began(per_s));
        };
        limit.named_at = limit.named_at.max(now);
        if per_s > limit.per_s && sent_at <= limit.held_at {
            return None;
        }
        limit.held_at = limit.named_at;
        let before = std::mem::replace(&mut limit.per_s, per_s);
        (before.to_bits() != per_s.to_bits()).then_some(LimitChange::Changed(per_s))
    }

    fn end(&mut self, endpoint: &str, sent_at: Duration) -> Option<LimitChange> {
        let limit = self.limits.get(endpoint)?;
        if sent_at <= limit.named_at {
            return None;
        }
        self.limits.remove(endpoint);
        Some(LimitChange::Ended)
    }

    /// Requests a second that an endpoint takes from all instances together; nothing where it names no limit.
    #[must_use]
    pub fn per_s(&self, endpoint: &str) -> Option<f64> {
        self.limits.get(endpoint).map(|limit| limit.per_s)
    }

    /// Endpoints that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no endpoint names one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Forgets starts that are gone.
    pub fn tidy(&mut self, is_known: impl Fn(&str) -> bool) {
        self.limits.retain(|endpoint, _| is_known(endpoint));
    }
}
