//! The command line: help texts, checks, exit codes, and conflicting edits of two operators.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use cornelpass_standin::platform;

fn run_router(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_cornelpass-router")).args(arguments).output();
    output.unwrap_or_else(|error| panic!("{error}"))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example_path(name: &str) -> String {
    format!("{}/../../docs/examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Temporary directory, which is removed with its files when the value is dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| panic!("{error}"));
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn replace_in_file(file: &str, from: &str, to: &str) {
    let text = std::fs::read_to_string(file).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert!(text.contains(from), "{text}");
    let written = std::fs::write(Path::new(file), text.replacen(from, to, 1));
    written.unwrap_or_else(|error| panic!("{file}: {error}"));
}

#[test]
fn help_lists_the_commands() {
    insta::assert_snapshot!(text(&run_router(&["--help"]).stdout));
    insta::assert_snapshot!(text(&run_router(&["check", "--help"]).stdout));
}

#[test]
fn an_invalid_command_line_exits_with_the_usage_code() {
    assert_eq!(run_router(&["serve"]).status.code(), Some(2));
    assert_eq!(run_router(&["check"]).status.code(), Some(2));
}

#[test]
fn the_examples_pass_the_checks() {
    for name in ["porto.toml", "bajio.toml"] {
        let output = run_router(&["check", "--table", &example_path(name)]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    }
    let output = run_router(&["check", "--settings", &example_path("router.toml")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

#[test]
fn findings_of_settings_and_table_come_in_one_report() {
    let directory = TempDir::new("cornelpass-check");
    let (settings, table) = (directory.path("router.toml"), directory.path("table.toml"));
    std::fs::copy(example_path("router.toml"), &settings).unwrap();
    std::fs::copy(example_path("porto.toml"), &table).unwrap();
    replace_in_file(&settings, "poll = ", "pole = ");
    replace_in_file(&table, "weight = 40", "weight = 0");
    let output = run_router(&["check", "--settings", &settings, "--table", &table]);
    assert_eq!(output.status.code(), Some(3));
    let report = text(&output.stderr).replace(&directory.path(""), "");
    insta::assert_snapshot!(report);
}

#[test]
fn a_process_that_does_not_respond_is_unreachable() {
    let output = run_router(&["status", "--console", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn the_second_of_two_conflicting_pushes_is_rejected() {
    let directory = TempDir::new("cornelpass-push");
    let platform = platform::serve(TcpListener::bind("127.0.0.1:0").unwrap());
    let address = platform.address().to_string();
    let run_table = |command: &str, file: &str| {
        let output = run_router(&["table", command, "--platform", &address, file]);
        (output.status.code(), text(&output.stdout) + &text(&output.stderr))
    };
    let (first, second) = (directory.path("one.toml"), directory.path("two.toml"));
    assert_eq!(run_table("pull", &first).0, Some(0));
    std::fs::copy(example_path("porto.toml"), &first).unwrap();
    assert_eq!(run_table("push", &first).0, Some(0));
    assert_eq!(run_table("pull", &second).0, Some(0));
    replace_in_file(&first, "weight = 40", "weight = 30");
    replace_in_file(&second, "weight = 40", "weight = 20");
    replace_in_file(&second, "weight = 20", "weight = 21");
    assert_eq!(
        run_table("push", &first),
        (Some(0), "written: organisation/conservatory-network\n".into())
    );
    let (code, printed) = run_table("push", &second);
    assert_eq!(code, Some(5), "{printed}");
    assert!(printed.contains("organisation/conservatory-network"), "{printed}");
}
