//! Claims in the platform's table: outcomes, number of writes per call, and faults of the table.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod memory;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cornelpass_core::claim::Answer;
use cornelpass_core::clock::Manual;
use cornelpass_platform::Error;
use cornelpass_platform::claims::{
    Claim, Claims, FinishOutcome, IN_PROGRESS_TIMEOUT, INLINE_LIMIT_BYTES, StartOutcome,
    TableClaims, VoidOutcome,
};
use cornelpass_platform::http::Platform;
use cornelpass_platform::objects::Objects;
use cornelpass_platform::table::Table;
use cornelpass_standin::platform::{self, Counters, Faults, Mode};
use memory::{Fault, Memory};

const REMAINING: Duration = Duration::from_secs(10);

/// Address that refuses connections.
const REFUSING_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Object store that cannot be reached.
struct UnreachableObjects;

impl Objects for UnreachableObjects {
    fn get(&self, _key: &str) -> Result<Option<Vec<u8>>, Error> {
        Ok(None)
    }

    fn put(&self, _key: &str, _bytes: &[u8]) -> Result<(), Error> {
        Err(Error::Unreachable { message: "no object store".to_owned() })
    }
}

fn answer(body: impl Into<String>) -> Answer {
    Answer { status: 201, content_type: "application/json".to_owned(), body: body.into() }
}

fn claim(digest: u64, token: &str) -> Claim {
    Claim::new("oficina/aberta", "deposit 17 ç%/?", digest, token)
}

/// Claims over HTTP, with the stand-in of the platform.
fn remote() -> (platform::Platform, TableClaims) {
    let standin = platform::serve(TcpListener::bind("127.0.0.1:0").unwrap());
    let client = Arc::new(Platform::new(standin.address(), Duration::from_secs(5)));
    let store = store_with(client.clone(), client);
    (standin, store)
}

/// Claims in a table in memory, without an object store.
fn local() -> (Arc<Memory>, TableClaims) {
    let table = Arc::new(Memory::default());
    let store = store_with(Arc::clone(&table) as _, Arc::new(UnreachableObjects));
    (table, store)
}

fn store_with(table: Arc<dyn Table>, objects: Arc<dyn Objects>) -> TableClaims {
    TableClaims::new(table, objects).with_clock(Arc::new(Manual::new()))
}

#[test]
fn a_call_takes_two_commits_and_one_read() {
    let (standin, store) = remote();
    let first = claim(1, "a");
    assert_eq!(store.start(&first, REMAINING), StartOutcome::Run);
    let started = Counters { commits: 1, ..Counters::default() };
    assert_eq!(standin.counters(), started);
    assert_eq!(store.finish(&first, &answer("paid"), REMAINING), FinishOutcome::Recorded);
    assert_eq!(standin.counters(), Counters { commits: 2, reads: 1, ..Counters::default() });
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::Answered(answer("paid")));
    let repeated = Counters { commits: 2, conflicts: 1, reads: 2, ..Counters::default() };
    assert_eq!(standin.counters(), repeated);
}

#[test]
fn a_large_answer_is_stored_in_the_object_store() {
    let (standin, store) = remote();
    let (first, large) = (claim(1, "a"), answer("ç".repeat(INLINE_LIMIT_BYTES)));
    assert_eq!(store.start(&first, REMAINING), StartOutcome::Run);
    assert_eq!(store.finish(&first, &large, REMAINING), FinishOutcome::Recorded);
    assert_eq!(standin.counters().object_writes, 1);
    assert!(standin.row(&first.row_key()).unwrap().to_string().len() < 1_000);
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::Answered(large));
    let small = answer("x".repeat(INLINE_LIMIT_BYTES));
    let second = Claim::new("oficina", "other", 1, "c");
    assert_eq!(store.start(&second, REMAINING), StartOutcome::Run);
    assert_eq!(store.finish(&second, &small, REMAINING), FinishOutcome::Recorded);
    assert_eq!(standin.counters().object_writes, 1);
}

#[test]
fn a_repeated_start_gets_the_outcome_of_its_key() {
    let (_table, store) = local();
    let first = claim(1, "a");
    assert_eq!(store.start(&first, REMAINING), StartOutcome::Run);
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::InProgress);
    assert_eq!(store.start(&claim(2, "c"), REMAINING), StartOutcome::KeyReused);
    assert_eq!(store.start(&claim(1, "a"), REMAINING), StartOutcome::InProgress, "second delivery");
    assert_eq!(store.start(&first, REMAINING), StartOutcome::Run, "the same delivery again");
    let other = Claim::new("bajio", "deposit 17 ç%/?", 2, "d");
    assert_eq!(
        store.start(&other, REMAINING),
        StartOutcome::Run,
        "a key belongs to an organisation"
    );
}

#[test]
fn a_call_that_never_ended_is_reported_as_unknown_and_not_run_again() {
    let (table, store) = local();
    let clock = Arc::new(Manual::new());
    let store = store.with_clock(Arc::clone(&clock) as _);
    let first = claim(1, "a");
    assert_eq!(store.start(&first, REMAINING), StartOutcome::Run);
    clock.advance(IN_PROGRESS_TIMEOUT);
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::InProgress);
    assert_eq!(store.void(&claim(1, "b"), REMAINING), VoidOutcome::Void);
    clock.advance(Duration::from_millis(1));
    assert_eq!(store.start(&claim(1, "c"), REMAINING), StartOutcome::OutcomeUnknown);
    assert_eq!(table.state().commits, 2);
    assert_eq!(store.finish(&first, &answer("late"), REMAINING), FinishOutcome::Recorded);
    assert_eq!(store.start(&claim(1, "c"), REMAINING), StartOutcome::Answered(answer("late")));
}

#[test]
fn a_lost_answer_to_the_start_is_recognised() {
    for fault in [Fault::LoseResponse, Fault::LoseRequest, Fault::Delay] {
        let (table, store) = local();
        table.set_next_fault(fault);
        assert_eq!(store.start(&claim(1, "a"), REMAINING), StartOutcome::Run, "{fault:?}");
        table.apply_delayed(0);
        assert_eq!(table.state().commits, 1, "{fault:?}");
        assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::InProgress, "{fault:?}");
    }
}

#[test]
fn a_lost_answer_to_the_finish_is_recognised() {
    for fault in [Fault::LoseResponse, Fault::LoseRequest, Fault::Delay] {
        let (table, store) = local();
        let first = claim(1, "a");
        assert_eq!(store.start(&first, REMAINING), StartOutcome::Run);
        table.set_next_fault(fault);
        assert_eq!(
            store.finish(&first, &answer("ok"), REMAINING),
            FinishOutcome::Recorded,
            "{fault:?}"
        );
        table.apply_delayed(0);
        assert_eq!(table.state().commits, 2, "{fault:?}");
        assert_eq!(
            store.finish(&first, &answer("ok"), REMAINING),
            FinishOutcome::Recorded,
            "{fault:?}"
        );
        assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::Answered(answer("ok")));
    }
}

#[test]
fn an_attempt_is_void_only_before_it_starts() {
    let (table, store) = local();
    let (lost, next) = (claim(1, "lost"), claim(1, "next"));
    assert_eq!(store.void(&lost, REMAINING), VoidOutcome::Void);
    assert_eq!(store.start(&lost, REMAINING), StartOutcome::Void);
    assert_eq!(store.start(&next, REMAINING), StartOutcome::Run);
    assert_eq!(store.void(&next, REMAINING), VoidOutcome::Refused);
    assert_eq!(
        store.release(&claim(1, "next"), REMAINING),
        VoidOutcome::Refused,
        "another delivery"
    );
    assert_eq!(store.finish(&next, &answer("ok"), REMAINING), FinishOutcome::Recorded);
    assert_eq!(store.void(&next, REMAINING), VoidOutcome::Refused);
    let commits = table.state().commits;
    assert_eq!(store.void(&claim(1, "late"), REMAINING), VoidOutcome::Void, "the call has ended");
    assert_eq!(table.state().commits, commits);
}

#[test]
fn a_start_that_arrives_late_fails_after_the_void() {
    let (table, store) = local();
    let delayed = claim(1, "delayed");
    table.state().faults = vec![Fault::Refuse, Fault::Delay];
    assert_eq!(
        store.start(&delayed, REMAINING),
        StartOutcome::Unavailable { may_have_taken_effect: true }
    );
    assert_eq!(store.void(&delayed, REMAINING), VoidOutcome::Void);
    table.apply_delayed(0);
    assert_eq!(store.start(&delayed, REMAINING), StartOutcome::Void);
    assert_eq!(store.start(&claim(1, "next"), REMAINING), StartOutcome::Run);
}

#[test]
fn a_released_claim_is_free_for_the_next_attempt() {
    let (table, store) = local();
    let first = claim(1, "a");
    table.state().faults = vec![Fault::Refuse, Fault::Delay];
    assert_eq!(
        store.start(&first, REMAINING),
        StartOutcome::Unavailable { may_have_taken_effect: true }
    );
    table.apply_delayed(0);
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::InProgress);
    assert_eq!(store.release(&first, REMAINING), VoidOutcome::Void);
    assert_eq!(store.start(&claim(1, "b"), REMAINING), StartOutcome::Run);
    assert_eq!(store.release(&first, REMAINING), VoidOutcome::Void, "release is idempotent");
}

#[test]
fn an_outage_is_reported_as_unavailable() {
    let (standin, store) = remote();
    standin.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    let first = claim(1, "a");
    assert_eq!(
        store.start(&first, REMAINING),
        StartOutcome::Unavailable { may_have_taken_effect: true }
    );
    assert_eq!(store.void(&first, REMAINING), VoidOutcome::Unavailable);
    assert_eq!(store.finish(&first, &answer("ok"), REMAINING), FinishOutcome::Unavailable);
    let client = Arc::new(Platform::new(REFUSING_ADDRESS, Duration::from_secs(5)));
    let store = store_with(client.clone(), client);
    assert_eq!(
        store.start(&first, REMAINING),
        StartOutcome::Unavailable { may_have_taken_effect: false }
    );
}

/// Eight processes start the same calls at the same time while the platform loses requests and
/// responses. Guards against a call that two processes run, or that no process runs.
#[test]
fn racing_processes_run_each_call_once() {
    let standin = platform::serve(TcpListener::bind("127.0.0.1:0").unwrap());
    standin.set_faults(Faults { lose_answers: 3, lose_requests: 3, ..Faults::default() });
    let address = standin.address();
    let run_keys: Vec<String> = thread::scope(|scope| {
        let processes: Vec<_> = (0..8)
            .map(|process| scope.spawn(move || run_calls(address, &process.to_string())))
            .collect();
        processes.into_iter().flat_map(|process| process.join().unwrap()).collect()
    });
    let expected_keys: Vec<String> = (0..CALLS).map(|call| call.to_string()).collect();
    let mut sorted_keys = run_keys.clone();
    sorted_keys.sort_by_key(|key| key.parse::<usize>().unwrap());
    assert_eq!(sorted_keys, expected_keys);
}

/// Number of calls that each process starts.
const CALLS: usize = 20;

/// Starts all calls, and returns the keys of the calls that this process ran.
fn run_calls(address: SocketAddr, process: &str) -> Vec<String> {
    let client = Arc::new(Platform::new(address, Duration::from_secs(5)));
    let store = store_with(client.clone(), client);
    let mut run_keys = Vec::new();
    for call in 0..CALLS {
        let claim = Claim::new("oficina", call.to_string(), 1, process);
        if store.start(&claim, REMAINING) == StartOutcome::Run {
            run_keys.push(call.to_string());
            assert_eq!(store.finish(&claim, &answer("ok"), REMAINING), FinishOutcome::Recorded);
        }
    }
    run_keys
}

#[test]
fn nothing_is_written_after_the_deadline() {
    let (table, store) = local();
    assert_eq!(
        store.start(&claim(1, "a"), Duration::ZERO),
        StartOutcome::Unavailable { may_have_taken_effect: false }
    );
    assert_eq!(store.void(&claim(1, "a"), Duration::ZERO), VoidOutcome::Unavailable);
    assert_eq!(table.state().commits, 0);
}
