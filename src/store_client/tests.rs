use super::*;
use crate::http::Response;
use crate::store_client::list_tests::serve_store;
use crate::wire::{Change, Condition};
use serde_json::{Value, json};

/// Guards against a leader key that never expires: a lease is looked up by the response to a put under it, since a
/// renewal would extend the lease of a leader that has failed.
#[test]
fn a_put_under_an_ended_lease_is_not_reported_as_malformed() {
    let addr = serve_store(|request| {
        let transaction: Value = serde_json::from_slice(&request.body).unwrap();
        match transaction["apply"][0]["tenancy"].as_u64() {
            Some(7) => Response::new(409, br#"{"failed":["a"],"ledger":5}"#.to_vec()),
            Some(8) => Response::error(400, "no such lease"),
            _ => Response::error(400, "malformed"),
        }
    });
    let mut client = StoreClient::new(addr);
    let mut put_under = |lease| {
        client.perform(&StoreRequest::CompareAndSwap(CompareAndSwap {
            conditions: vec![Condition {
                key: "a".into(),
                version: 1,
            }],
            changes: vec![Change::Put {
                key: "a".into(),
                value: json!({}),
                lease: Some(lease),
            }],
        }))
    };
    assert!(matches!(put_under(7), StoreOutcome::Conflict { .. }));
    assert!(matches!(put_under(8), StoreOutcome::LeaseEnded));
    assert!(matches!(put_under(9), StoreOutcome::Invalid(_)));
}
