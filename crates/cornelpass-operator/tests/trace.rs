//! The trace of a request, from the logs of several processes, with the relevant state changes.

use cornelpass_operator::trace::Trace;

/// Log of a collector, which adds the time and the instance before each line.
const COLLECTED: &str = r#"
 0.1 router-a {"timestamp":"2026-01-15T00:00:00.100000Z","level":"INFO","event":100,"name":"started","instance":"router-a"}
 0.2 router-a {"timestamp":"2026-01-15T00:00:00.200000Z","level":"INFO","event":200,"name":"config_applied","version":12}
 0.9 router-a {"timestamp":"2026-01-15T00:00:00.900000Z","level":"INFO","event":503,"name":"target_standing","target":"i-1","before":"good","after":"failing"}
 1.0 router-a {"timestamp":"2026-01-15T00:00:01.000000Z","level":"INFO","event":403,"name":"routed","id":"9c41","target":"i-1","attempt":1,"load":2,"bound":5,"standing":"failing"}
 1.1 router-a {"timestamp":"2026-01-15T00:00:01.100000Z","level":"INFO","event":403,"name":"routed","id":"other","target":"i-1","attempt":1}
 1.2 router-a {"timestamp":"2026-01-15T00:00:01.200000Z","level":"INFO","event":406,"name":"attempt_failed","id":"9c41","target":"i-1","reason":"target-lost","run":"unknown"}
 1.3 router-a {"timestamp":"2026-01-15T00:00:01.300000Z","level":"INFO","event":400,"name":"refused","id":"9c41","reason":"target-lost","run":"unknown","wait_ms":0}
not a line of a log {"no": "event"}
 9.9 router-a {"cut
"#;

/// Log of one process, without a prefix.
const OWN: &str = r#"{"timestamp":"2026-01-15T00:00:00.500000Z","level":"INFO","event":200,"name":"config_applied","version":13}
{"timestamp":"2026-01-15T00:00:02.500000Z","level":"INFO","event":403,"name":"routed","id":"9c41","target":"i-2","attempt":1}
{"timestamp":"2026-01-15T00:00:02.600000Z","level":"INFO","event":404,"name":"answered","id":"9c41","target":"i-2","ms":100}
"#;

fn logs() -> Vec<(String, String)> {
    [("collected", COLLECTED), ("router-b", OWN)]
        .map(|(name, text)| (name.to_owned(), text.to_owned()))
        .to_vec()
}

#[test]
fn steps_are_in_order_with_the_state_changes_of_their_instance() {
    insta::assert_snapshot!(Trace::from_logs("9c41", &logs()));
}

#[test]
fn a_request_that_no_log_contains_has_an_empty_trace() {
    assert!(Trace::from_logs("none", &logs()).is_empty());
}
