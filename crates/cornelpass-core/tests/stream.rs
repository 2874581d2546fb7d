//! Reassembly of an answer from several attempts, against a naive version and a network that loses,
//! repeats and reorders frames.

use cornelpass_core::chat::{Finish, Usage};
use cornelpass_core::stream::{Action, Assembler};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TOTAL: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Text(u32),
    End(u32),
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Frame {
    attempt: u32,
    body: Body,
}

/// Text of a piece: each attempt has words of its own.
fn word(attempt: u32, offset: u32) -> String {
    format!("{attempt}:{offset} ")
}

/// What the caller has been given.
#[derive(Debug, Default, PartialEq, Eq)]
struct Caller {
    pieces: Vec<(u32, u32)>,
    whole: bool,
}

impl Caller {
    fn text(&self) -> String {
        self.pieces.iter().map(|&(attempt, offset)| word(attempt, offset)).collect()
    }
}

fn take(assembler: &mut Assembler, caller: &mut Caller, frame: Frame) -> Action {
    let Frame { attempt, body } = frame;
    let step = match body {
        Body::Text(offset) => assembler.on_piece(attempt, offset),
        Body::End(total) => assembler.on_end(attempt, total, Finish::Stop, Usage::default()),
        Body::Failed => assembler.on_failure(attempt),
    };
    match (&step, body) {
        (Action::Deliver, Body::Text(offset)) => caller.pieces.push((attempt, offset)),
        (Action::Finish { .. }, _) => caller.whole = true,
        _ => {}
    }
    step
}

/// Naive version: keeps all frames and works the answer out anew from the whole log.
#[derive(Default)]
struct Naive {
    log: Vec<(u32, Frame)>,
    current: u32,
}

impl Naive {
    fn answer(&self) -> Caller {
        let mut caller = Caller::default();
        let timely = self.log.iter().filter(|(current, frame)| *current == frame.attempt);
        for (_, frame) in timely {
            let have = caller.pieces.len() as u32;
            match frame.body {
                Body::Text(offset) if !caller.whole && offset == have => {
                    caller.pieces.push((frame.attempt, offset));
                }
                Body::End(total) if total == have => caller.whole = true,
                _ => {}
            }
        }
        caller
    }
}

/// An act of the network or of the router.
#[derive(Clone, Copy, Debug)]
enum Act {
    Deliver(prop::sample::Index),
    Repeat(prop::sample::Index),
    Lose(prop::sample::Index),
    Resume,
    Retry,
    Fail,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        12 => any::<prop::sample::Index>().prop_map(Act::Deliver),
        2 => any::<prop::sample::Index>().prop_map(Act::Repeat),
        2 => any::<prop::sample::Index>().prop_map(Act::Lose),
        2 => Just(Act::Resume),
        1 => Just(Act::Retry),
        1 => Just(Act::Fail),
    ]
}

/// Frames that a target sends from an offset on.
fn sent(attempt: u32, from: u32) -> impl Iterator<Item = Frame> {
    let texts = (from..TOTAL).map(Body::Text);
    texts.chain([Body::End(TOTAL)]).map(move |body| Frame { attempt, body })
}

struct World {
    assembler: Assembler,
    naive: Naive,
    caller: Caller,
    flying: Vec<Frame>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            assembler: Assembler::new(0),
            naive: Naive::default(),
            caller: Caller::default(),
            flying: Vec::new(),
        };
        world.retry();
        world
    }

    fn retry(&mut self) {
        self.naive.current += 1;
        self.assembler.start_attempt(self.naive.current);
        self.resume();
    }

    fn resume(&mut self) {
        self.flying.extend(sent(self.naive.current, self.assembler.next_offset()));
    }

    fn deliver(&mut self, frame: Frame) -> Action {
        self.naive.log.push((self.naive.current, frame));
        take(&mut self.assembler, &mut self.caller, frame)
    }

    fn act(&mut self, act: Act) {
        let pick = |index: prop::sample::Index, flying: &[Frame]| {
            (!flying.is_empty()).then(|| index.index(flying.len()))
        };
        match act {
            Act::Deliver(index) => {
                // Mostly in order: the first few frames in flight.
                let near = self.flying.len().min(3);
                let Some(at) = pick(index, &self.flying[..near]) else { return };
                let frame = self.flying.remove(at);
                self.deliver(frame);
            }
            Act::Repeat(index) => {
                let Some(at) = pick(index, &self.flying) else { return };
                self.deliver(self.flying[at]);
            }
            Act::Lose(index) => {
                let Some(at) = pick(index, &self.flying) else { return };
                self.flying.remove(at);
            }
            Act::Resume => self.resume(),
            Act::Retry => self.retry(),
            Act::Fail => {
                self.flying.insert(0, Frame { attempt: self.naive.current, body: Body::Failed });
            }
        }
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(0x05b1_1ce0))]

    /// The caller gets exactly what the naive version works out, whatever the network does.
    #[test]
    fn the_splice_agrees_with_the_naive_version(acts in prop::collection::vec(act(), 0..120)) {
        let mut world = World::new();
        for act in acts {
            world.act(act);
            prop_assert_eq!(&world.caller, &world.naive.answer());
        }
    }

    /// What the caller has is always a prefix without gap or repetition, and an answer that is
    /// called whole has all its pieces.
    #[test]
    fn an_answer_is_a_whole_text_or_a_marked_cut(acts in prop::collection::vec(act(), 0..120)) {
        let mut world = World::new();
        for act in acts {
            world.act(act);
            let offsets: Vec<u32> = world.caller.pieces.iter().map(|&(_, at)| at).collect();
            let expected: Vec<u32> = (0..world.assembler.next_offset()).collect();
            prop_assert_eq!(offsets, expected);
            prop_assert!(world.caller.pieces.is_sorted());
            prop_assert_eq!(world.caller.whole, world.assembler.is_finished());
            prop_assert!(!world.caller.whole || world.assembler.next_offset() == TOTAL);
        }
    }

    /// Once the network loses nothing, a resumed attempt brings the rest and the end.
    #[test]
    fn a_resumed_answer_becomes_whole(acts in prop::collection::vec(act(), 0..120)) {
        let mut world = World::new();
        for act in acts {
            world.act(act);
        }
        let before = world.caller.text();
        let attempt = world.naive.current;
        let rest: Vec<Frame> = sent(attempt, world.assembler.next_offset()).collect();
        for frame in rest {
            world.deliver(frame);
        }
        prop_assert!(world.caller.whole);
        prop_assert!(world.caller.text().starts_with(&before));
        prop_assert_eq!(world.caller.pieces.len(), TOTAL as usize);
    }
}

#[test]
fn a_failure_of_an_earlier_attempt_is_dropped() {
    let mut assembler = Assembler::new(0);
    assembler.start_attempt(1);
    assert_eq!(assembler.on_failure(1), Action::Fail);
    assembler.start_attempt(2);
    assert_eq!(assembler.on_failure(1), Action::Drop);
    assert_eq!(assembler.on_failure(2), Action::Fail);
}

#[test]
fn an_attempt_does_not_go_back() {
    let mut assembler = Assembler::new(0);
    assembler.start_attempt(2);
    assembler.start_attempt(1);
    assert_eq!(assembler.on_piece(1, 0), Action::Drop);
    assert_eq!(assembler.on_piece(2, 0), Action::Deliver);
}

#[test]
fn an_end_that_contradicts_the_pieces_is_not_whole() {
    let mut assembler = Assembler::new(3);
    assembler.start_attempt(1);
    assert_eq!(assembler.on_end(1, 2, Finish::Stop, Usage::default()), Action::Fail);
    assert!(!assembler.is_finished());
}
