use super::*;
use serde_json::json;

fn request(service: &StateService, method: &str, path: &str, body: Value) -> (u16, Value) {
    let response = service.handle_request(&Request {
        method: method.into(),
        path: path.into(),
        body: body.to_string().into_bytes(),
    });
    let body = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    (response.status, body)
}

fn transaction(service: &StateService, body: Value) -> (u16, Value) {
    request(service, "POST", "/txn", body)
}

/// Controllers look up a leader's lease by such a transaction, since a renewal would extend the lease.
#[test]
fn a_put_under_an_ended_lease_is_refused_whatever_the_conditions() {
    let service = StateService::default();
    let (_, lease) = request(&service, "POST", "/leases", json!({"ttl_ms": 600_000}));
    let put = |condition: u64| {
        json!({"if": [{"key": "a", "stamp": condition}],
               "apply": [{"put": "b", "data": 1, "tenancy": lease["tenancy"]}]})
    };
    let (status, body) = transaction(&service, put(7));
    assert_eq!((status, &body["failed"]), (409, &json!(["a"])));
    let path = format!("/leases/{}", lease["tenancy"]);
    assert_eq!(request(&service, "DELETE", &path, Value::Null).0, 200);
    for condition in [0, 7] {
        let refused = transaction(&service, put(condition));
        assert_eq!(refused, (400, json!({"error": "no such lease"})));
    }
    assert_eq!(request(&service, "DELETE", &path, Value::Null).0, 404);
    let renewal = format!("{path}/renew");
    assert_eq!(request(&service, "POST", &renewal, Value::Null).0, 404);
}

#[test]
fn requests_beyond_the_limits_are_refused() {
    let service = StateService::default();
    let put = |key: &str, value: Value| json!({"if": [], "apply": [{"put": key, "data": value}]});
    let many = |n: usize| {
        let changes: Vec<Value> = (0..n)
            .map(|i| json!({"put": format!("k{i}"), "data": 1}))
            .collect();
        json!({"if": [], "apply": changes})
    };
    for valid in [
        put("a", json!(1)),
        put(&"k".repeat(200), json!(1)),
        many(32),
    ] {
        assert_eq!(transaction(&service, valid).0, 200);
    }
    let invalid = [
        put("", json!(1)),
        put("a b", json!(1)),
        put(&"k".repeat(201), json!(1)),
        put("a", json!("x".repeat(8192))),
        many(33),
    ];
    for invalid in invalid {
        assert_eq!(transaction(&service, invalid.clone()).0, 400, "{invalid}");
    }
    for ttl_ms in [99, 600_001] {
        let (status, _) = request(&service, "POST", "/leases", json!({"ttl_ms": ttl_ms}));
        assert_eq!(status, 400);
    }
}

#[test]
fn a_page_ends_at_512_kib() {
    let service = StateService::default();
    for n in 100..200 {
        let value = "x".repeat(8000);
        let put = json!({"if": [], "apply": [{"put": format!("k{n}"), "data": value}]});
        assert_eq!(transaction(&service, put).0, 200);
    }
    let (_, page) = request(&service, "GET", "/kv?under=k&page=1000", Value::Null);
    let items = page["items"].as_array().unwrap();
    assert!((60..66).contains(&items.len()), "{}", items.len());
    assert_eq!(page["more"], true);
    let path = format!(
        "/kv?under=k&since={}",
        items[items.len() - 1]["key"].as_str().unwrap()
    );
    let (_, rest) = request(&service, "GET", &path, Value::Null);
    assert_eq!(rest["items"].as_array().unwrap().len(), 100 - items.len());
    assert_eq!(rest["more"], false);
}
