//! A client sends an ambiguous request behind a well-formed one on the same connection, without a
//! wait for the first answer.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use review_standin::caller::head;
use review_standin::config::{ORDERS, PAY, STATUS, config};
use review_standin::http::{Connection, header};
use review_standin::record::Record;
use review_standin::router::Fleet;
use review_standin::store::Store;
use review_standin::target::Target;
use review_standin::{exit, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn main() -> ExitCode {
    exit(play())
}

/// Returns whether the rule held.
fn play() -> std::io::Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let store = Store::start()?;
    store.put("op", "config", &config(1, &[&STATUS, &PAY], &[KEY]));
    let target = Target::start("i-1", ORDERS, "centro-a", Duration::from_millis(15), &record)?;
    store.put("servers", &target.id, &target.row("ready"));
    let fleet = Fleet::new(1)?;
    let router = fleet.start(1, "centro-a", store.address())?;
    if !router.wait_until_ready() {
        return Err(std::io::Error::other("the router is not ready"));
    }

    // The last request carries a whole request in the value of a header. Its lines end in a line feed
    // alone in the one place where the hidden request begins, so that the value goes on there.
    let hidden =
        head("POST", "/pay/2f", "5555555555555555", KEY, 600) + "Content-Length: 0\r\n\r\n";
    let note =
        if has_trouble() { format!("Note: a\n\n{hidden}") } else { "Note: a\r\n\r\n".to_owned() };
    let sent = ["1111111111111111", "2222222222222222"];
    let mut plain = head("GET", "/status/2f", sent[0], KEY, 600) + "\r\n";
    record.line(&format!("client sends id {}, well-formed:\n{plain}", sent[0]));
    let last = head("GET", "/status/2f", sent[1], KEY, 600) + &note;
    record.line(&format!("client sends id {} directly behind it:\n{last:?}", sent[1]));
    plain.push_str(&last);
    let mut connection = Connection::open(router.callers, Duration::from_secs(2))?;
    connection.write(plain.as_bytes())?;
    let mut answers = 0;
    loop {
        match connection.read() {
            Ok(answer) => {
                answers += 1;
                let id = header(&answer.headers, "attempt-id").unwrap_or("-");
                record.say(&format!("client gets {} for id {id}", answer.first_line));
            }
            Err((error, _)) => {
                record.say(&format!("client's connection ends: {error}"));
                break;
            }
        }
    }
    let runs = target.runs();
    let unasked: Vec<_> = runs.iter().filter(|run| !sent.contains(&run.id.as_str())).collect();
    for run in &runs {
        record.say(&format!(
            "server ran {} {} with id {}, {} B",
            run.method, run.path, run.id, run.body_bytes
        ));
    }
    if !runs.iter().any(|run| run.id == sent[0]) || answers == 0 {
        return Err(std::io::Error::other("the well-formed request was not served"));
    }
    record.say(&format!("requests run that no client sent: {}", unasked.len()));
    Ok(unasked.is_empty())
}
