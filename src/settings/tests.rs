use super::*;

fn parse_with(quota: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{"host_name": "n0", "zone": "a", "public_addr": "127.0.0.1:1", "back": "127.0.0.1:2",
            "services": {{"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"}}, "new": 1,
            "params": {{"teams": [{{"name": "t"}}], "cloud": {{"rps": 10.0, "list_lag_s": 1.0}},
                "workers": {{"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0}},
                "state": {{"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16}}
                {quota}}}}}"#
    );
    Settings::parse(&text).map_err(|e| e.to_string())
}

#[test]
fn a_quota_has_defaults_and_is_rejected_with_its_field_if_invalid() {
    let s = parse_with("").unwrap();
    assert_eq!((s.memory_mb, s.max_sockets), (256.0, 1024));
    let s = parse_with(r#", "quota": {"mem_mb": 98, "other": [1]}"#).unwrap();
    assert_eq!((s.memory_mb, s.max_sockets), (98.0, 1024));
    for (quota, field) in [
        (r#""mem_mb": 0"#, "mem_mb"),
        (r#""mem_mb": -5"#, "mem_mb"),
        (r#""mem_mb": 8"#, "mem_mb"),
        (r#""cores": 0"#, "cores"),
        (r#""fd_limit": -1"#, "fd_limit"),
        (r#""fd_limit": 20"#, "fd_limit"),
    ] {
        let error = parse_with(&format!(r#", "quota": {{{quota}}}"#)).unwrap_err();
        assert!(
            error.starts_with(&format!("params.quota.{field}: ")),
            "{error}"
        );
    }
    let error = parse_with(r#", "quota": {"mem_mb": "much"}"#).unwrap_err();
    assert!(error.contains("much") && error.contains("line"), "{error}");
    assert!(parse_with(r#", "quota": {"mem_mb": 1e999}"#).is_err());
}

#[test]
fn an_error_states_the_field_and_the_reason() {
    let error = |quota: &str| parse_with(&format!(r#", "quota": {{{quota}}}"#)).unwrap_err();
    assert_eq!(
        error(r#""mem_mb": 8"#),
        "params.quota.mem_mb: 8 is too little, at least 32 are needed"
    );
    assert_eq!(
        error(r#""mem_mb": -5"#),
        "params.quota.mem_mb: -5 must be above 0"
    );
    assert_eq!(
        error(r#""fd_limit": 20"#),
        "params.quota.fd_limit: 20 is too little, at least 96 are needed"
    );
}

#[test]
fn an_error_names_the_file_and_has_the_cause_as_its_source() {
    use std::error::Error;
    let error = Settings::load(Path::new("/nonexistent/settings.json")).unwrap_err();
    assert_eq!(error.to_string(), "/nonexistent/settings.json");
    let cause = error.source().unwrap().to_string();
    assert_eq!(cause, "No such file or directory (os error 2)");
}
