//! All open connections to the store go silent, one of three routers is restarted as planned, and half
//! a minute after the start some servers leave, one after the other.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use review_standin::caller::send;
use review_standin::config::{ORDERS, PAY, STATUS, config};
use review_standin::proxy::Proxy;
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble, wait_until};

/// `DrainMs` of the site.
const DRAIN: Duration = Duration::from_secs(2);

const ZONES: [&str; 3] = ["centro-a", "centro-b", "centro-c"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Servers that stay.
const STAYING: usize = 3;

/// Servers that leave, and the time between two of them.
const LEAVING: usize = 40;
const GAP: Duration = Duration::from_millis(120);

const SILENCE_AT: Duration = Duration::from_secs(6);
const RESTART_AT: Duration = Duration::from_secs(10);
const LEAVE_AT: Duration = Duration::from_millis(26_800);

/// Clients of the first two routers; each waits 20 ms between two requests.
const CLIENTS: usize = 12;

fn main() -> ExitCode {
    exit(play())
}

fn sleep_until(record: &Record, time: Duration) {
    thread::sleep(time.saturating_sub(record.now()));
}

/// Returns whether the rule held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    store.put("op", "config", &config(1, &[&STATUS, &PAY], &[KEY]));
    let mut targets = Vec::new();
    for index in 0..STAYING + LEAVING {
        let (name, zone) = (format!("i-{index}"), ZONES[index % 3]);
        let target = Target::start(&name, ORDERS, zone, Duration::from_millis(15), &record)?;
        store.put("servers", &name, &target.row("ready"));
        targets.push(target);
    }
    let fleet = Fleet::new(3)?;
    let (mut routers, mut proxies) = (Vec::new(), Vec::new());
    for (number, zone) in (1..).zip(ZONES) {
        let proxy = Proxy::start(store.address())?;
        routers.push(fleet.start(number, zone, proxy.address())?);
        proxies.push(proxy);
    }
    if !routers.iter().all(|router| router.wait_until_ready()) {
        return Err(std::io::Error::other("a router is not ready"));
    }
    sleep_until(&record, SILENCE_AT);
    if has_trouble() {
        let count: usize = proxies.iter().map(Proxy::silence_open).sum();
        record.say(&format!("{count} open connections to the store go silent"));
    }
    sleep_until(&record, RESTART_AT);
    let restarted = &mut routers[2];
    restarted.signal("TERM");
    record.say(&format!("SIGTERM: {} is restarted", restarted.name));
    if !wait_until(Duration::from_secs(8), || restarted.has_ended()) {
        restarted.kill();
    }
    *restarted = fleet.start(3, ZONES[2], proxies[2].address())?;
    if !restarted.wait_until_ready() {
        return Err(std::io::Error::other("the restarted router is not ready"));
    }
    record.say(&format!("{} is ready again", restarted.name));

    sleep_until(&record, LEAVE_AT - Duration::from_secs(2));
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, router) = (record.clone(), routers[number % 2].callers);
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let (_, status) = send(&record, router, "/status/1", KEY);
                    served.fetch_add(u32::from(status == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    sleep_until(&record, LEAVE_AT);
    let mut left = Vec::new();
    for target in &targets[STAYING..] {
        store.remove("servers", &target.id);
        left.push((target, record.now()));
        record.line(&format!("store has acknowledged: {} is gone from the list", target.id));
        thread::sleep(GAP);
    }
    record.say(&format!("{LEAVING} servers have left the list, one every {} ms", GAP.as_millis()));
    thread::sleep(DRAIN + Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let mut late = 0;
    for (target, gone) in left {
        for run in target.runs().iter().filter(|run| run.at > gone + DRAIN) {
            late += 1;
            record.say(&format!(
                "request {} reached {} {} ms after the acknowledgement",
                run.id,
                target.id,
                (run.at - gone).as_millis()
            ));
        }
    }
    record.say(&format!("requests served: {}", served.load(Ordering::SeqCst)));
    record.say(&format!("DRAIN: {late} requests reached a server over 2 s after it was gone"));
    if served.load(Ordering::SeqCst) == 0 {
        return Err(std::io::Error::other("no request was served"));
    }
    Ok(late == 0)
}
