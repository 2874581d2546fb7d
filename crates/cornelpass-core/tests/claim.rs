//! Tests of the state machine of claims.
//!
//! They guard against a call that runs more than once, and against an attempt that starts although
//! it was reported as not run. Any sequence of operations on one row must have the outcomes of a
//! reference model, which searches the list of all earlier events. The operations run one at a
//! time; `claim_interleavings.rs` simulates concurrent ones.

use cornelpass_core::claim::{self, Answer, Attempt, Finish, Row, Start, VOID_LIMIT, Void};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const DIGEST: u64 = 7;

fn answer(text: &str) -> Answer {
    Answer { status: 200, content_type: "text/plain".to_owned(), body: text.to_owned() }
}

/// Operation on the row by one delivery of an attempt.
#[derive(Clone, Debug)]
enum Operation {
    Start,
    Finish,
    Void,
    Release,
}

/// Event of a call, with the token of the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    /// The attempt with this token has started; the second text is the holder.
    Started(String, String),
    Done(String),
    Void(String),
    /// The holder has released the claim.
    Released,
}

/// Reference model, which decides each operation by a search of all earlier events.
#[derive(Default)]
struct Model {
    digest: Option<u64>,
    events: Vec<Event>,
}

impl Model {
    /// Token and holder of the attempt that has started and not released the claim.
    fn holder(&self) -> Option<(&str, &str)> {
        let newest_first = self.events.iter().rev();
        newest_first.take_while(|event| **event != Event::Released).find_map(|event| match event {
            Event::Started(token, holder) => Some((token.as_str(), holder.as_str())),
            _ => None,
        })
    }

    /// Token of the attempt that has ended with an answer.
    fn done_token(&self) -> Option<&str> {
        self.events.iter().find_map(|event| match event {
            Event::Done(token) => Some(token.as_str()),
            _ => None,
        })
    }

    fn void_count(&self) -> usize {
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
        if self.done_token().is_some() {
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
        if let Some(token) = self.done_token() {
            return if token == attempt.token { "recorded" } else { "refused" };
        }
        if self.holder() != Some((attempt.token, attempt.holder)) {
            return "refused";
        }
        self.events.push(Event::Done(attempt.token.to_owned()));
        "write"
    }

    /// Makes the attempt void; `release` is true if its holder gives the claim up.
    fn void(&mut self, attempt: &Attempt<'_>, release: bool) -> &'static str {
        let holder = self.holder();
        let is_holder =
            holder == Some((attempt.token, attempt.holder)) && self.done_token().is_none();
        if holder.is_some_and(|(token, _)| token == attempt.token) && !(is_holder && release) {
            return "refused";
        }
        let digest = *self.digest.get_or_insert(attempt.digest);
        let has_other_content = digest != attempt.digest && !is_holder;
        if self.done_token().is_some() || self.is_void(attempt.token) || has_other_content {
            return "void";
        }
        if self.void_count() >= VOID_LIMIT {
            return "refused";
        }
        self.events.push(Event::Void(attempt.token.to_owned()));
        if is_holder && release {
            self.events.push(Event::Released);
        }
        "write"
    }
}

/// Starts an attempt on the row and returns the outcome, as named by the model.
fn apply_start(row: &mut Option<Row>, attempt: &Attempt<'_>) -> &'static str {
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

/// Records the answer of an attempt in the row and returns the outcome, as named by the model.
fn apply_finish(row: &mut Option<Row>, attempt: &Attempt<'_>) -> &'static str {
    match claim::finish(row.as_ref(), attempt, &answer(attempt.holder)) {
        Finish::Write(new) => {
            *row = Some(new);
            "write"
        }
        Finish::Recorded => "recorded",
        Finish::Refused => "refused",
    }
}

/// Writes the result of `claim::void` or `claim::release` to the row and returns the outcome, as
/// named by the model.
fn apply_void(row: &mut Option<Row>, void: Void) -> &'static str {
    match void {
        Void::Write(new) => {
            *row = Some(new);
            "write"
        }
        Void::AlreadyVoid => "void",
        Void::Refused => "refused",
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => Just(Operation::Start),
        1 => Just(Operation::Finish),
        2 => Just(Operation::Void),
        2 => Just(Operation::Release),
    ]
}

#[test]
fn no_attempt_is_made_void_if_the_list_of_void_attempts_is_full() {
    let mut row = None;
    for index in 0..VOID_LIMIT {
        let void = claim::void(row.as_ref(), DIGEST, &index.to_string());
        assert_eq!(apply_void(&mut row, void), "write");
    }
    assert_eq!(claim::void(row.as_ref(), DIGEST, "one more"), Void::Refused);
    assert_eq!(claim::void(row.as_ref(), DIGEST, "0"), Void::AlreadyVoid);
    let unlisted = Attempt { digest: DIGEST, token: "one more", holder: "h" };
    assert!(matches!(claim::start(row.as_ref(), &unlisted), Start::Write(_)));
}

#[test]
fn serialised_rows_are_read_unchanged() {
    let attempt = Attempt { digest: u64::MAX, token: "t", holder: "h" };
    let mut row = None;
    let void = claim::void(row.as_ref(), u64::MAX, "gone");
    apply_void(&mut row, void);
    apply_start(&mut row, &attempt);
    // The first iteration checks a started row, the second one a row with an answer.
    for _ in 0..2 {
        let text = serde_json::to_string(&row).unwrap();
        assert_eq!(serde_json::from_str::<Option<Row>>(&text).unwrap(), row);
        apply_finish(&mut row, &attempt);
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

    /// Any sequence of operations, one at a time, has the outcomes of the reference model.
    ///
    /// A step is an operation, the number of an attempt, the number of its delivery, and a number
    /// that is 0 if the content differs.
    #[test]
    fn outcomes_equal_those_of_the_reference_model(
        steps in prop::collection::vec((operation(), 0..24_u32, 0..2_u32, 0..20_u64), 1..80),
    ) {
        let (mut row, mut model) = (None, Model::default());
        for (operation, number, delivery, content) in steps {
            let digest = if content == 0 { DIGEST + 1 } else { DIGEST };
            let (token, holder) = (number.to_string(), format!("{number}-{delivery}"));
            let attempt = Attempt { digest, token: &token, holder: &holder };
            let (actual, expected) = match operation {
                Operation::Start => (apply_start(&mut row, &attempt), model.start(&attempt)),
                Operation::Finish => (apply_finish(&mut row, &attempt), model.finish(&attempt)),
                Operation::Void => {
                    let void = claim::void(row.as_ref(), digest, &token);
                    (apply_void(&mut row, void), model.void(&attempt, false))
                }
                Operation::Release => {
                    let void = claim::release(row.as_ref(), &attempt);
                    (apply_void(&mut row, void), model.void(&attempt, true))
                }
            };
            prop_assert_eq!(actual, expected);
        }
    }
}
