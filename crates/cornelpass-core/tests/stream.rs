//! Tests of the reassembly of one answer from the frames of several attempts.
//!
//! They guard against an answer with missing, repeated or mixed pieces, and against an incomplete
//! answer that is reported as complete. Both can happen if frames arrive late, repeatedly or not at
//! all, and if an attempt is followed by another one.
//!
//! A simulated network loses, repeats and reorders the frames. The answer is compared with that of
//! a reference implementation, which computes it anew from the log of all frames. The simulation
//! leaves out time, connections and the encoding of frames.

use cornelpass_core::chat::{Finish, TokenUsage};
use cornelpass_core::stream::{Action, Assembler};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of pieces of the complete answer.
const TOTAL_PIECES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    /// Piece at this offset.
    Text(u32),
    /// End of the answer, with the total number of pieces.
    End(u32),
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Frame {
    attempt: u32,
    body: Body,
}

/// Text of a piece, different for each attempt.
fn piece_text(attempt: u32, offset: u32) -> String {
    format!("{attempt}:{offset} ")
}

/// What the caller has received.
#[derive(Debug, Default, PartialEq, Eq)]
struct Caller {
    /// Attempt and offset of each piece.
    pieces: Vec<(u32, u32)>,
    is_complete: bool,
}

impl Caller {
    fn text(&self) -> String {
        self.pieces.iter().map(|&(attempt, offset)| piece_text(attempt, offset)).collect()
    }
}

/// Passes a frame to the assembler, and delivers the result to the caller.
fn apply_frame(assembler: &mut Assembler, caller: &mut Caller, frame: Frame) -> Action {
    let Frame { attempt, body } = frame;
    let action = match body {
        Body::Text(offset) => assembler.on_piece(attempt, offset),
        Body::End(total) => assembler.on_end(attempt, total, Finish::Stop, TokenUsage::default()),
        Body::Failed => assembler.on_failure(attempt),
    };
    match (&action, body) {
        (Action::Deliver, Body::Text(offset)) => caller.pieces.push((attempt, offset)),
        (Action::Finish { .. }, _) => caller.is_complete = true,
        _ => {}
    }
    action
}

/// Reference implementation, which keeps all frames and computes the answer from the whole log.
#[derive(Default)]
struct Reference {
    /// Frames in the order of their arrival, each with the attempt that was current then.
    log: Vec<(u32, Frame)>,
    current_attempt: u32,
}

impl Reference {
    fn answer(&self) -> Caller {
        let mut caller = Caller::default();
        let current_frames = self.log.iter().filter(|(current, frame)| *current == frame.attempt);
        for (_, frame) in current_frames {
            let received = caller.pieces.len() as u32;
            match frame.body {
                Body::Text(offset) if !caller.is_complete && offset == received => {
                    caller.pieces.push((frame.attempt, offset));
                }
                Body::End(total) if total == received => caller.is_complete = true,
                _ => {}
            }
        }
        caller
    }
}

/// Event in the network or the router.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A frame arrives.
    Deliver(prop::sample::Index),
    /// A frame arrives and stays in flight, so that it can arrive again.
    Repeat(prop::sample::Index),
    /// A frame is lost.
    Lose(prop::sample::Index),
    /// The target sends all frames of the current attempt again that the caller lacks.
    Resume,
    /// A new attempt starts.
    Retry,
    /// The current attempt fails.
    Fail,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => any::<prop::sample::Index>().prop_map(Event::Deliver),
        2 => any::<prop::sample::Index>().prop_map(Event::Repeat),
        2 => any::<prop::sample::Index>().prop_map(Event::Lose),
        2 => Just(Event::Resume),
        1 => Just(Event::Retry),
        1 => Just(Event::Fail),
    ]
}

/// Frames that a target sends in an attempt, from an offset on.
fn frames_from(attempt: u32, offset: u32) -> impl Iterator<Item = Frame> {
    let pieces = (offset..TOTAL_PIECES).map(Body::Text);
    pieces.chain([Body::End(TOTAL_PIECES)]).map(move |body| Frame { attempt, body })
}

/// Simulated network, with the assembler and the reference implementation.
struct World {
    assembler: Assembler,
    reference: Reference,
    caller: Caller,
    frames_in_flight: Vec<Frame>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            assembler: Assembler::new(0),
            reference: Reference::default(),
            caller: Caller::default(),
            frames_in_flight: Vec::new(),
        };
        world.retry();
        world
    }

    fn retry(&mut self) {
        self.reference.current_attempt += 1;
        self.assembler.start_attempt(self.reference.current_attempt);
        self.resume();
    }

    fn resume(&mut self) {
        self.frames_in_flight
            .extend(frames_from(self.reference.current_attempt, self.assembler.next_offset()));
    }

    fn deliver(&mut self, frame: Frame) -> Action {
        self.reference.log.push((self.reference.current_attempt, frame));
        apply_frame(&mut self.assembler, &mut self.caller, frame)
    }

    fn apply_event(&mut self, event: Event) {
        let pick = |choice: prop::sample::Index, frames: &[Frame]| {
            (!frames.is_empty()).then(|| choice.index(frames.len()))
        };
        match event {
            Event::Deliver(choice) => {
                // One of the first three frames in flight, so that most frames arrive in order.
                let count = self.frames_in_flight.len().min(3);
                let Some(index) = pick(choice, &self.frames_in_flight[..count]) else { return };
                let frame = self.frames_in_flight.remove(index);
                self.deliver(frame);
            }
            Event::Repeat(choice) => {
                let Some(index) = pick(choice, &self.frames_in_flight) else { return };
                self.deliver(self.frames_in_flight[index]);
            }
            Event::Lose(choice) => {
                let Some(index) = pick(choice, &self.frames_in_flight) else { return };
                self.frames_in_flight.remove(index);
            }
            Event::Resume => self.resume(),
            Event::Retry => self.retry(),
            Event::Fail => {
                self.frames_in_flight.insert(
                    0,
                    Frame { attempt: self.reference.current_attempt, body: Body::Failed },
                );
            }
        }
    }
}

fn proptest_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config(0x05b1_1ce0))]

    /// After each event, the caller has received exactly the answer of the reference
    /// implementation.
    #[test]
    fn the_assembler_agrees_with_the_reference_implementation(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply_event(event);
            prop_assert_eq!(&world.caller, &world.reference.answer());
        }
    }

    /// The caller has always received a prefix of the pieces without gap or repetition, and an
    /// answer that is reported as complete has all its pieces.
    #[test]
    fn an_answer_has_no_gap_and_is_finished_only_if_complete(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply_event(event);
            let offsets: Vec<u32> = world.caller.pieces.iter().map(|&(_, offset)| offset).collect();
            let expected: Vec<u32> = (0..world.assembler.next_offset()).collect();
            prop_assert_eq!(offsets, expected);
            prop_assert!(world.caller.pieces.is_sorted());
            prop_assert_eq!(world.caller.is_complete, world.assembler.is_finished());
            prop_assert!(
                !world.caller.is_complete || world.assembler.next_offset() == TOTAL_PIECES
            );
        }
    }

    /// If no more frames are lost, a resumed attempt sends the missing pieces and the end.
    #[test]
    fn a_resumed_attempt_completes_the_answer(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply_event(event);
        }
        let before = world.caller.text();
        let attempt = world.reference.current_attempt;
        let missing_frames: Vec<Frame> =
            frames_from(attempt, world.assembler.next_offset()).collect();
        for frame in missing_frames {
            world.deliver(frame);
        }
        prop_assert!(world.caller.is_complete);
        prop_assert!(world.caller.text().starts_with(&before));
        prop_assert_eq!(world.caller.pieces.len(), TOTAL_PIECES as usize);
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
fn an_earlier_attempt_does_not_replace_the_current_one() {
    let mut assembler = Assembler::new(0);
    assembler.start_attempt(2);
    assembler.start_attempt(1);
    assert_eq!(assembler.on_piece(1, 0), Action::Drop);
    assert_eq!(assembler.on_piece(2, 0), Action::Deliver);
}

#[test]
fn an_end_that_contradicts_the_pieces_does_not_finish_the_answer() {
    let mut assembler = Assembler::new(3);
    assembler.start_attempt(1);
    assert_eq!(assembler.on_end(1, 2, Finish::Stop, TokenUsage::default()), Action::Fail);
    assert!(!assembler.is_finished());
}
