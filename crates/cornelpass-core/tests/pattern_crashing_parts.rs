//! Failure pattern: a part of a prompt crashes every target that responds to it.
//!
//! No two requests with the part are alike, and they arrive at all routers. Other requests share
//! their caller and their other parts. The tests guard against crashes of one target after the
//! other, and against a quarantine of requests that crash nothing. The simulation has routers, which
//! exchange bulletins, and targets that crash or respond; a request is in progress at its target
//! until the simulation ends it.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::time::{Duration, Instant};

use common::cluster::{leaving_row, prompt, request, row, target_name};
use cornelpass_core::datagram::Datagram;
use cornelpass_core::fleet::{Fleet, Requirements};
use cornelpass_core::quarantine::bulletin::Bulletin;
use cornelpass_core::quarantine::feature::Feature;
use cornelpass_core::quarantine::{QUARANTINE_TIME, Quarantine, SEQUENCE_LIMIT};
use cornelpass_core::request::{Part, RetrySafety};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Content of one datagram that fits into a packet.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Time from the arrival of a request at its target to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);

const SYSTEM: Feature = Feature::Part(1);
const DOCUMENT: Feature = Feature::Part(2);
const CRASHING: Feature = Feature::Part(3);

/// Features of a request with the crashing part, which differs from all others by its content.
fn crashing(content: u64) -> Vec<Feature> {
    vec![Feature::Content(content), SYSTEM, DOCUMENT, CRASHING]
}

/// Features of a request that shares all parts but the crashing one.
fn sound(content: u64) -> Vec<Feature> {
    vec![Feature::Content(content), SYSTEM, DOCUMENT]
}

/// Routers whose bulletins all arrive, and a clock.
struct Routers {
    now: Instant,
    routers: Vec<Quarantine>,
    /// Short hash of the target of the next crash.
    next_target: u32,
}

impl Routers {
    fn new(count: usize) -> Self {
        let now = Instant::now() + QUARANTINE_TIME;
        Self { now, routers: vec![Quarantine::default(); count], next_target: 1 }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Delivers the bulletin of each router to all others.
    fn exchange(&mut self) {
        for sender in 0..self.routers.len() {
            let Some(bulletin) = self.routers[sender].bulletin(self.now) else { continue };
            for receiver in (0..self.routers.len()).filter(|receiver| *receiver != sender) {
                self.routers[receiver].apply(self.now, &bulletin);
            }
        }
    }

    /// Crashes a target with requests of one router in progress, which were sent just before.
    fn crash(&mut self, router: usize, in_progress: &[Vec<Feature>]) {
        let sent_at = self.now;
        self.advance(CRASH_DELAY);
        let features = in_progress.iter().flatten().map(|feature| (*feature, sent_at));
        self.routers[router].record_crash(self.now, self.next_target, features);
        self.next_target += 1;
        self.exchange();
    }

    fn complete(&mut self, router: usize, features: &[Feature]) {
        self.advance(Duration::from_millis(10));
        self.routers[router].record_response(self.now, features);
        self.exchange();
    }

    /// Number of routers that refuse a request.
    fn refusing(&self, features: &[Feature]) -> usize {
        let refuses = |router: &&Quarantine| router.remaining(self.now, features).is_some();
        self.routers.iter().filter(refuses).count()
    }
}

// Guards against a part that crashes one target after the other, each time in a new request and at
// another router.
#[test]
fn a_part_is_refused_by_all_routers_after_a_few_crashes() {
    let mut routers = Routers::new(5);
    for number in 0..SEQUENCE_LIMIT {
        assert_eq!(routers.refusing(&crashing(100)), 0, "after {number} crashes");
        routers.crash(number, &[crashing(number as u64)]);
        routers.complete(4, &sound(50 + number as u64));
    }
    assert_eq!(routers.refusing(&crashing(100)), 5);
    assert_eq!(routers.refusing(&sound(101)), 0);
}

// Guards against a refusal of sound requests with a part that has only been seen together with the
// crashing one, and against a quarantine that does not recognise the crashing part elsewhere.
#[test]
fn a_part_that_always_accompanies_the_crashing_one_is_not_refused_alone() {
    let mut routers = Routers::new(3);
    let other = [Feature::Content(7), Feature::Part(70)];
    for number in 0..SEQUENCE_LIMIT {
        routers.crash(number % 3, &[crashing(number as u64)]);
    }
    routers.complete(0, &other);
    assert_eq!((routers.refusing(&crashing(100)), routers.refusing(&sound(101))), (3, 0));

    // A request with the other parts completes, and leaves the crashing part alone in the group.
    routers.complete(1, &sound(102));
    let elsewhere = [Feature::Content(103), Feature::Part(80), CRASHING];
    assert_eq!((routers.refusing(&elsewhere), routers.refusing(&sound(104))), (3, 0));
}

// Guards against a refusal of the requests that were in progress beside the crashing ones.
#[test]
fn requests_beside_the_crashing_ones_are_not_refused() {
    let mut routers = Routers::new(3);
    let beside = |content| vec![Feature::Content(content), SYSTEM, Feature::Part(20 + content)];
    for number in 0..6 {
        routers.crash(0, &[crashing(number), beside(number), beside(number % 2)]);
        routers.complete(1, &[Feature::Content(200 + number), SYSTEM]);
        routers.complete(2, &beside(number % 2));
    }
    assert_eq!(routers.refusing(&crashing(100)), 3);
    for number in 0..6 {
        assert_eq!(routers.refusing(&beside(number)), 0);
    }
}

// Guards against a quarantine of a common part because an instance or a data centre has failed.
#[test]
fn targets_that_crash_together_are_no_evidence() {
    let mut routers = Routers::new(3);
    let sent_at = routers.now;
    routers.advance(CRASH_DELAY);
    for target in 0..40 {
        for router in &mut routers.routers {
            let features = sound(u64::from(target)).into_iter().map(|feature| (feature, sent_at));
            router.record_crash(routers.now, target, features);
        }
    }
    routers.exchange();
    routers.complete(0, &[Feature::Content(500), Feature::Part(90)]);
    assert_eq!(routers.refusing(&sound(501)), 0);
}

// Guards against the refusal of everything when the targets of a service crash at all requests. A
// content that crashes targets is still recognised when it is sent again.
#[test]
fn a_service_that_completes_nothing_does_not_quarantine_parts() {
    let mut routers = Routers::new(2);
    for number in 0..10 {
        routers.crash(number % 2, &[sound(number as u64)]);
    }
    assert_eq!(routers.refusing(&sound(100)), 0);
    for router in 0..SEQUENCE_LIMIT {
        routers.crash(router % 2, &[vec![Feature::Content(200)]]);
    }
    assert_eq!(routers.refusing(&[Feature::Content(200)]), 2);
    assert_eq!(routers.refusing(&[Feature::Content(201)]), 0);
}

// Guards against a quarantine that one router starts although another one has just completed a
// request with the part.
#[test]
fn a_response_at_any_router_clears_a_part() {
    let mut routers = Routers::new(3);
    for number in 0..10 {
        routers.crash(0, &[sound(number)]);
        routers.complete(1, &sound(100 + number));
    }
    routers.complete(0, &[Feature::Content(300)]);
    assert_eq!(routers.refusing(&sound(301)), 0);
}

// Guards against a quarantine that outlasts the proof that the requests are sound: a request that was
// in progress when it started gets a complete response.
#[test]
fn a_complete_response_ends_a_quarantine() {
    let mut routers = Routers::new(3);
    routers.complete(0, &[Feature::Content(300)]);
    for number in 0..SEQUENCE_LIMIT {
        routers.crash(0, &[crashing(number as u64)]);
        routers.complete(0, &[Feature::Content(301 + number as u64)]);
    }
    assert_eq!(routers.refusing(&crashing(100)), 3);
    routers.complete(2, &crashing(101));
    assert_eq!(routers.refusing(&crashing(102)), 0);
}

// Guards against a router that starts, or whose bulletins were lost, and sends the requests that the
// others refuse.
#[test]
fn a_router_that_starts_learns_what_is_refused() {
    let mut routers = Routers::new(3);
    for number in 0..SEQUENCE_LIMIT {
        routers.crash(0, &[crashing(number as u64)]);
        routers.complete(1, &sound(100 + number as u64));
    }
    for restarted in 0..3 {
        routers.routers[restarted] = Quarantine::default();
        // Later than the routers report the crashes themselves.
        routers.advance(Duration::from_secs(60));
        routers.exchange();
        assert_eq!(routers.refusing(&crashing(200)), 3, "after restart of {restarted}");
    }
    routers.advance(QUARANTINE_TIME);
    assert_eq!(routers.refusing(&crashing(300)), 0);
}

// Guards against bulletins that do not fit into one packet and never arrive.
#[test]
fn a_bulletin_fits_into_a_datagram() {
    let mut random = StdRng::seed_from_u64(23);
    let mut routers = Routers::new(1);
    let mut largest = 0;
    for _ in 0..60 {
        let count = random.random_range(1..200);
        let features: Vec<Vec<Feature>> = (0..count)
            .map(|_| {
                let shared = Feature::Part(u64::MAX - random.random_range(0..60));
                vec![Feature::Content(random.random()), shared, Feature::Part(random.random())]
            })
            .collect();
        routers.crash(0, &features);
        for shared in 0..30 {
            routers.routers[0].record_response(routers.now, &[Feature::Part(u64::MAX - shared)]);
        }
        let bulletin = routers.routers[0].bulletin(routers.now).unwrap();
        largest = largest.max(postcard::to_stdvec(&Datagram::Bulletin(bulletin)).unwrap().len());
    }
    assert!(largest <= MAX_DATAGRAM_BYTES, "{largest} bytes");
}

// Guards against the end of a target that was about to stop counting as a crash.
#[test]
fn the_end_of_a_leaving_target_is_no_crash() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Requirements::default());
    for number in 0..2 {
        fleet.apply_row(now, &target_name(number), row(number, "a"), 1);
    }
    fleet.apply_row(now, &target_name(1), leaving_row(row(1, "a")), 2);
    let crash = |fleet: &mut Fleet, number| {
        fleet.record_crash(now, &target_name(number), &crashing(1), now)
    };
    assert!(crash(&mut fleet, 0));
    assert!(!crash(&mut fleet, 1));
}

// Guards against features that leave out a shared part, or contain the last one.
#[test]
fn the_features_of_a_request_are_its_content_and_its_shared_parts() {
    let now = Instant::now();
    let mut request = request(now, RetrySafety::AtMostOnce, Some(prompt(1, 2, 3)));
    assert_eq!(request.features(), [Feature::Content(1), Feature::Part(1), Feature::Part(1_002)]);
    request.prompt.as_mut().unwrap().parts = vec![Part { id: 5, tokens: 10 }];
    assert_eq!(request.features(), [Feature::Content(1)]);
    request.prompt = None;
    assert_eq!(request.features(), [Feature::Content(1)]);
}

// Guards against a retry that crashes a second target and does not count, because it was sent before
// the crash of the first one was confirmed.
#[test]
fn a_retry_at_once_follows_the_crash() {
    let mut routers = Routers::new(1);
    let mut sent_at = routers.now;
    for target in 0..SEQUENCE_LIMIT {
        let failed_at = sent_at + CRASH_DELAY;
        let features = crashing(1).into_iter().map(|feature| (feature, sent_at));
        routers.routers[0].record_crash(failed_at, target as u32, features);
        sent_at = failed_at;
    }
    routers.now = sent_at;
    assert_eq!(routers.refusing(&crashing(1)), 1);
}

/// Time after the fifth crash from which the users' bound on further requests holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Crashes after which that time starts, and requests with the part that may still be sent.
const BOUND: (usize, usize) = (5, 3);

/// Outcome of a simulated day.
#[derive(Debug, Default)]
struct Day {
    crashes: Vec<Instant>,
    /// When requests with the crashing part were sent.
    sent: Vec<Instant>,
    refused_sound: usize,
}

impl Day {
    /// Number of requests with the crashing part that were sent too late.
    fn late_count(&self) -> usize {
        let Some(fifth) = self.crashes.get(BOUND.0 - 1) else { return 0 };
        self.sent.iter().filter(|at| **at > *fifth + CONTACT).count()
    }
}

/// Plays a day on which datagrams are lost and crashes and responses are seen by the router of the
/// request only.
fn play_day(routers: usize, crashing_share: f64, loss: f64, seed: u64) -> Day {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Routers::new(routers);
    // Features, router, target and time of sending of the requests in progress.
    let mut running: Vec<(Vec<Feature>, usize, u32, Instant)> = Vec::new();
    let mut day = Day::default();
    for content in 0..6_000_u64 {
        fleet.advance(Duration::from_millis(3));
        let now = fleet.now;
        let bad = random.random_bool(crashing_share);
        let document = Feature::Part(100 + random.random_range(0..60));
        let mut features = vec![Feature::Content(content), SYSTEM, document];
        features.extend(bad.then_some(CRASHING));
        let router = random.random_range(0..routers);
        if fleet.routers[router].remaining(now, &features).is_some() {
            day.refused_sound += usize::from(!bad);
        } else {
            day.sent.extend(bad.then_some(now));
            running.push((features, router, random.random_range(0..20), now));
        }
        let is_due = |sent_at: Instant| now.duration_since(sent_at) >= CRASH_DELAY;
        while let Some(index) = running.iter().position(|(.., sent_at)| is_due(*sent_at)) {
            let (features, router, target, _) = running.remove(index);
            if features.contains(&CRASHING) {
                day.crashes.push(now);
                let (lost, rest): (Vec<_>, Vec<_>) =
                    running.into_iter().partition(|(_, _, other, _)| *other == target);
                running = rest;
                let own = (features, router, target, now.checked_sub(CRASH_DELAY).unwrap());
                for (features, router, target, sent_at) in lost.into_iter().chain([own]) {
                    let features = features.into_iter().map(|feature| (feature, sent_at));
                    fleet.routers[router].record_crash(now, target, features);
                }
            } else {
                fleet.routers[router].record_response(now, &features);
            }
        }
        deliver_due(&mut fleet, &mut random, loss);
    }
    day
}

/// Delivers the bulletins that are due, each with a probability to each router.
fn deliver_due(fleet: &mut Routers, random: &mut StdRng, loss: f64) {
    let now = fleet.now;
    let mut bulletins: Vec<(usize, Bulletin)> = Vec::new();
    for (sender, router) in fleet.routers.iter_mut().enumerate() {
        // A regular report follows after some hundred steps.
        let due = router.take_bulletin_due() || random.random_bool(0.003);
        bulletins.extend(due.then(|| router.bulletin(now)).flatten().map(|news| (sender, news)));
    }
    for (sender, bulletin) in bulletins {
        for (receiver, router) in fleet.routers.iter_mut().enumerate() {
            if receiver != sender && !random.random_bool(loss) {
                router.apply(now, &bulletin);
            }
        }
    }
}

// Guards against evidence that gets lost between many routers: each of them sees few requests, and a
// part of the datagrams does not arrive.
#[test]
fn few_targets_crash_in_fleets_of_all_sizes() {
    for (routers, share, loss) in
        [(3, 0.05, 0.0), (5, 0.01, 0.1), (30, 0.05, 0.1), (68, 0.05, 0.3), (300, 0.02, 0.1)]
    {
        for seed in 0..4 {
            let day = play_day(routers, share, loss, seed);
            let case = format!("{routers} routers, share {share}, loss {loss}, seed {seed}");
            println!("{case}: {} crashes, {} sound refused", day.crashes.len(), day.refused_sound);
            assert!(day.late_count() <= BOUND.1, "{case}: {} too late", day.late_count());
            assert_eq!(day.refused_sound, 0, "{case}");
        }
    }
}
