//! Settings: the values that are read, and the findings of an invalid file.

use std::path::Path;
use std::time::Duration;

use cornelpass_operator::settings::{self, Drain};

/// Valid settings of a router.
const ROUTER: &str = r#"
placement = "hash"
peers = ["10.1.0.11:7400"]

[instance]
name = "router-1"
data_centre = "norte-1"

[listen]
callers = "10.1.0.1:8080"
operators = "10.1.0.1:9080"

[platform]
address = "10.9.0.1:7000"
poll = "500ms"

[drain]
notice = "2s"
limit = "1m"
"#;

/// Valid settings of a sidecar, with defaults where possible.
const SIDECAR: &str = r#"
[instance]
name = "sidecar-1"
data_centre = "norte-1"

[listen]
routers = "10.1.0.11:7400"
operators = "10.1.0.11:9080"

[target]
name = "engine-1"
address = "10.1.0.11:8000"

[platform]
address = "10.9.0.1:7000"
"#;

/// Findings of invalid settings of a router.
fn findings(text: &str) -> String {
    match settings::parse_router(Path::new("router.toml"), text) {
        Ok(settings) => panic!("no findings: {settings:?}"),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn a_router_reads_its_settings() {
    let settings = settings::parse_router(Path::new("router.toml"), ROUTER).unwrap();
    assert_eq!(settings.placement, "hash");
    assert_eq!(settings.platform.poll, Duration::from_millis(500));
    assert_eq!(settings.drain.limit, Duration::from_secs(60));
    assert_eq!(settings.peers.len(), 1);
}

#[test]
fn a_sidecar_has_defaults() {
    let settings = settings::parse_sidecar(Path::new("sidecar.toml"), SIDECAR).unwrap();
    assert_eq!(settings.target, "engine-1");
    assert_eq!(settings.platform.poll, Duration::from_secs(1));
    assert_eq!(settings.drain, Drain::default());
}

#[test]
fn every_finding_is_reported_with_its_line() {
    let text = ROUTER
        .replace("\"hash\"", "\"fastest\"")
        .replace("\"10.1.0.11:7400\"", "\"engine-1\", 7")
        .replace("name = \"router-1\"", "nmae = \"router-1\"")
        .replace("\"500ms\"", "500")
        .replace("\"1m\"", "\"1 fortnight\"")
        .replace("10.1.0.1:9080", "10.1.0.1:8080");
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn contradictions_and_missing_sections_are_reported() {
    let text = ROUTER
        .replace("\"500ms\"", "\"10s\"")
        .replace("\"1m\"", "\"1s\"")
        .replace("[listen]", "[log]\nformat = \"xml\"\n[lisden]");
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn a_file_that_is_not_toml_is_reported_with_its_line() {
    insta::assert_snapshot!(findings("[instance]\nname = router-1\n"));
}

#[test]
fn an_empty_file_names_every_missing_section() {
    insta::assert_snapshot!(findings(""));
}
