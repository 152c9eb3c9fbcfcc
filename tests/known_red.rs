//! Tests of `.ci/known-red`: CI skips the tests listed in `KNOWN-RED.txt` and no others.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

const TEST_NAMES: &str =
    "core::a::one\ncore::a::two\ncore::b::three\nsettings::four\ntests::twin\ntests::twin\n";

/// Runs `.ci/known-red` on the list. Returns the names of the tests that CI skips, or the error for which the list is
/// refused.
fn run_known_red(file: &str, list: Option<&str>) -> Result<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let _ = std::fs::remove_file(&path);
    if let Some(text) = list {
        std::fs::write(&path, text).unwrap();
    }
    let mut script = Command::new("bash")
        .arg(root.join(".ci/known-red"))
        .arg(&path)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = script.stdin.take().unwrap();
    stdin.write_all(TEST_NAMES.as_bytes()).unwrap();
    drop(stdin);
    let output = script.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if output.status.success() {
        Ok(text(&output.stdout))
    } else {
        Err(text(&output.stderr))
    }
}

#[test]
fn ci_skips_exactly_the_listed_tests() {
    assert_eq!(run_known_red("none", None).unwrap(), "");
    let list = "core::a::two | cargo test two, seed 5 | a cause, in words | #32\n\
                settings::four | cargo test four | another | #7\n";
    assert_eq!(
        run_known_red("two", Some(list)).unwrap(),
        "core::a::two\nsettings::four\n"
    );
    let entry = |name: &str| format!("{name} | cargo test | seen | #32\n");
    let all_listed = [
        "core::a::one",
        "core::a::two",
        "core::b::three",
        "settings::four",
    ];
    assert_eq!(
        run_known_red("all_listed", Some(&all_listed.map(entry).concat())).unwrap(),
        all_listed.map(|name| format!("{name}\n")).concat()
    );
}

#[test]
fn a_list_with_an_invalid_entry_is_refused() {
    let refused = |file: &str, list: &str, expected: &str| {
        let error = run_known_red(file, Some(list)).unwrap_err();
        assert!(error.contains(expected), "{file}: {error}");
    };
    let entry = |name: &str| format!("{name} | cargo test | seen | #32\n");
    refused("unknown", &entry("core::a::five"), "is no test");
    // A prefix of a test's name does not select the test.
    refused("part", &entry("core::a"), "is no test");
    refused("twin", &entry("tests::twin"), "names 2 tests");
    refused("twice", &entry("core::a::one").repeat(2), "listed twice");
    let fifth_unknown = [
        "core::a::one",
        "core::a::two",
        "core::b::three",
        "settings::four",
        "core::a::five",
    ]
    .map(entry)
    .concat();
    refused("fifth", &fifth_unknown, "line 5: core::a::five is no test");
    for (n, list) in [
        "core::a::one",
        "core::a::one | cause",
        "core::a::one | cause | #32",
        "core::a::one | cargo test |  | #32",
        "core::a::one |  | seen | #32",
        "core::a::one | cargo test | seen | 32",
        "core::a::one | cargo test | seen | more | #32",
        "# core::a::one | cargo test | seen | #32",
        "",
    ]
    .iter()
    .enumerate()
    {
        refused(
            &format!("malformed-{n}"),
            &format!("{list}\n"),
            "is not 'test",
        );
    }
}
