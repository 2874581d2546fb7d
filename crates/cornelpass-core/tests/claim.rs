//! The state machine of claims against a naive oracle.

use cornelpass_core::claim::{self, Answer, Attempt, Finish, Row, Start, VOID_LIMIT, Void};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const DIGEST: u64 = 7;

fn answer(text: &str) -> Answer {
    Answer { status: 200, content_type: "text/plain".to_owned(), body: text.to_owned() }
}

#[derive(Clone, Debug)]
enum Act {
    Start,
    Finish,
    Void,
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Started(String, String),
    Done(String),
    Void(String),
    Opened,
}

/// Decides by searching everything that ever happened.
#[derive(Default)]
struct Oracle {
    digest: Option<u64>,
    events: Vec<Event>,
}

impl Oracle {
    fn holder(&self) -> Option<(&str, &str)> {
        let last = self.events.iter().rev();
        last.take_while(|event| **event != Event::Opened).find_map(|event| match event {
            Event::Started(token, holder) => Some((token.as_str(), holder.as_str())),
            _ => None,
        })
    }

    fn done(&self) -> Option<&str> {
        self.events.iter().find_map(|event| match event {
            Event::Done(token) => Some(token.as_str()),
            _ => None,
        })
    }

    fn voids(&self) -> usize {
        self.events.iter().filter(|event| matches!(event, Event::Void(_))).count()
    }

    fn is_void(&self, token: &str) -> bool {
        self.events.contains(&Event::Void(token.to_owned()))
    }

    fn start(&mut self, attempt: &Attempt<'_>) -> &'static str {
        let digest = *self.digest.get_or_insert(attempt.digest);
        if digest != attempt.digest {
            return "key reused";
        }
        if self.is_void(attempt.token) {
            return "void";
        }
        if self.done().is_some() {
            return "answered";
        }
        match self.holder() {
            Some((_, holder)) if holder == attempt.holder => "run",
            Some(_) => "in progress",
            None => {
                let (token, holder) = (attempt.token.to_owned(), attempt.holder.to_owned());
                self.events.push(Event::Started(token, holder));
                "write"
            }
        }
    }

    fn finish(&mut self, attempt: &Attempt<'_>) -> &'static str {
        if let Some(token) = self.done() {
            return if token == attempt.token { "recorded" } else { "refused" };
        }
        if self.holder() != Some((attempt.token, attempt.holder)) {
            return "refused";
        }
        self.events.push(Event::Done(attempt.token.to_owned()));
        "write"
    }

    fn void(&mut self, attempt: &Attempt<'_>, release: bool) -> &'static str {
        let holder = self.holder();
        let own = holder == Some((attempt.token, attempt.holder)) && self.done().is_none();
        if holder.is_some_and(|(token, _)| token == attempt.token) && !(own && release) {
            return "refused";
        }
        let digest = *self.digest.get_or_insert(attempt.digest);
        let foreign = digest != attempt.digest && !own;
        if self.done().is_some() || self.is_void(attempt.token) || foreign {
            return "void";
        }
        if self.voids() >= VOID_LIMIT {
            return "refused";
        }
        self.events.push(Event::Void(attempt.token.to_owned()));
        if own && release {
            self.events.push(Event::Opened);
        }
        "write"
    }
}

fn started(row: &mut Option<Row>, attempt: &Attempt<'_>) -> &'static str {
    match claim::start(row.as_ref(), attempt) {
        Start::Write(new) => {
            *row = Some(new);
            "write"
        }
        Start::Run => "run",
        Start::Answered(_) => "answered",
        Start::InProgress => "in progress",
        Start::KeyReused => "key reused",
        Start::Void => "void",
    }
}

fn finished(row: &mut Option<Row>, attempt: &Attempt<'_>) -> &'static str {
    match claim::finish(row.as_ref(), attempt, &answer(attempt.holder)) {
        Finish::Write(new) => {
            *row = Some(new);
            "write"
        }
        Finish::Recorded => "recorded",
        Finish::Refused => "refused",
    }
}

fn voided(row: &mut Option<Row>, void: Void) -> &'static str {
    match void {
        Void::Write(new) => {
            *row = Some(new);
            "write"
        }
        Void::Done => "void",
        Void::Refused => "refused",
    }
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => Just(Act::Start),
        1 => Just(Act::Finish),
        2 => Just(Act::Void),
        2 => Just(Act::Release),
    ]
}

#[test]
fn a_full_list_refuses_to_declare_void() {
    let mut row = None;
    for index in 0..VOID_LIMIT {
        let void = claim::void(row.as_ref(), DIGEST, &index.to_string());
        assert_eq!(voided(&mut row, void), "write");
    }
    assert_eq!(claim::void(row.as_ref(), DIGEST, "one more"), Void::Refused);
    assert_eq!(claim::void(row.as_ref(), DIGEST, "0"), Void::Done);
    let late = Attempt { digest: DIGEST, token: "one more", holder: "h" };
    assert!(matches!(claim::start(row.as_ref(), &late), Start::Write(_)));
}

#[test]
fn rows_survive_the_table() {
    let attempt = Attempt { digest: u64::MAX, token: "t", holder: "h" };
    let mut row = None;
    let void = claim::void(row.as_ref(), u64::MAX, "gone");
    voided(&mut row, void);
    started(&mut row, &attempt);
    for _ in 0..2 {
        let text = serde_json::to_string(&row).unwrap();
        assert_eq!(serde_json::from_str::<Option<Row>>(&text).unwrap(), row);
        finished(&mut row, &attempt);
    }
    assert_eq!(claim::start(row.as_ref(), &attempt), Start::Answered(answer("h")));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        cases: 2_000,
        ..Config::default()
    })]

    /// Any sequence of acts, one at a time, has the outcomes that the oracle gives.
    #[test]
    fn outcomes_are_those_of_the_oracle(
        acts in prop::collection::vec((act(), 0..24_u32, 0..2_u32, 0..20_u64), 1..80),
    ) {
        let (mut row, mut oracle) = (None, Oracle::default());
        for (act, token, delivery, digest) in acts {
            let digest = if digest == 0 { DIGEST + 1 } else { DIGEST };
            let (token, holder) = (token.to_string(), format!("{token}-{delivery}"));
            let attempt = Attempt { digest, token: &token, holder: &holder };
            let (got, expected) = match act {
                Act::Start => (started(&mut row, &attempt), oracle.start(&attempt)),
                Act::Finish => (finished(&mut row, &attempt), oracle.finish(&attempt)),
                Act::Void => {
                    let void = claim::void(row.as_ref(), digest, &token);
                    (voided(&mut row, void), oracle.void(&attempt, false))
                }
                Act::Release => {
                    let void = claim::release(row.as_ref(), &attempt);
                    (voided(&mut row, void), oracle.void(&attempt, true))
                }
            };
            prop_assert_eq!(got, expected);
        }
    }
}
