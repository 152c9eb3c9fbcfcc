use super::*;

const SAMPLE: &str = include_str!("../../../../scenarios/three-zones.toml");

#[test]
fn a_bad_scenario_is_refused_with_file_line_and_reason() {
    let s = Scenario::parse("s", SAMPLE).unwrap();
    assert!(s.zones.len() == 3 && !s.events.is_empty());
    let error_with = |from: &str, to: &str| {
        assert!(SAMPLE.contains(from), "{from}");
        let text = SAMPLE.replacen(from, to, 1);
        let at = text.find(to).unwrap();
        let line = text[..at].matches('\n').count() + 1;
        let e = Scenario::parse("s.toml", &text).unwrap_err().to_string();
        assert!(e.starts_with(&format!("s.toml:{line}: ")), "{e}");
        e
    };
    assert!(error_with("controllers = 3", "controllers = 0").contains("between 1 and 9"));
    assert!(error_with("tolerance = ", "tolerances = ").contains("tolerances"));
    assert!(error_with("tasks = 12", "tasks = 0").contains("tasks"));
    assert!(error_with("a_minute = 24", "a_minute = 'x'").contains("f64"));
    let with = |line: &str| format!("{line}\nload_s = 45");
    assert!(error_with("load_s = 45", &with("report_s = 0.01")).contains("report_s"));
    assert!(error_with("load_s = 45", &with("lease_s = 2.5")).contains("lease_s"));
    assert!(error_with("load_s = 45", &with("memory_mb = 1")).contains("memory_mb"));
    assert!(error_with("load_s = 45", &with("sockets = 10")).contains("sockets"));
    assert!(
        Scenario::parse("s", "")
            .unwrap_err()
            .to_string()
            .starts_with("s:1: ")
    );
}
