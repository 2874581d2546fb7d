//! Simulation of concurrent attempts at one call on one claim row, in seeded interleavings.
//!
//! The tests guard against a call that runs twice, and against an attempt that is reported as not
//! run although it ran. Both can happen if a process is killed or frozen, or if a write to the row
//! is lost or takes effect late, while the same call is repeated.
//!
//! An actor is one delivery of an attempt, or a router that makes an attempt void after it lost
//! contact with the sidecar. One actor at a time runs one step, in an order drawn from the seed. An
//! actor may be killed or frozen between any two steps. A write may be lost, lose its response or
//! take effect late. Meanwhile the same call is repeated, delivered twice and made void. The
//! simulation records the runs of the call at the target, and compares the reports and the answers
//! with them. It leaves out time-outs, the transport and the encoding of the row.

use cornelpass_core::claim::{self, Answer, Attempt, Finish, Row, Start, Void};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of interleavings.
const SEEDS: u64 = 20_000;

/// Number of scheduled steps, in which actors are added, run, killed and frozen; afterwards, the
/// remaining actors run to their end.
const STEPS: u32 = 120;

/// Maximum number of actors of an interleaving, including those that have ended.
const MAX_ACTORS: usize = 8;

/// Number of rereads of the row after which an attempt that has not started gives up.
const MAX_REREADS: u32 = 4;

/// The complete mechanism, or the mechanism with one part disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mechanism {
    Complete,
    /// Writes succeed even if the row has changed since it was read.
    UnconditionalWrites,
    /// An attempt runs although another delivery or attempt has started and not ended.
    RunInProgress,
    /// A router reports an attempt as not run without making it void.
    ReportWithoutVoid,
    /// All deliveries of an attempt have the same holder identifier.
    SharedHolder,
}

/// Next step of an actor; a write step has the row as it was read, and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    StartRead,
    StartWrite(Option<Row>, u64),
    /// The actor holds the claim and may run the call.
    Claimed,
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
    rereads: u32,
    /// Number of scheduled steps for which the actor stays frozen.
    frozen_steps: u32,
}

/// Result of a conditional write, as its sender sees it.
enum WriteOutcome {
    Done,
    Conflict,
    /// No response: the write may have taken effect, or may take effect later.
    Unknown,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Counts {
    runs: usize,
    /// Runs after the first one.
    repeated_runs: usize,
    not_run_reports: usize,
    /// Reports of "not run" about an attempt that ran.
    false_not_run_reports: usize,
    /// Repeats that received the recorded answer.
    answered_repeats: usize,
    /// Answers that are not from the first run.
    wrong_answers: usize,
}

/// Claim row, actors, and record of what happened.
struct World {
    rng: StdRng,
    mechanism: Mechanism,
    row: Option<Row>,
    revision: u64,
    /// Writes that take effect late, with the revision on which they are conditional.
    delayed_writes: Vec<(u64, Row)>,
    actors: Vec<Actor>,
    /// Number of attempts so far; the token of an attempt is its number.
    attempts: u32,
    /// Number of actors added so far, for unique holder identifiers.
    deliveries: u32,
    /// Runs at the target, by token and holder.
    runs: Vec<(String, String)>,
    /// Answers that repeats received.
    answers: Vec<Answer>,
    /// Attempts reported as not run, by token; the report is about the delivery with this holder,
    /// or about all deliveries.
    not_run: Vec<(String, Option<String>)>,
}

impl World {
    fn new(seed: u64, mechanism: Mechanism) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            mechanism,
            row: None,
            revision: 0,
            delayed_writes: Vec::new(),
            actors: Vec::new(),
            attempts: 0,
            deliveries: 0,
            runs: Vec::new(),
            answers: Vec::new(),
            not_run: Vec::new(),
        }
    }

    /// Returns true with a probability of 1 in `one_in`.
    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    /// Writes the row if it still has this revision; returns whether it was written.
    fn write_row(&mut self, revision: u64, row: Row) -> bool {
        if revision != self.revision && self.mechanism != Mechanism::UnconditionalWrites {
            return false;
        }
        self.revision += 1;
        self.row = Some(row);
        true
    }

    /// Sends a conditional write, which may be lost, be delayed or lose its response.
    fn send_write(&mut self, revision: u64, row: Row) -> WriteOutcome {
        match self.rng.random_range(0..10) {
            0 => WriteOutcome::Unknown,
            1 => {
                self.delayed_writes.push((revision, row));
                WriteOutcome::Unknown
            }
            2 => {
                self.write_row(revision, row);
                WriteOutcome::Unknown
            }
            _ if self.write_row(revision, row) => WriteOutcome::Done,
            _ => WriteOutcome::Conflict,
        }
    }

    /// Lets one of the delayed writes take effect.
    fn apply_delayed_write(&mut self) {
        if !self.delayed_writes.is_empty() {
            let index = self.rng.random_range(0..self.delayed_writes.len());
            let (revision, row) = self.delayed_writes.remove(index);
            self.write_row(revision, row);
        }
    }

    /// Adds a new attempt, a second delivery of an attempt, or a router that makes an attempt void.
    fn add_actor(&mut self) {
        let kind = self.rng.random_range(0..8);
        let (mut token, mut step) = (self.attempts.to_string(), Step::StartRead);
        match kind {
            0 if self.attempts > 0 => token = self.rng.random_range(0..self.attempts).to_string(),
            1 | 2 if self.attempts > 0 => {
                token = self.rng.random_range(0..self.attempts).to_string();
                step = Step::VoidRead;
            }
            _ => self.attempts += 1,
        }
        self.deliveries += 1;
        let holder = match self.mechanism {
            Mechanism::SharedHolder => token.clone(),
            _ => format!("{token}-{}", self.deliveries),
        };
        // The fourth attempt has a different content, as if the key had been reused.
        let digest = 1 + u64::from(token == "3");
        self.actors.push(Actor { token, holder, digest, step, rereads: 0, frozen_steps: 0 });
    }

    fn run_step(&mut self, index: usize) {
        let actor = self.actors[index].clone();
        let next = match actor.step.clone() {
            Step::StartRead => Step::StartWrite(self.row.clone(), self.revision),
            Step::StartWrite(row, revision) => self.start(&actor, row.as_ref(), revision),
            Step::Claimed => self.run_call(&actor),
            Step::FinishRead => Step::FinishWrite(self.row.clone(), self.revision),
            Step::FinishWrite(row, revision) => self.finish(&actor, row.as_ref(), revision),
            Step::ReleaseRead => Step::ReleaseWrite(self.row.clone(), self.revision),
            Step::ReleaseWrite(row, revision) => self.release(&actor, row.as_ref(), revision),
            Step::VoidRead => Step::VoidWrite(self.row.clone(), self.revision),
            Step::VoidWrite(row, revision) => self.void(&actor, row.as_ref(), revision),
            Step::Ended => Step::Ended,
        };
        let actor = &mut self.actors[index];
        if matches!(next, Step::StartRead | Step::FinishRead | Step::ReleaseRead | Step::VoidRead) {
            actor.rereads += 1;
        }
        actor.step = next;
    }

    fn start(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        if actor.rereads >= MAX_REREADS {
            return self.report_not_run(actor);
        }
        let Actor { token, holder, digest, .. } = actor;
        match claim::start(row, &Attempt { digest: *digest, token, holder }) {
            Start::Write(row) => match self.send_write(revision, row) {
                WriteOutcome::Done => Step::Claimed,
                WriteOutcome::Conflict | WriteOutcome::Unknown => Step::StartRead,
            },
            Start::Run => Step::Claimed,
            Start::InProgress if self.mechanism == Mechanism::RunInProgress => Step::Claimed,
            Start::Answered(answer) => {
                self.answers.push(answer);
                Step::Ended
            }
            Start::InProgress | Start::KeyReused | Start::Void => self.report_not_run(actor),
        }
    }

    /// Reports that this delivery has not run and never will.
    fn report_not_run(&mut self, actor: &Actor) -> Step {
        self.not_run.push((actor.token.clone(), Some(actor.holder.clone())));
        Step::ReleaseRead
    }

    /// Runs the call at the target, or gives the claim up without a run.
    fn run_call(&mut self, actor: &Actor) -> Step {
        if self.chance(6) {
            return self.report_not_run(actor);
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
        match self.send_write(revision, row) {
            WriteOutcome::Done => Step::Ended,
            WriteOutcome::Conflict | WriteOutcome::Unknown => Step::FinishRead,
        }
    }

    fn release(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        let Actor { token, holder, digest, .. } = actor;
        match claim::release(row, &Attempt { digest: *digest, token, holder }) {
            Void::Write(row) => match self.send_write(revision, row) {
                WriteOutcome::Done => Step::Ended,
                WriteOutcome::Conflict | WriteOutcome::Unknown => Step::ReleaseRead,
            },
            Void::AlreadyVoid | Void::Refused => Step::Ended,
        }
    }

    fn void(&mut self, actor: &Actor, row: Option<&Row>, revision: u64) -> Step {
        let report = (actor.token.clone(), None);
        match claim::void(row, actor.digest, &actor.token) {
            _ if self.mechanism == Mechanism::ReportWithoutVoid => self.not_run.push(report),
            Void::Write(row) => match self.send_write(revision, row) {
                WriteOutcome::Done => self.not_run.push(report),
                WriteOutcome::Conflict | WriteOutcome::Unknown => return Step::VoidRead,
            },
            Void::AlreadyVoid => self.not_run.push(report),
            Void::Refused => {}
        }
        Step::Ended
    }

    /// Occasionally adds an actor or applies a delayed write; then runs, kills or freezes one
    /// actor.
    fn schedule(&mut self) {
        if self.actors.len() < MAX_ACTORS && (self.actors.is_empty() || self.chance(8)) {
            self.add_actor();
        }
        if self.chance(12) {
            self.apply_delayed_write();
        }
        let index = self.rng.random_range(0..self.actors.len());
        if self.actors[index].frozen_steps > 0 {
            self.actors[index].frozen_steps -= 1;
        } else if self.chance(25) {
            self.actors[index].step = Step::Ended;
        } else if self.chance(20) {
            self.actors[index].frozen_steps = self.rng.random_range(1..20);
        } else {
            self.run_step(index);
        }
    }

    fn run_to_end(mut self) -> Counts {
        for _ in 0..STEPS {
            self.schedule();
        }
        while self.actors.iter().any(|actor| actor.step != Step::Ended) {
            self.apply_delayed_write();
            let index = self.rng.random_range(0..self.actors.len());
            self.run_step(index);
        }
        self.count()
    }

    fn count(&self) -> Counts {
        let did_run = |(token, holder): &&(String, Option<String>)| {
            self.runs
                .iter()
                .any(|run| run.0 == *token && holder.as_ref().is_none_or(|holder| run.1 == *holder))
        };
        let first_holder = self.runs.first().map(|(_, holder)| holder);
        Counts {
            runs: self.runs.len(),
            repeated_runs: self.runs.len().saturating_sub(1),
            not_run_reports: self.not_run.len(),
            false_not_run_reports: self.not_run.iter().filter(did_run).count(),
            answered_repeats: self.answers.len(),
            wrong_answers: self
                .answers
                .iter()
                .filter(|answer| Some(&answer.body) != first_holder)
                .count(),
        }
    }
}

/// Runs all interleavings and adds their counts up.
fn run_interleavings(mechanism: Mechanism) -> Counts {
    let mut sum = Counts::default();
    for seed in 0..SEEDS {
        let counts = World::new(seed, mechanism).run_to_end();
        sum.runs += counts.runs;
        sum.repeated_runs += counts.repeated_runs;
        sum.not_run_reports += counts.not_run_reports;
        sum.false_not_run_reports += counts.false_not_run_reports;
        sum.answered_repeats += counts.answered_repeats;
        sum.wrong_answers += counts.wrong_answers;
    }
    println!("{mechanism:?}, {SEEDS} interleavings: {sum:?}");
    sum
}

#[test]
fn no_call_runs_twice_and_every_not_run_is_true() {
    let sum = run_interleavings(Mechanism::Complete);
    assert_eq!((sum.repeated_runs, sum.false_not_run_reports, sum.wrong_answers), (0, 0, 0));
    assert!(
        sum.runs > 10_000 && sum.not_run_reports > 10_000 && sum.answered_repeats > 1_000,
        "{sum:?}"
    );
}

// The tests below disable one part of the mechanism each, and check that the simulation detects the
// fault that results.

#[test]
fn unconditional_writes_make_calls_run_twice() {
    assert!(run_interleavings(Mechanism::UnconditionalWrites).repeated_runs > 0);
}

#[test]
fn running_calls_in_progress_makes_calls_run_twice() {
    assert!(run_interleavings(Mechanism::RunInProgress).repeated_runs > 0);
}

#[test]
fn a_holder_shared_by_deliveries_makes_calls_run_twice() {
    assert!(run_interleavings(Mechanism::SharedHolder).repeated_runs > 0);
}

#[test]
fn not_run_reports_without_a_void_attempt_can_be_false() {
    assert!(run_interleavings(Mechanism::ReportWithoutVoid).false_not_run_reports > 0);
}
