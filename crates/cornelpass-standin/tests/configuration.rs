//! An accepted version is in force everywhere within 3 s, and never reverts.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use common::{accepted, head, served, versions};
use cornelpass_standin::fleet::{Fleet, Layout, wait_until};
use cornelpass_standin::platform::{Faults, Mode};
use cornelpass_standin::process::{Process, WAIT_TIMEOUT, program_path};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Time within which an accepted version is in force everywhere.
const BOUND: Duration = Duration::from_secs(3);

/// Accepted changes whose way is timed.
const CHANGES: u32 = 30;

/// Step by which the changes shift against the polls.
const PHASE_STEP: Duration = Duration::from_millis(31);

/// Exit code of an edit that somebody else's edit forestalled.
const CONFLICT: i32 = 5;

fn fleet() -> Fleet {
    Fleet::start(Layout { engines: 4, routers: 3, ..Layout::default() }).unwrap()
}

fn organisation(weight: u32) -> Value {
    json!({"weight": weight, "limit": 64, "in_service": true})
}

/// Writes a row as an operator does, behind the faults of the store's network.
fn change(fleet: &Fleet, weight: u32) {
    fleet.platform.put_row("config/organisation/org-1", organisation(weight));
}

fn processes(fleet: &Fleet) -> Vec<&Process> {
    fleet.routers.iter().chain(&fleet.sidecars).collect()
}

/// Time until each process has a version in force.
fn spread(processes: &[&Process], version: u64, since: Instant) -> Vec<Duration> {
    let mut times = vec![None; processes.len()];
    while times.contains(&None) {
        for (time, process) in times.iter_mut().zip(processes) {
            if time.is_none() && served(process) >= version {
                *time = Some(since.elapsed());
            }
        }
        assert!(since.elapsed() < WAIT_TIMEOUT, "version {version} is not in force: {times:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    times.into_iter().flatten().collect()
}

/// Makes a change; returns the time until each process has it in force.
fn timed(fleet: &Fleet, weight: u32) -> Vec<Duration> {
    let before = head(fleet);
    let since = Instant::now();
    change(fleet, weight);
    let _ = accepted(fleet, before);
    spread(&processes(fleet), head(fleet), since)
}

fn assert_in_time(what: &str, times: &[Duration]) {
    let slowest = times.iter().max().unwrap();
    println!("{what}: {slowest:?}");
    assert!(*slowest <= BOUND, "{what}: {times:?}");
}

fn assert_never_reverts(process: &Process) {
    let versions = versions(process);
    assert!(versions.is_sorted_by(|one, next| one < next), "{versions:?}");
}

#[test]
fn a_change_is_in_force_everywhere_within_3_s() {
    let fleet = fleet();
    let mut times = Vec::new();
    for number in 0..CHANGES {
        std::thread::sleep(PHASE_STEP * number);
        times.extend(timed(&fleet, number + 2));
    }
    times.sort_unstable();
    let at = |percent: usize| times[times.len() * percent / 100];
    let last = times[times.len() - 1];
    println!("{} of {CHANGES}: {:?} {:?} {last:?}", times.len(), at(50), at(99));
    assert!(at(99) <= BOUND, "{times:?}");
    processes(&fleet).into_iter().for_each(assert_never_reverts);
}

#[test]
fn versions_do_not_revert_under_faults() {
    let mut fleet = fleet();
    fleet.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    assert_in_time("lost answer to the acceptance", &timed(&fleet, 2));

    let before = head(&fleet);
    fleet.platform.put_row("config/organisation/org-1", json!({"weight": -1, "surplus": true}));
    wait_until(|| fleet.routers.iter().any(|router| findings(router) == 3)).unwrap();
    assert_eq!(head(&fleet), before);
    assert_in_time("after an invalid table", &timed(&fleet, 3));

    fleet.platform.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    fleet.routers.iter().for_each(|router| drop(router.wait_for_event(202).unwrap()));
    fleet.platform.set_faults(Faults::default());
    assert_in_time("right after an outage", &timed(&fleet, 4));

    fleet.sidecars[0].signal(Signal::STOP).unwrap();
    let before = head(&fleet);
    let since = Instant::now();
    change(&fleet, 5);
    let _ = accepted(&fleet, before);
    let others: Vec<&Process> =
        processes(&fleet).into_iter().filter(|p| p.id() != fleet.sidecars[0].id()).collect();
    assert_in_time("beside a frozen peer", &spread(&others, head(&fleet), since));
    let woken = Instant::now();
    fleet.sidecars[0].signal(Signal::CONT).unwrap();
    assert_in_time(
        "in a peer that was frozen",
        &spread(&[&fleet.sidecars[0]], head(&fleet), woken),
    );
    processes(&fleet).into_iter().for_each(assert_never_reverts);

    restart_in_an_outage(&mut fleet);
    processes(&fleet).into_iter().for_each(assert_never_reverts);
}

/// A router and a process beside a target start anew while the store is down: neither applies
/// anything but the latest version.
fn restart_in_an_outage(fleet: &mut Fleet) {
    let latest = head(fleet);
    fleet.platform.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    let listen = fleet.sidecars[1].address("routers").unwrap().to_string();
    fleet.sidecars[1].kill();
    fleet.sidecars[1] = fleet.start_sidecar(1, &listen).unwrap();
    let peer = fleet.sidecars[2].address("routers").unwrap();
    let more = format!("peers = [\"{peer}\"]");
    fleet.routers[1].kill();
    let platform = fleet.platform.address();
    fleet.routers[1] = fleet.start_router_with(1, "127.0.0.1:0", platform, &more).unwrap();
    let since = Instant::now();
    spread(&[&fleet.sidecars[1], &fleet.routers[1]], latest, since);
    for process in [&fleet.sidecars[1], &fleet.routers[1]] {
        assert_eq!(versions(process), [latest]);
    }
    fleet.platform.set_faults(Faults::default());
    assert_in_time("after restarts in an outage", &timed(fleet, 6));
}

/// Findings in the operators' rows that a router has reported.
fn findings(router: &Process) -> usize {
    let words = ["weight", "surplus", "limit"];
    let lines = router.log_lines();
    let named = |line: &Value| words.iter().any(|word| line["finding"].to_string().contains(word));
    lines.iter().filter(|line| line["event"] == 201 && named(line)).count()
}

/// Place of the router that holds the acceptor's turn.
fn holder(fleet: &Fleet) -> usize {
    let lease = fleet.platform.row("accepted/turn").unwrap();
    let holder = lease["holder"].as_str().unwrap();
    let holds = |index: &usize| holder.starts_with(&format!("router-{}/", index + 1));
    (0..fleet.routers.len()).find(holds).unwrap()
}

/// What a command of an operator came to.
struct Outcome {
    code: Option<i32>,
    text: String,
}

/// Runs a command on the table.
fn table(fleet: &Fleet, command: &str, file: &Path) -> Outcome {
    let platform = fleet.platform.address().to_string();
    let mut run = Command::new(program_path("cornelpass-router").unwrap());
    let run = run.args(["table", command, "--platform", &platform]).arg(file);
    let output = run.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    Outcome { code: output.status.code(), text: String::from_utf8_lossy(&text).into_owned() }
}

/// An operator's file, pulled from the table.
fn pulled(fleet: &Fleet, name: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("cornelpass-{}-{name}", std::process::id()));
    let outcome = table(fleet, "pull", &file);
    assert_eq!(outcome.code, Some(0), "{}", outcome.text);
    file
}

/// Changes the first occurrence of a text in a file after another one.
fn edit(file: &Path, after: &str, from: &str, to: &str) {
    let text = std::fs::read_to_string(file).unwrap();
    let (head, tail) = text.split_once(after).unwrap();
    let tail = tail.replacen(from, to, 1);
    std::fs::write(file, format!("{head}{after}{tail}")).unwrap();
}

#[test]
fn two_operators_who_race_lose_neither_edit_silently() {
    let fleet = Fleet::start(Layout::default()).unwrap();
    let [one, two, three] = ["one", "two", "three"].map(|name| pulled(&fleet, name));
    edit(&one, "[organisation.org-1]", "weight = 1", "weight = 7");
    edit(&two, "[organisation.org-1]", "weight = 1", "weight = 8");
    edit(&three, "[organisation.org-2]", "weight = 1", "weight = 9");
    let outcomes = [&one, &two, &three].map(|file| table(&fleet, "push", file));
    let codes = outcomes.each_ref().map(|outcome| outcome.code);
    assert_eq!(codes, [Some(0), Some(CONFLICT), Some(0)], "{}", outcomes[1].text);
    assert!(outcomes[1].text.contains("organisation/org-1"), "{}", outcomes[1].text);
    let weight = |name: &str| fleet.platform.row(name).unwrap()["weight"].clone();
    assert_eq!(weight("config/organisation/org-1"), 7);
    assert_eq!(weight("config/organisation/org-2"), 9);
    wait_until(|| {
        let snapshot = fleet.platform.row(&format!("accepted/snapshot/{}", head(&fleet))).unwrap();
        let weight = |name: &str| snapshot["table"]["organisation"][name]["weight"].clone();
        weight("org-1") == 7 && weight("org-2") == 9
    })
    .unwrap();
    for file in [one, two, three] {
        let _ = std::fs::remove_file(file.with_extension("base"));
        let _ = std::fs::remove_file(file);
    }
}

/// Rows are scanned by one router at a time, twice a second; when it is killed another one takes its turn.
#[test]
fn one_router_scans_at_a_time_and_another_takes_over() {
    let mut fleet = fleet();
    let before = fleet.platform.counters();
    std::thread::sleep(BOUND);
    let after = fleet.platform.counters();
    let scans = after.scans - before.scans;
    assert!(scans <= 2 * BOUND.as_secs() + 1, "{scans} scans");
    let applied = |process: &Process| versions(process).len();
    let accepts = holder(&fleet);
    fleet.routers[accepts].kill();
    fleet.routers.remove(accepts);
    let since = Instant::now();
    let times = timed(&fleet, 2);
    println!("{scans} scans, in force everywhere {:?} after the kill", since.elapsed());
    assert!(times.iter().max() <= Some(&(BOUND + BOUND)), "{times:?}");
    assert!(fleet.routers.iter().all(|router| applied(router) == 2));
}
