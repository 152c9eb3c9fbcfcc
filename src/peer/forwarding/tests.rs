use super::*;
use crate::job::{JobKind, Priority, Resources};
use crate::peer::read_frame;
use std::time::Duration;

#[test]
fn frames_round_trip_and_malformed_ones_are_rejected() {
    let spec = JobSpec {
        id: "wk-000001".into(),
        class: "Besançon".into(),
        team: "t".into(),
        job_kind: JobKind::Service,
        priority: Priority::Low,
        tasks: 9,
        resources: Resources {
            cpus: 0.5,
            gpus: 1.0,
            ram: 3.25,
        },
        image: "img".into(),
        image_gb: 1.5,
        machine_types: Some(vec!["a".into(), "bb".into()]),
        zone: Some("z".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate: Duration::from_millis(1500),
        checkpoint_interval: Duration::ZERO,
        checkpoint_duration: Duration::from_secs(2),
        deadline: None,
        dependencies: Vec::new(),
    };
    let mut plain = spec.clone();
    (plain.machine_types, plain.zone) = (None, None);
    plain.deadline = Some(Duration::from_secs(7));
    let mut dependent = spec.clone();
    dependent.dependencies = vec!["wk-1".into(), "wk-000077".into()];
    dependent.dependencies.sort();
    for request in [
        PeerRequest::Submit(Box::new(dependent)),
        PeerRequest::Submit(Box::new(spec)),
        PeerRequest::Submit(Box::new(plain)),
        PeerRequest::Show("wk-1".into()),
        PeerRequest::Cancel("wk-2".into()),
    ] {
        let bytes = encode_request(&request);
        let (kind, body) = read_frame(&mut bytes.as_slice()).unwrap();
        assert_eq!(decode_request(kind, &body), Some(request));
        for cut in 0..bytes.len() {
            assert!(read_frame(&mut &bytes[..cut]).is_err());
        }
        for cut in 0..body.len().saturating_sub(1) {
            // A truncated body is rejected or, if it is an id, decodes as another id; it never panics.
            let got = decode_request(kind, &body[..cut]);
            assert!(![KIND_SUBMIT, KIND_SUBMIT_DEPENDENT].contains(&kind) || got.is_none());
        }
    }
    let answer = PeerAnswer {
        status: 200,
        state: Some(JobState::Running),
        retry_after: None,
        done: Some(3),
        running: Some(0),
    };
    let bytes = encode_answer(&answer);
    let (kind, body) = read_frame(&mut bytes.as_slice()).unwrap();
    assert_eq!(decode_answer(kind, &body), Some(answer));
    let mut huge = bytes.clone();
    huge[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(read_frame(&mut huge.as_slice()).is_err());
    huge[0] ^= 1;
    assert!(read_frame(&mut huge.as_slice()).is_err());
}
