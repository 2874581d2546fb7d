//! The operator removes the last tenant from the configuration.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use review_standin::caller::send;
use review_standin::config::{ORDERS, PAY, STATUS, TENANT, config_with_tenants};
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble};

/// `ConfigApplyMs` of the site.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time for which requests are sent after that.
const WATCH: Duration = Duration::from_secs(5);

/// Key that the first configuration holds.
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Key that no configuration ever holds.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

fn main() -> ExitCode {
    exit(play())
}

/// Returns whether the rules held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    let routes = [&STATUS, &PAY];
    let held: &[&str] = &[KEY];
    store.put("op", "config", &config_with_tenants(1, &routes, &[(TENANT, held)]));
    let target = Target::start("i-1", ORDERS, "centro-a", Duration::from_millis(15), &record)?;
    store.put("servers", &target.id, &target.row("ready"));
    let fleet = Fleet::new(2)?;
    let routers = [
        fleet.start(1, "centro-a", store.address())?,
        fleet.start(2, "centro-b", store.address())?,
    ];
    if !routers.iter().all(|router| router.wait_until_ready()) {
        return Err(std::io::Error::other("a router is not ready"));
    }
    for router in &routers {
        let (_, with_key) = send(&record, router.callers, "/status/1", KEY);
        let (_, with_unknown) = send(&record, router.callers, "/status/1", UNKNOWN_KEY);
        record.say(&format!("version 1: key of the tenant {with_key}, unknown key {with_unknown}"));
        if with_key != 200 {
            return Err(std::io::Error::other("version 1 is not served"));
        }
    }

    // Version 2 no longer has the tenant; without the disruption, the tenant stays and only its key
    // is taken away.
    let no_keys: &[&str] = &[];
    let (tenants, text): (&[(&str, &[&str])], _) = match has_trouble() {
        true => (&[], "version 2 has no tenant any more"),
        false => (&[(TENANT, no_keys)], "version 2 takes the tenant's key away"),
    };
    store.put("op", "config", &config_with_tenants(2, &routes, tenants));
    let acknowledged = record.now();
    record.say(&format!("operator: {text}; acknowledged"));
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(500));

    let (mut dropped, mut never_held) = (0, 0);
    while record.now() < acknowledged + CONFIG_APPLY + WATCH {
        for router in &routers {
            for (key, count) in [(KEY, &mut dropped), (UNKNOWN_KEY, &mut never_held)] {
                let (id, status) = send(&record, router.callers, "/status/1", key);
                let ran = target.runs().iter().any(|run| run.id == id);
                *count += u32::from(ran || status == 200);
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    record.say(&format!("CONFIG: {dropped} requests ran with the key that version 2 dropped"));
    record.say(&format!("ROUTE: {never_held} requests ran with a key that no version ever held"));
    Ok(dropped == 0 && never_held == 0)
}
