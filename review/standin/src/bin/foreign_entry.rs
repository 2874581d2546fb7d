//! Another writer puts an entry into the table of the servers whose `ColdLeftMs` is an integer that fits
//! no integer type. Then a server drains, and at last all routers are killed and started
//! again.

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standin::caller::send;
use review_standin::config::{ORDERS, PAY, STATUS, config};
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble, wait_until};

/// `DrainMs` of the site.
const DRAIN: Duration = Duration::from_secs(2);

/// `RecoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which requests are sent after `DrainMs`.
const WATCH: Duration = Duration::from_secs(6);

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ZONES: [&str; 3] = ["centro-a", "centro-b", "centro-c"];

/// Entry of the other writer: the example of the pages, with 10^22 in `ColdLeftMs`.
const ENTRY: &str = "{\"Service\":\"pedidos\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"centro-a\",\
                     \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\
                     \"ColdLeftMs\":10000000000000000000000,\"Sequence\":4}";

fn main() -> ExitCode {
    exit(play())
}

/// Returns whether the rule held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    store.put("op", "config", &config(1, &[&STATUS, &PAY], &[KEY]));
    let mut targets = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("i-{index}");
        let target = Target::start(&name, ORDERS, zone, Duration::from_millis(15), &record)?;
        store.put("servers", &name, &target.row("ready"));
        targets.push(target);
    }
    let fleet = Fleet::new(3)?;
    let mut routers = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        routers.push(fleet.start(number, zone, store.address())?);
    }
    if !routers.iter().all(|router| router.wait_until_ready()) {
        return Err(std::io::Error::other("a router is not ready"));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        store.put("servers", "cron-1", ENTRY);
        record.say(&format!("another writer: servers/cron-1 = {ENTRY}"));
    }
    thread::sleep(Duration::from_secs(3));

    store.put("servers", &targets[0].id, &targets[0].row("draining"));
    let acknowledged = record.now();
    record.say("server i-0 reports `draining`; acknowledged");
    let mut served = 0;
    while record.now() < acknowledged + DRAIN + WATCH {
        for router in &routers {
            let (_, status) = send(&record, router.callers, "/status/1", KEY);
            served += u32::from(status == 200);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let late = targets[0].runs().iter().filter(|run| run.at > acknowledged + DRAIN).count();
    record.say(&format!("requests served: {served}"));
    record.say(&format!("DRAIN: {late} requests reached i-0 over 2 s after the acknowledgement"));

    // What follows shows more of the same fault; the verdict rests on DRAIN.
    for router in &mut routers {
        router.kill();
    }
    routers.clear();
    for (number, zone) in (1..).zip(ZONES) {
        routers.push(fleet.start(number, zone, store.address())?);
    }
    let ready = || routers.iter().filter(|router| router.is_ready()).count();
    wait_until(RECOVERY, || ready() == routers.len());
    record.say(&format!(
        "all routers killed and started again: {} of {} are ready within {} s",
        ready(),
        routers.len(),
        RECOVERY.as_secs()
    ));
    if served == 0 {
        return Err(std::io::Error::other("no request was served"));
    }
    Ok(late == 0)
}
