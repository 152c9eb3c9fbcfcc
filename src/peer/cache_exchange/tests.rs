use super::*;

/// Lengths in a frame come from the network: a body shorter than they say must not be decoded.
#[test]
fn frames_round_trip_and_truncated_ones_are_rejected() {
    let request = CacheRequest {
        summary_only: true,
        after: "burlusher/j/wk-000412".into(),
    };
    let page = CachePage {
        store_loaded: true,
        complete_stores: vec!["4e".into(), "4f".into()],
        has_state: true,
        term: 7,
        more: true,
        items: vec![("burlusher/j/wk-1".into(), "{}".repeat(40_000))],
    };
    let (a, b) = (encode_cache_request(&request), encode_cache_page(&page));
    let body = |f: &[u8]| crate::peer::read_frame(&mut &f[..]).unwrap().1;
    assert_eq!(decode_cache_request(&body(&a)), Some(request));
    assert_eq!(decode_cache_page(&body(&b)), Some(page));
    for n in 0..body(&a).len() {
        assert_eq!(decode_cache_request(&body(&a)[..n]), None);
    }
    for n in (0..body(&b).len()).step_by(997) {
        assert_eq!(decode_cache_page(&body(&b)[..n]), None);
    }
}

/// The frames of the request and the page in the test below, encoded by hand in the layout that earlier
/// versions read.
const REQUEST_FRAME: &str =
    "6c72756201080000180000000115006275726c75736865722f6a2f776b2d303030343132";
const PAGE_FRAME: &str = "6c727562010900003300000007000000000000000101010200000001000000020034650200346610006275726c75736865722f6a2f776b2d31020000007b7d";

#[test]
fn frames_have_the_bytes_that_earlier_versions_read() {
    let request = CacheRequest {
        summary_only: true,
        after: "burlusher/j/wk-000412".into(),
    };
    let page = CachePage {
        store_loaded: true,
        complete_stores: vec!["4e".into(), "4f".into()],
        has_state: true,
        term: 7,
        more: true,
        items: vec![("burlusher/j/wk-1".into(), "{}".into())],
    };
    let hex = |frame: Vec<u8>| -> String { frame.iter().map(|b| format!("{b:02x}")).collect() };
    assert_eq!(hex(encode_cache_request(&request)), REQUEST_FRAME);
    assert_eq!(hex(encode_cache_page(&page)), PAGE_FRAME);
}
