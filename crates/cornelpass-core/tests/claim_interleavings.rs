//! Seeded interleavings of attempts, repeats and routers on one claim row.
//!
//! Each actor takes one step at a time in an order drawn from the seed: it is killed or frozen
//! between any two steps, its writes are lost, lose their answers or land late, and the same call
//! is repeated, delivered twice and declared void meanwhile. The target's runs are the witness.

use cornelpass_core::claim::{self, Answer, Attempt, Finish, Row, Start, Void};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 20_000;
const STEPS: u32 = 120;
const ACTORS: usize = 8;
const ROUNDS: u32 = 4;

/// The mechanism, or the part of it that is off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mechanism {
    On,
    /// Writes do not depend on the row being unchanged.
    Unconditional,
    /// A started row without an outcome is run again.
    RunAgain,
    /// A router says "not run" without declaring the attempt void.
    SaidOnly,
    /// Two deliveries of one attempt are one holder.
    OneHolder,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Read,
    Write(Option<Row>, u64),
    Granted,
    FinishRead,
    FinishWrite(Option<Row>, u64),
    ReleaseRead,
    ReleaseWrite(Option<Row>, u64),
    VoidRead,
    VoidWrite(Option<Row>, u64),
    Ended,
}

#[derive(Clone, Debug)]
struct Actor {
    token: String,
    holder: String,
    digest: u64,
    step: Step,
    rounds: u32,
    frozen: u32,
}

/// What the caller of a commit sees.
enum Commit {
    Done,
    Conflict,
    Lost,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    runs: usize,
    doubles: usize,
    not_run: usize,
    false_not_run: usize,
    repeats_answered: usize,
    wrong_answers: usize,
}

struct World {
    rng: StdRng,
    mechanism: Mechanism,
    row: Option<Row>,
    revision: u64,
    delayed: Vec<(u64, Row)>,
    actors: Vec<Actor>,
    tokens: u32,
    deliveries: u32,
    runs: Vec<(String, String)>,
    answers: Vec<Answer>,
    /// Attempts said not to have run: one delivery, or all of them.
    not_run: Vec<(String, Option<String>)>,
}

impl World {
    fn new(seed: u64, mechanism: Mechanism) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            mechanism,
            row: None,
            revision: 0,
            delayed: Vec::new(),
            actors: Vec::new(),
            tokens: 0,
            deliveries: 0,
            runs: Vec::new(),
            answers: Vec::new(),
            not_run: Vec::new(),
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn apply(&mut self, revision: u64, row: Row) -> bool {
        if revision != self.revision && self.mechanism != Mechanism::Unconditional {
            return false;
        }
        self.revision += 1;
        self.row = Some(row);
        true
    }

    fn commit(&mut self, revision: u64, row: Row) -> Commit {
        match self.rng.random_range(0..10) {
            0 => Commit::Lost,
            1 => {
                self.delayed.push((revision, row));
                Commit::Lost
            }
            2 => {
                self.apply(revision, row);
                Commit::Lost
            }
            _ if self.apply(revision, row) => Commit::Done,
            _ => Commit::Conflict,
        }
    }

    fn land(&mut self) {
        if !self.delayed.is_empty() {
            let index = self.rng.random_range(0..self.delayed.len());
            let (revision, row) = self.delayed.remove(index);
            self.apply(revision, row);
        }
    }

    /// A repeat by another router, a second delivery of an attempt, or a router that lost contact.
    fn spawn(&mut self) {
        let kind = self.rng.random_range(0..8);
        let (mut token, mut step) = (self.tokens.to_string(), Step::Read);
        match kind {
            0 if self.tokens > 0 => token = self.rng.random_range(0..self.tokens).to_string(),
            1 | 2 if self.tokens > 0 => {
                token = self.rng.random_range(0..self.tokens).to_string();
                step = Step::VoidRead;
            }
            _ => self.tokens += 1,
        }
        self.deliveries += 1;
        let holder = match self.mechanism {
            Mechanism::OneHolder => token.clone(),
            _ => format!("{token}-{}", self.deliveries),
        };
        let digest = 1 + u64::from(token == "3");
        self.actors.push(Actor { token, holder, digest, step, rounds: 0, frozen: 0 });
    }

    fn step(&mut self, index: usize) {
        let actor = self.actors[index].clone();
        let next = match actor.step.clone() {
            Step::Read => Step::Write(self.row.clone(), self.revision),
            Step::Write(row, revision) => self.start(&actor, row.as_ref(), revision),
            Step::Granted => self.run(&actor),
            Step::FinishRead => Step::FinishWrite(self.row.clone(), self.revision),
            Step::FinishWrite(row, revision) => self.finish(&actor, row.as_ref(), revision),
            Step::ReleaseRead => Step::ReleaseWrite(self.row.clone(), self.revision),
            Step::ReleaseWrite(row, revision) => self.release(&actor, row.as_ref(), revision),
            Step::VoidRead => Step::VoidWrite(self.row.clone(), self.revision),
            Step::VoidWrite(row, revision) => self.void(&actor, row.as_ref(), revision),
            Step::Ended => Step::Ended,
        };
        let actor = &mut self.actors[index];
        if matches!(next, Step::Read | Step::FinishRead | Step::ReleaseRead | Step::VoidRead) {
            actor.rounds += 1;
        }
        actor.step = next;
    }

    fn start(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        if actor.rounds >= ROUNDS {
            return self.vow(actor);
        }
        let Actor { token, holder, digest, .. } = actor;
        match claim::start(row, &Attempt { digest: *digest, token, holder }) {
            Start::Write(row) => match self.commit(revision, row) {
                Commit::Done => Step::Granted,
                Commit::Conflict | Commit::Lost => Step::Read,
            },
            Start::Run => Step::Granted,
            Start::InProgress if self.mechanism == Mechanism::RunAgain => Step::Granted,
            Start::Answered(answer) => {
                self.answers.push(answer);
                Step::Ended
            }
            Start::InProgress | Start::KeyReused | Start::Void => self.vow(actor),
        }
    }

    /// Says that this delivery has not run and never will.
    fn vow(&mut self, actor: &Actor) -> Step {
        self.not_run.push((actor.token.clone(), Some(actor.holder.clone())));
        Step::ReleaseRead
    }

    fn run(&mut self, actor: &Actor) -> Step {
        if self.chance(6) {
            return self.vow(actor);
        }
        self.runs.push((actor.token.clone(), actor.holder.clone()));
        Step::FinishRead
    }

    fn finish(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        let Actor { token, holder, digest, .. } = actor;
        let attempt = Attempt { digest: *digest, token, holder };
        let content_type = "text/plain".to_owned();
        let answer = Answer { status: 200, content_type, body: holder.clone() };
        let Finish::Write(row) = claim::finish(row, &attempt, &answer) else { return Step::Ended };
        match self.commit(revision, row) {
            Commit::Done => Step::Ended,
            Commit::Conflict | Commit::Lost => Step::FinishRead,
        }
    }

    fn release(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        let Actor { token, holder, digest, .. } = actor;
        match claim::release(row, &Attempt { digest: *digest, token, holder }) {
            Void::Write(row) => match self.commit(revision, row) {
                Commit::Done => Step::Ended,
                Commit::Conflict | Commit::Lost => Step::ReleaseRead,
            },
            Void::Done | Void::Refused => Step::Ended,
        }
    }

    fn void(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        let said = (actor.token.clone(), None);
        match claim::void(row, actor.digest, &actor.token) {
            _ if self.mechanism == Mechanism::SaidOnly => self.not_run.push(said),
            Void::Write(row) => match self.commit(revision, row) {
                Commit::Done => self.not_run.push(said),
                Commit::Conflict | Commit::Lost => return Step::VoidRead,
            },
            Void::Done => self.not_run.push(said),
            Void::Refused => {}
        }
        Step::Ended
    }

    fn turn(&mut self) {
        if self.actors.len() < ACTORS && (self.actors.is_empty() || self.chance(8)) {
            self.spawn();
        }
        if self.chance(12) {
            self.land();
        }
        let index = self.rng.random_range(0..self.actors.len());
        if self.actors[index].frozen > 0 {
            self.actors[index].frozen -= 1;
        } else if self.chance(25) {
            self.actors[index].step = Step::Ended;
        } else if self.chance(20) {
            self.actors[index].frozen = self.rng.random_range(1..20);
        } else {
            self.step(index);
        }
    }

    fn play(mut self) -> Tally {
        for _ in 0..STEPS {
            self.turn();
        }
        while self.actors.iter().any(|actor| actor.step != Step::Ended) {
            self.land();
            let index = self.rng.random_range(0..self.actors.len());
            self.step(index);
        }
        self.tally()
    }

    fn tally(&self) -> Tally {
        let ran = |(token, holder): &&(String, Option<String>)| {
            self.runs
                .iter()
                .any(|run| run.0 == *token && holder.as_ref().is_none_or(|h| run.1 == *h))
        };
        let first = self.runs.first().map(|(_, holder)| holder);
        Tally {
            runs: self.runs.len(),
            doubles: self.runs.len().saturating_sub(1),
            not_run: self.not_run.len(),
            false_not_run: self.not_run.iter().filter(ran).count(),
            repeats_answered: self.answers.len(),
            wrong_answers: self.answers.iter().filter(|a| Some(&a.body) != first).count(),
        }
    }
}

fn play(mechanism: Mechanism) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..SEEDS {
        let tally = World::new(seed, mechanism).play();
        sum.runs += tally.runs;
        sum.doubles += tally.doubles;
        sum.not_run += tally.not_run;
        sum.false_not_run += tally.false_not_run;
        sum.repeats_answered += tally.repeats_answered;
        sum.wrong_answers += tally.wrong_answers;
    }
    println!("{mechanism:?}, {SEEDS} interleavings: {sum:?}");
    sum
}

#[test]
fn no_call_runs_twice_and_every_not_run_is_true() {
    let sum = play(Mechanism::On);
    assert_eq!((sum.doubles, sum.false_not_run, sum.wrong_answers), (0, 0, 0));
    assert!(sum.runs > 10_000 && sum.not_run > 10_000 && sum.repeats_answered > 1_000, "{sum:?}");
}

#[test]
fn the_witness_sees_unconditional_writes() {
    assert!(play(Mechanism::Unconditional).doubles > 0);
}

#[test]
fn the_witness_sees_started_rows_run_again() {
    assert!(play(Mechanism::RunAgain).doubles > 0);
}

#[test]
fn the_witness_sees_attempts_delivered_twice() {
    assert!(play(Mechanism::OneHolder).doubles > 0);
}

#[test]
fn the_witness_sees_not_run_said_without_a_transition() {
    assert!(play(Mechanism::SaidOnly).false_not_run > 0);
}
