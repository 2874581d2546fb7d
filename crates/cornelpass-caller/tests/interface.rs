//! The interface documentation for callers lists each reason with its HTTP status.

use cornelpass_caller::problem::Problem;
use cornelpass_core::refusal::Reason;
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../../docs/INTERFACE.md");

#[test]
fn each_reason_is_listed_with_its_status() {
    let missing: Vec<String> = Reason::iter()
        .map(|reason| format!("| `{reason}` | {} |", Problem::refused(reason).status().as_u16()))
        .filter(|row| !PAGE.contains(row.as_str()))
        .collect();
    assert_eq!(missing, Vec::<String>::new());
}
