//! How news of silent members spreads at the size to design for, and what it costs.

use std::time::Duration;

use larkwick::kernel::membership::rendezvous_weight;
use larkwick::kernel::standings::{NEWS_MAX, Standing, Standings};

const MEMBERS: usize = 2_300;
/// Heartbeats that an instance sends in a round, where most answer: four watched ones and two distant ones.
const BEATS: usize = 6;
/// Bytes of one member's standing in a heartbeat, at most: eight of its id, two for each of its three fields' marks and the length, three of its life.
const STANDING_BYTES: usize = 20;

/// Rounds after which an instance asks one that it tells for all that are silent: `WHOLE_ASKED_EVERY` of heartbeats twice a second.
const WHOLE_ASKED_ROUNDS: usize = 10;

/// Plays rounds of heartbeats until every instance knows that a share of the members is silent; gives the rounds.
fn rounds_until_all_know(members: usize, silent: usize) -> usize {
    const ROUNDS_MAX: usize = 60;
    let mut views: Vec<Standings> = (0..members).map(|_| Standings::default()).collect();
    let living = silent..members;
    // Each is found silent by one instance, spread over all.
    for member in 0..silent {
        let finder = silent + member * 7 % (members - silent);
        views[finder].found_silent(member as u64, Duration::ZERO);
    }
    for round in 1..=ROUNDS_MAX {
        for from in living.clone() {
            for beat in 0..BEATS {
                // Most peers that are told are on the ring, and of the distant ones some are silent.
                let key = format!("{round}/{beat}");
                let drawn = rendezvous_weight(&key, &from.to_string());
                let to = usize::try_from(drawn % members as u64).expect("an index");
                let news = views[from].news(members);
                assert!(news.len() <= NEWS_MAX);
                if to < silent {
                    continue;
                }
                for standing in news {
                    views[to].take(standing, Duration::ZERO);
                }
                for standing in views[to].news(members) {
                    views[from].take(standing, Duration::ZERO);
                }
            }
        }
        for from in living.clone() {
            let asked = silent + (from * 31 + round) % (members - silent);
            if (from + round) % WHOLE_ASKED_ROUNDS == 0 {
                let whole: Vec<Standing> = views[asked].silent().collect();
                for standing in whole {
                    views[from].take(standing, Duration::ZERO);
                }
            }
        }
        let knows_all = |view: &Standings| view.silent().count() == silent;
        if views[silent..].iter().all(knows_all) {
            return round;
        }
    }
    panic!("not everybody knows after {ROUNDS_MAX} rounds");
}

#[test]
fn news_third_of_2300_silent_known_to_all_within_fifteen_seconds() {
    let rounds = rounds_until_all_know(MEMBERS, 805);
    println!("805 of 2,300: {rounds} rounds of 500 ms");
    assert!(rounds <= 30, "{rounds} rounds");
}

#[test]
fn news_one_of_2300_silent_known_to_all_within_three_seconds() {
    let rounds = rounds_until_all_know(MEMBERS, 1);
    println!("1 of 2,300: {rounds} rounds of 500 ms");
    assert!(rounds <= 6, "{rounds} rounds");
}

#[test]
fn news_third_of_300_silent_known_to_all_within_four_seconds() {
    let rounds = rounds_until_all_know(300, 105);
    println!("105 of 300: {rounds} rounds of 500 ms");
    assert!(rounds <= 8, "{rounds} rounds");
}

/// However many are silent at once, an instance tells no more in a round than this.
#[test]
fn news_all_of_2300_silent_one_heartbeat_stays_short() {
    const HEARTBEAT_BYTES_MAX: usize = 700;
    let mut standings = Standings::default();
    for member in 0..MEMBERS {
        standings.found_silent(member as u64, Duration::ZERO);
    }
    let mut told = 0;
    loop {
        let news = standings.news(MEMBERS);
        if news.is_empty() {
            break;
        }
        assert!(news.len() * STANDING_BYTES <= HEARTBEAT_BYTES_MAX);
        told += news.len();
    }
    // Each piece of news is told three times for each of twelve doublings, and then no more.
    assert_eq!(told, MEMBERS * 36);
}
