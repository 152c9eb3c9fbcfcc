use super::*;

#[test]
fn processor_time_is_found_behind_any_name() {
    let stat = "42 (a (b) c) S 1 42 42 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 1 0 100 0 0";
    assert_eq!(cpu_seconds(stat), Some(2.0));
    assert_eq!(cpu_seconds("42 (a) S 1"), None);
}

#[test]
fn this_process_takes_something() {
    let usage = of(std::process::id()).expect("it is there");
    assert!(usage.memory_mb > 0.1 && usage.threads >= 1, "{usage:?}");
    assert_eq!(of(u32::MAX), None);
}
