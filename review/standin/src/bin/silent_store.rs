//! All open connections to the store go silent, then the two machines that poll it most often leave
//! for good, and then the operator changes the configuration.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use review_standin::caller::send;
use review_standin::config::{ORDERS, PAY, Route, STATUS, config};
use review_standin::proxy::Proxy;
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble, wait_until};

/// `ContactMs` of the site.
const CONTACT: Duration = Duration::from_secs(3);

/// `ConfigApplyMs` of the site.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// `EvacuateMs` of the site.
const EVACUATE: Duration = Duration::from_secs(5);

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "q7wm3kd0x5vt1z8ryfha";
const ZONES: [&str; 3] = ["centro-a", "centro-b", "centro-c"];

/// Route that the last configuration no longer has.
const DROPPED: Route = Route { name: "dropped", prefix: "/dropped/", ..STATUS };

fn main() -> ExitCode {
    exit(play())
}

/// Returns whether the rules held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    let both = [KEPT_KEY, REVOKED_KEY];
    store.put("op", "config", &config(1, &[&STATUS, &PAY], &both));
    let mut targets = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("i-{index}");
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
    // The routers get to know each other.
    std::thread::sleep(Duration::from_secs(5));

    store.put("op", "config", &config(2, &[&STATUS, &PAY, &DROPPED], &both));
    record.say("operator: version 2 adds a route");
    let serves = |router: std::net::SocketAddr| {
        wait_until(CONFIG_APPLY, || send(&record, router, "/dropped/1", KEPT_KEY).1 == 200)
    };
    if !routers.iter().all(|router| serves(router.callers)) {
        return Err(std::io::Error::other("version 2 is not served"));
    }
    std::thread::sleep(Duration::from_secs(1));

    if has_trouble() {
        let count: usize = proxies.iter().map(Proxy::silence_open).sum();
        record.say(&format!("{count} open connections to the store go silent"));
    }
    std::thread::sleep(CONTACT + Duration::from_secs(1));
    for router in &mut routers[..2] {
        router.signal("TERM");
        record.say(&format!("SIGTERM: {} leaves for good", router.name));
        std::thread::sleep(Duration::from_millis(1_300));
    }
    for router in &mut routers[..2] {
        if !wait_until(Duration::from_secs(8), || router.has_ended()) {
            router.kill();
        }
        record.say(&format!("{} has ended", router.name));
    }
    std::thread::sleep(Duration::from_secs(1));

    let left = routers[2].callers;
    store.put("op", "config", &config(3, &[&STATUS, &PAY], &[KEPT_KEY]));
    store.put("op", "evacuate/centro-b", "{}");
    let acknowledged = record.now();
    record
        .say("operator: version 3 drops the route and a key; centro-b is evacuated; acknowledged");
    let (mut config_broken, mut served) = (0, 0);
    while record.now() < acknowledged + Duration::from_secs(12) {
        let late = record.now() > acknowledged + CONFIG_APPLY;
        for (path, key) in [("/dropped/1", KEPT_KEY), ("/status/1", REVOKED_KEY)] {
            let (id, status) = send(&record, left, path, key);
            let ran = targets.iter().any(|target| target.runs().iter().any(|run| run.id == id));
            if late && (ran || status == 200) {
                config_broken += 1;
            }
        }
        served += u32::from(send(&record, left, "/status/1", KEPT_KEY).1 == 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    let evacuated = targets[1].runs();
    let evac_broken = evacuated.iter().filter(|run| run.at > acknowledged + EVACUATE).count();
    record.say(&format!("allowed requests served: {served}"));
    record.say(&format!(
        "CONFIG: {config_broken} requests sent over 2 s after version 3 ran with the dropped route or key"
    ));
    record.say(&format!(
        "EVAC: {evac_broken} requests reached centro-b over 5 s after its evacuation"
    ));
    if served == 0 {
        return Err(std::io::Error::other("no allowed request was served"));
    }
    Ok(config_broken == 0 && evac_broken == 0)
}
