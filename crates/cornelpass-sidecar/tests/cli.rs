//! The help of the command line.
//!
//! This test also makes cargo build the program, which the process tests start.

use std::process::Command;

#[test]
fn help_names_the_commands() {
    let output = Command::new(env!("CARGO_BIN_EXE_cornelpass-sidecar")).arg("--help").output();
    let text = String::from_utf8(output.unwrap().stdout).unwrap();
    assert!(text.contains("run") && text.contains("check"), "{text}");
}
