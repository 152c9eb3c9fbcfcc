use super::*;

#[test]
fn every_written_key_is_parsed_as_its_kind() {
    let cases = [
        (key(LEADER), StoreKey::Leader),
        (key(TERM), StoreKey::Term),
        (key(TYPES), StoreKey::MachineTypes),
        (key(REBUILDING), StoreKey::Rebuilding),
        (job_key("wk-1"), StoreKey::Job("wk-1")),
        (
            done_key("wk-1", 2048),
            StoreKey::DoneRange {
                job: "wk-1",
                base: 2048,
            },
        ),
        (
            part_key("wk-1", 7, 3),
            StoreKey::JobPart {
                job: "wk-1",
                generation: 7,
                number: 3,
            },
        ),
        (page_key(12), StoreKey::MachinePage(12)),
        (machine_key("m-1"), StoreKey::Machine("m-1")),
        (identity_key("0f"), StoreKey::Identity("0f")),
    ];
    for (key, kind) in cases {
        assert_eq!(StoreKey::parse(&key), Some(kind), "{key}");
    }
}

#[test]
fn foreign_keys_and_keys_with_malformed_numbers_are_not_parsed() {
    let names = ["nothing", "x/1", "d/wk-1", "d/wk-1/x", "s/wk-1/7", "p/x"];
    for name in names {
        assert_eq!(StoreKey::parse(&key(name)), None, "{name}");
    }
    assert_eq!(StoreKey::parse("j/wk-1"), None, "without the prefix");
}
