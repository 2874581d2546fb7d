//! Runs the functions of `claims::TableClaims` from several actors on one table, in an order that a
//! seed determines.
//!
//! Each actor is a thread, and one thread runs at a time. Before each request to the table, and
//! before and after the run at the target, the running actor yields to an actor that the seed
//! selects. An actor may be killed at any of these points, and a commit may be lost, lose its
//! response or take effect late.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod memory;

use std::panic;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_core::clock::Manual;
use cornelpass_platform::Error;
use cornelpass_platform::claims::{
    Claim, Claims, FinishOutcome, StartOutcome, TableClaims, VoidOutcome,
};
use cornelpass_platform::objects::Objects;
use cornelpass_platform::table::{Commit, Listing, Revision, Row, Table};
use memory::{Fault, Memory};

/// Number of interleavings.
const SEEDS: u64 = 10_000;

/// Number of actors: two routers that make attempts void, and four sidecars.
const ACTORS: usize = 6;

const REMAINING: Duration = Duration::from_secs(1);

/// Random numbers from a seed (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

struct Schedule {
    random: Random,
    /// Whether each actor still runs.
    alive: Vec<bool>,
    /// Actor that may run at present.
    current: usize,
}

impl Schedule {
    /// Selects the actor that runs next.
    fn select_next(&mut self) {
        let alive: Vec<usize> = (0..self.alive.len()).filter(|&id| self.alive[id]).collect();
        if let Ok(count @ 1..) = u64::try_from(alive.len()) {
            self.current = alive[usize::try_from(self.random.below(count)).unwrap()];
        }
    }
}

/// What happened in an interleaving.
#[derive(Default)]
struct Observations {
    /// Claims whose call ran at the target.
    runs: Vec<Claim>,
    /// Claims reported as not run; the flag is true if the report is about this delivery only, and
    /// false if it is about all deliveries of the attempt.
    not_run: Vec<(Claim, bool)>,
    /// Bodies of the answers that repeated calls received.
    answers: Vec<String>,
}

struct World {
    schedule: Mutex<Schedule>,
    current_changed: Condvar,
    table: Memory,
    observations: Mutex<Observations>,
}

/// An actor's access to the table, which yields to other actors before each request.
struct Actor {
    world: Arc<World>,
    id: usize,
}

impl Actor {
    /// Waits until the schedule selects this actor.
    fn wait(&self) {
        let schedule = self.world.schedule.lock().unwrap();
        drop(
            self.world
                .current_changed
                .wait_while(schedule, |schedule| schedule.current != self.id)
                .unwrap(),
        );
    }

    /// Yields to the next actor and waits to be selected again; may also make a delayed commit take
    /// effect, or kill this actor.
    fn yield_now(&self) {
        let mut schedule = self.world.schedule.lock().unwrap();
        let killed = schedule.random.below(30) == 0;
        if schedule.random.below(8) == 0 {
            let index = usize::try_from(schedule.random.below(8)).unwrap();
            self.world.table.apply_delayed(index);
        }
        if killed {
            drop(schedule);
            panic::resume_unwind(Box::new("killed"));
        }
        schedule.select_next();
        drop(schedule);
        self.world.current_changed.notify_all();
        self.wait();
    }

    /// Removes this actor from the schedule.
    fn leave(&self) {
        let mut schedule = self.world.schedule.lock().unwrap();
        schedule.alive[self.id] = false;
        schedule.select_next();
        self.world.current_changed.notify_all();
    }
}

impl Table for Actor {
    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.yield_now();
        self.world.table.read(key)
    }

    fn scan(&self, prefix: &str) -> Result<Listing, Error> {
        self.yield_now();
        self.world.table.scan(prefix)
    }

    fn commit(&self, commit: &Commit) -> Result<Revision, Error> {
        self.yield_now();
        let drawn = self.world.schedule.lock().unwrap().random.below(10);
        let fault = match drawn {
            0 => Fault::LoseResponse,
            1 => Fault::LoseRequest,
            2 => Fault::Delay,
            3 => Fault::Refuse,
            _ => Fault::None,
        };
        self.world.table.state().faults = vec![fault];
        self.world.table.commit(commit)
    }
}

impl Objects for Actor {
    fn get(&self, _key: &str) -> Result<Option<Vec<u8>>, Error> {
        Ok(None)
    }

    fn put(&self, _key: &str, _bytes: &[u8]) -> Result<(), Error> {
        Ok(())
    }
}

/// Acts as a sidecar that starts the call and records its answer.
fn attempt(actor: &Arc<Actor>, store: &TableClaims, claim: &Claim) {
    let observations = || actor.world.observations.lock().unwrap();
    match store.start(claim, REMAINING) {
        StartOutcome::Run => {
            actor.yield_now();
            observations().runs.push(claim.clone());
            actor.yield_now();
            let body = claim.token().to_owned();
            let answer = Answer { status: 200, content_type: "text/plain".to_owned(), body };
            while store.finish(claim, &answer, REMAINING) == FinishOutcome::Unavailable {}
        }
        StartOutcome::Answered(answer) => observations().answers.push(answer.body),
        StartOutcome::InProgress
        | StartOutcome::OutcomeUnknown
        | StartOutcome::KeyReused
        | StartOutcome::Void => {
            observations().not_run.push((claim.clone(), true));
        }
        StartOutcome::Unavailable { may_have_taken_effect } => {
            observations().not_run.push((claim.clone(), true));
            if may_have_taken_effect {
                while store.release(claim, REMAINING) == VoidOutcome::Unavailable {}
            }
        }
    }
}

/// Acts as a router that lost contact with the sidecar and makes the attempt void.
fn make_void(actor: &Arc<Actor>, store: &TableClaims, claim: &Claim) {
    if store.void(claim, REMAINING) == VoidOutcome::Void {
        actor.world.observations.lock().unwrap().not_run.push((claim.clone(), false));
    }
}

fn run_actor(world: &Arc<World>, id: usize) {
    let actor = Arc::new(Actor { world: Arc::clone(world), id });
    actor.wait();
    let attempt_number = world.schedule.lock().unwrap().random.below(3);
    let claim = Claim::new("oficina", "deposit", 1, format!("attempt-{attempt_number}"));
    let store = TableClaims::new(Arc::clone(&actor) as _, Arc::clone(&actor) as _);
    let store = store.with_clock(Arc::new(Manual::new()));
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| match id {
        0 | 1 => make_void(&actor, &store, &claim),
        _ => attempt(&actor, &store, &claim),
    }));
    actor.leave();
    if let Err(cause) = result
        && cause.downcast_ref::<&str>() != Some(&"killed")
    {
        panic::resume_unwind(cause);
    }
}

/// Runs the interleaving of a seed.
fn run_interleaving(seed: u64) -> Observations {
    let schedule = Schedule { random: Random(seed), alive: vec![true; ACTORS], current: 0 };
    let world = Arc::new(World {
        schedule: Mutex::new(schedule),
        current_changed: Condvar::new(),
        table: Memory::default(),
        observations: Mutex::default(),
    });
    thread::scope(|scope| {
        for id in 0..ACTORS {
            let world = Arc::clone(&world);
            scope.spawn(move || run_actor(&world, id));
        }
    });
    let mut observations = world.observations.lock().unwrap();
    std::mem::take(&mut *observations)
}

#[test]
fn no_claimed_call_runs_twice_and_every_not_run_is_true() {
    let (mut runs, mut not_run, mut answers) = (0, 0, 0);
    for seed in 0..SEEDS {
        let observations = run_interleaving(seed);
        assert!(observations.runs.len() <= 1, "seed {seed}: {:?}", observations.runs);
        for (claim, one_delivery) in &observations.not_run {
            let is_reported =
                |run: &Claim| run == claim || (!one_delivery && run.token() == claim.token());
            assert!(!observations.runs.iter().any(is_reported), "seed {seed}: {claim:?} ran");
        }
        let token = observations.runs.first().map(Claim::token);
        assert!(
            observations.answers.iter().all(|body| Some(body.as_str()) == token),
            "seed {seed}"
        );
        runs += observations.runs.len();
        not_run += observations.not_run.len();
        answers += observations.answers.len();
    }
    println!("{SEEDS} interleavings: {runs} runs, {not_run} not run, {answers} repeats answered");
    // Enough interleavings reach each outcome, so that the assertions above check something.
    assert!(runs > 2_500 && not_run > 5_000 && answers > 500);
}
