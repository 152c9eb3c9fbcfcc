use super::*;

#[test]
fn cpu_time_is_parsed_after_a_process_name_with_spaces_and_parentheses() {
    let stat = "42 (a (b) c) S 1 42 42 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 1 0 100 0 0";
    assert_eq!(cpu_seconds(stat), Some(2.0));
    assert_eq!(cpu_seconds("42 (a) S 1"), None);
}

#[test]
fn usage_of_this_process_is_read_and_none_of_a_missing_one() {
    let usage = process_usage(std::process::id()).expect("this process exists");
    assert!(usage.memory_mb > 0.1 && usage.threads >= 1, "{usage:?}");
    assert_eq!(process_usage(u32::MAX), None);
}
