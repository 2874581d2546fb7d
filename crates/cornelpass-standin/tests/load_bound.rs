//! No engine has more load than the configured multiple of the mean load while most chats prefer
//! the same engine.
//!
//! The tests guard against an overload of that engine when many chats surge, and against chats that
//! are moved away from their preferred engine although the engine never reached the load floor. The
//! routers and sidecars are separate processes, and each router sends only a part of the load.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod chats;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use chats::{Chat, Outcome, router_addresses, running_requests, status};
use cornelpass_standin::engine::Options;
use cornelpass_standin::fleet::{Fleet, Layout, wait_until};
use cornelpass_standin::process::Process;
use serde_json::json;

const ENGINES: usize = 4;

/// Engine that the surging chats prefer.
const HOT_ENGINE: &str = "engine-1";

/// Surging chats of all three organisations, each with one request at a time. Each request costs
/// one unit of load.
const SURGING_CHATS: usize = 42;

/// Turns of each surging chat.
const TURNS: usize = 3;

/// Chats that prefer other engines.
const OTHER_CHATS: usize = 12;

/// Configured multiple of the mean load, in percent.
const MULTIPLE_PERCENT: usize = 150;

/// Load up to which the multiple of the mean does not limit an engine.
const LOAD_FLOOR: usize = 10;

/// Time between two reads of the loads.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a fleet without load, and waits until every target has received the mean load from the
/// routers, so that its bound is the load floor.
fn fleet(multiple_percent: usize, placement: &str) -> Fleet {
    let engine = Options { inter_token: Duration::from_millis(50), ..Options::default() };
    let policy = json!({
        "load_multiple_percent": multiple_percent, "load_floor": LOAD_FLOOR, "retry_percent": 100,
    });
    let router_settings = format!("placement = \"{placement}\"\n");
    let layout = Layout { engines: ENGINES, services: 0, routers: 3, ..Layout::default() };
    let layout = Layout { engine, cold_limit: 64, policy, router_settings, ..layout };
    let fleet = Fleet::start(layout).unwrap();
    let has_bound = |sidecar| status(sidecar)["report"]["bound"] == LOAD_FLOOR;
    wait_until(|| fleet.sidecars.iter().all(has_bound)).unwrap();
    fleet
}

/// Some chats of an organisation whose preferred engine meets a condition.
fn chats_preferring(
    organisation: usize,
    count: usize,
    tokens: u32,
    condition: fn(&str) -> bool,
) -> Vec<Chat> {
    let chat = |number: usize| Chat::new(organisation, &format!("chat-{number}"), tokens);
    (0..).map(chat).filter(|chat| condition(&chat.preferred_target(ENGINES))).take(count).collect()
}

/// Sends all turns of some chats: the chats at the same time, the turns of a chat one after
/// another and through the routers in turn.
fn spawn_surge(chats: &[Chat], routers: &[SocketAddr]) -> Vec<JoinHandle<Vec<Outcome>>> {
    let spawn = |(index, chat): (usize, &Chat)| {
        let (chat, routers) = (chat.clone(), routers.to_vec());
        let router = move |turn: usize| routers[(index + turn) % routers.len()];
        thread::spawn(move || {
            (0..TURNS).map(|turn| chat.send_with_retries(router(turn), turn)).collect()
        })
    };
    chats.iter().enumerate().map(spawn).collect()
}

/// Highest load that the sidecar of each engine shows until the callers have finished.
fn watch_peaks(fleet: &Fleet, callers: &[JoinHandle<Vec<Outcome>>]) -> Vec<usize> {
    let mut peaks = vec![0; ENGINES];
    while callers.iter().any(|caller| !caller.is_finished()) {
        for (peak, sidecar) in peaks.iter_mut().zip(&fleet.sidecars) {
            let load = status(sidecar)["report"]["load"].as_u64().unwrap();
            *peak = (*peak).max(usize::try_from(load).unwrap());
        }
        thread::sleep(WATCH_INTERVAL);
    }
    peaks
}

/// Highest load that the configured multiple allows, given the highest load of each engine.
///
/// The mean load is at most the sum of the highest loads, divided by the sum of the weights. A
/// target whose load is below the bound accepts one more request. Its load can therefore exceed the
/// bound by less than the cost of one request, which is one unit here, so the result is rounded up.
fn highest_allowed_load(peaks: &[usize]) -> usize {
    let scaled_sum = MULTIPLE_PERCENT * peaks.iter().sum::<usize>();
    scaled_sum.div_ceil(100 * ENGINES).max(LOAD_FLOOR)
}

/// Whether all targets are idle by the reports that a router has.
fn shows_no_load(router: &Process) -> bool {
    let status = status(router);
    status["targets"].as_object().unwrap().values().all(|target| target["report"]["load"] == 0)
}

/// Observations of a surge.
struct Observations {
    /// Highest load of each engine.
    peaks: Vec<usize>,
    /// Chats that sent a turn while the fleet had no other load, with the outcomes.
    without_load: Vec<(Chat, Outcome)>,
    /// Chats that sent turns during the surge and do not prefer the hot engine, with the outcomes.
    during_surge: Vec<(Chat, Outcome)>,
}

/// Runs a surge. Other chats send a turn before the surge and two turns during it. Each surging
/// chat sends a short turn after it, without other load.
fn observe(fleet: &Fleet) -> Observations {
    let routers = router_addresses(fleet);
    let surging_chats_of = |organisation| {
        chats_preferring(organisation, SURGING_CHATS / 3, 20, |engine| engine == HOT_ENGINE)
    };
    let surging_chats: Vec<Chat> = (1..=3).flat_map(surging_chats_of).collect();
    let other_chats = chats_preferring(3, OTHER_CHATS, 2, |engine| engine != HOT_ENGINE);
    let send = |chat: &Chat, turn| (chat.clone(), chat.send_with_retries(routers[turn % 3], turn));
    let mut without_load: Vec<_> = other_chats.iter().map(|chat| send(chat, 0)).collect();
    let threads = spawn_surge(&surging_chats, &routers);
    let (mut peaks, during_surge) = thread::scope(|scope| {
        let other_callers = scope.spawn(|| {
            wait_until(|| running_requests(fleet) >= SURGING_CHATS / 2).unwrap();
            let turn = |turn| other_chats.iter().map(move |chat| send(chat, turn));
            (1..=2).flat_map(turn).collect::<Vec<_>>()
        });
        (watch_peaks(fleet, &threads), other_callers.join().unwrap())
    });
    for outcome in threads.into_iter().flat_map(|thread| thread.join().unwrap()) {
        assert!(outcome.is_complete, "{outcome:?}");
    }
    for (peak, engine) in peaks.iter_mut().zip(&fleet.engines) {
        *peak = (*peak).max(engine.counts().peak);
    }
    wait_until(|| fleet.routers.iter().all(shows_no_load)).unwrap();
    let short_chats = surging_chats.iter().map(|chat| Chat { tokens: 2, ..chat.clone() });
    without_load.extend(short_chats.map(|chat| send(&chat, TURNS)));
    Observations { peaks, without_load, during_surge }
}

#[test]
fn no_engine_exceeds_the_bound_and_chats_leave_only_engines_that_reached_the_load_floor() {
    let fleet = fleet(MULTIPLE_PERCENT, "bounded");
    let Observations { peaks, without_load, during_surge } = observe(&fleet);
    let bound = highest_allowed_load(&peaks);
    println!("peaks {peaks:?}, bound {bound}");
    assert!(peaks.iter().all(|peak| *peak <= bound), "{peaks:?} above {bound}");
    // The surge was large enough to reach the load floor.
    assert!(peaks[0] >= LOAD_FLOOR, "{peaks:?}");
    for (chat, outcome) in without_load {
        assert!(outcome.is_complete, "{chat:?} {outcome:?}");
        assert_eq!(outcome.target, chat.preferred_target(ENGINES), "{chat:?} {outcome:?}");
    }
    for (chat, outcome) in during_surge {
        assert!(outcome.is_complete, "{chat:?} {outcome:?}");
        let preferred = chat.preferred_target(ENGINES);
        let index = preferred.strip_prefix("engine-").unwrap().parse::<usize>().unwrap() - 1;
        let reached_floor = peaks[index] >= LOAD_FLOOR;
        assert!(outcome.target == preferred || reached_floor, "{chat:?} {outcome:?} {peaks:?}");
    }
}

/// Shows that the surge is large enough to exceed the bound. The fleet has hash placement, which
/// ignores the bound, and a multiple of 1,000 %.
#[test]
fn the_same_chats_exceed_the_bound_without_bounded_placement() {
    let fleet = fleet(1_000, "hash");
    let Observations { peaks, .. } = observe(&fleet);
    let bound = highest_allowed_load(&peaks);
    println!("peaks {peaks:?}, bound {bound}");
    assert!(peaks[0] > bound, "{peaks:?} within {bound}");
}
