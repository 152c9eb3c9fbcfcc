//! The list of tests that are known to fail (`KNOWN-RED.txt`) takes nothing else out of CI.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

const ALL: &str =
    "core::a::one\ncore::a::two\ncore::b::three\nsettings::four\ntests::twin\ntests::twin\n";

/// The names that are not run, or why the list is refused.
fn read(file: &str, list: Option<&str>) -> Result<String, String> {
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
    let mut names = script.stdin.take().unwrap();
    names.write_all(ALL.as_bytes()).unwrap();
    drop(names);
    let out = script.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if out.status.success() {
        Ok(text(&out.stdout))
    } else {
        Err(text(&out.stderr))
    }
}

#[test]
fn only_what_a_well_formed_list_names_is_not_run() {
    assert_eq!(read("none", None).unwrap(), "");
    let list = "core::a::two | a cause, in words | #32\nsettings::four | another | #7\n";
    assert_eq!(
        read("two", Some(list)).unwrap(),
        "core::a::two\nsettings::four\n"
    );

    let refused = |file: &str, list: &str, why: &str| {
        let said = read(file, Some(list)).unwrap_err();
        assert!(said.contains(why), "{file}: {said}");
    };
    let line = |name: &str| format!("{name} | cause | #32\n");
    let four: String = [
        "core::a::one",
        "core::a::two",
        "core::b::three",
        "settings::four",
    ]
    .map(line)
    .concat();
    refused("four", &four, "more than three");
    refused("unknown", &line("core::a::five"), "is no test");
    // A part of a name is none.
    refused("part", &line("core::a"), "is no test");
    refused("twin", &line("tests::twin"), "names 2 tests");
    refused("twice", &line("core::a::one").repeat(2), "there twice");
    for (n, list) in [
        "core::a::one",
        "core::a::one | cause",
        "core::a::one |  | #32",
        "core::a::one | cause | 32",
        "# core::a::one | cause | #32",
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
