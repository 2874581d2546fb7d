//! Declarations of the operators' whole table in TOML.

use cornelpass_core::table::{Kind, Table};
use cornelpass_platform::declaration;

const PORTO: &str = include_str!("../../../docs/examples/porto.toml");
const BAJIO: &str = include_str!("../../../docs/examples/bajio.toml");

/// Findings of a declaration, one a line.
fn report(text: &str) -> String {
    match declaration::parse(text) {
        Ok(_) => "no findings\n".to_owned(),
        Err(findings) => findings.iter().map(|finding| format!("{finding}\n")).collect(),
    }
}

#[test]
fn findings_have_lines() {
    insta::assert_snapshot!(report(
        r#"[policy]
load_multiple_percent = 80
load_floor = 4
retry_percent = 20.5

[organisation.oficina]
weight = 0x10
limit = -1
in_service = true
wieght = 2

[data_centre.norte-1]
region = "norte"
in_service = 1979-05-27

[target."engine 1"]
data_centre = "norte-2"
kind = "model"
serves = "briefs"
address = "10.0.0.1:9000"
weight = 1
limit = 4
cold_limit = 8
in_service = true

[targets.engine-2]
weight = 1
"#
    ));
}

#[test]
fn errors_of_syntax_have_lines() {
    insta::assert_snapshot!(report("[policy]\nload_floor = \n\n[organisation.a\nweight 3\n"));
}

#[test]
fn a_declaration_is_the_table_that_serde_reads() {
    for text in [PORTO, BAJIO] {
        let expected: Table = toml::from_str(text).unwrap();
        assert_eq!(declaration::parse(text), Ok(expected.clone()));
        let written = toml::to_string(&expected).unwrap();
        assert_eq!(declaration::parse(&written), Ok(expected));
    }
}

#[test]
fn examples_have_the_sizes_of_the_users_deployments() {
    for (text, service) in [(PORTO, "commissions"), (BAJIO, "orders")] {
        assert_eq!(report(text), "no findings\n");
        let table = declaration::parse(text).unwrap();
        let targets_of_kind =
            |kind| table.targets.values().filter(move |target| target.kind == kind);
        assert_eq!(table.data_centres.len(), 3);
        assert_eq!(table.organisations.len(), 10);
        assert_eq!(targets_of_kind(Kind::Model).count(), 9);
        assert_eq!(table.targets_serving(Kind::Service, service).count(), 3);
        assert!(table.targets.values().all(|target| table.is_in_service(target)));
        assert!(table.targets.values().all(|target| !target.address.ip().is_loopback()));
    }
}
