//! Benchmarks of one placement decision and one admission decision.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

use cornelpass_core::admission::{Controller, Decision, Mean, Outcome, Request};
use cornelpass_core::placement::{Candidate, Policy};
use cornelpass_core::table::{self, Kind, Organisation, Target};
use divan::Bencher;
use strum::IntoEnumIterator;

fn main() {
    divan::main();
}

/// Arguments of the placement benchmark: each policy with each number of targets.
fn placements() -> Vec<(Policy, usize)> {
    let with_policies = |targets| Policy::iter().map(move |policy| (policy, targets));
    [9, 100, 600].into_iter().flat_map(with_policies).collect()
}

#[divan::bench(args = placements())]
fn place(bencher: Bencher<'_, '_>, (policy, targets): (Policy, usize)) {
    let placement = policy.build();
    let names: Vec<String> = (0..targets).map(|n| format!("engine-{n}")).collect();
    let candidates: Vec<_> =
        names.iter().map(|name| Candidate::new(name, 1).with_load(3, 9)).collect();
    // The key advances by 2^64 divided by the golden ratio, so that successive keys are spread
    // evenly.
    let mut key = 0_u64;
    bencher.bench_local(|| {
        key = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
        placement.rank(key, divan::black_box(&candidates))
    });
}

/// Admits and releases one request while `load` others are admitted, with samples of the mean load
/// from `routers` routers.
///
/// All requests belong to one organisation and are admitted. The bound is 120 (the mean of 80 times
/// 150 %) and the limit 200, so that shares apply only above a load of 100. No case exceeds that
/// load: the target is never contended, and the share of the organisation is not computed.
#[divan::bench(args = [(2, 10, 8), (370, 10, 80), (370, 10, 95), (370, 2200, 95)])]
fn admit(bencher: Bencher<'_, '_>, (routers, organisations, load): (u32, u32, u64)) {
    let now = Instant::now();
    let mut controller = Controller::new();
    let row = Organisation { weight: 1, limit: 1000, in_service: true };
    let rows: BTreeMap<String, Organisation> =
        (0..organisations).map(|n| (format!("organisation-{n}"), row.clone())).collect();
    controller.configure(&target(), &table::Policy::default(), &rows);
    for router in 0..routers {
        controller.record_mean(now, &router.to_string(), Mean { milli: 80_000, age_ms: 0 });
    }
    let mut digest = 0;
    let mut admit_next = |controller: &mut Controller| {
        digest += 1;
        controller.admit(now, &Request { organisation: "organisation-1", digest, cost: 1 })
    };
    (0..load).for_each(|_| {
        admit_next(&mut controller);
    });
    bencher.bench_local(|| {
        if let Decision::Admit(ticket) = admit_next(&mut controller) {
            controller.release(now, ticket, Outcome::Completed);
        }
    });
}

fn target() -> Target {
    Target {
        data_centre: "norte-1".to_owned(),
        kind: Kind::Model,
        serves: "brief".to_owned(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
        weight: 1,
        limit: 200,
        cold_limit: 200,
        cold_seconds: 0,
        in_service: true,
    }
}
