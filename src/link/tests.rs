use super::*;

fn body(frame: &[u8]) -> Vec<u8> {
    crate::peer::read_frame(&mut &frame[..]).unwrap().1
}

#[test]
fn frames_come_back_as_they_went_and_cut_ones_are_refused() {
    let row = |state, why, saved| RowReport {
        task: "wk-000001/7".into(),
        attempt: u64::MAX - 3,
        state,
        why,
        saved,
    };
    let report = Report {
        machine: "i-000001".into(),
        addr: "10.0.0.1:9000".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 2,
        seq: 99,
        token: 1 << 40,
        notice: Some(7.5),
        rows: vec![
            row(RowState::Running, None, None),
            row(RowState::Exited, Some(Why::Error), Some(false)),
        ],
    };
    let sync = Sync {
        from: "n1".into(),
        incarnation: 5,
        number: 6,
        answered: 4,
        abilities: 1,
        load: 300,
        to_show: 12,
        term: 9,
        mine: vec!["i-000001".into()],
        failed: vec!["i-000003".into()],
        heard: vec![Heard {
            machine: "i-000002".into(),
            session: 1,
            seq: 12,
            age: Duration::from_millis(250),
        }],
        reports: vec![Relayed {
            name: 3,
            report: Box::new(report),
        }],
    };
    let bytes = body(&encode_sync(&sync));
    let back = decode_sync(&bytes).unwrap();
    // `Report` has no equality of its own.
    assert_eq!(format!("{back:?}"), format!("{sync:?}"));
    assert!((0..bytes.len()).all(|cut| decode_sync(&bytes[..cut]).is_none()));
    let order = |grace| Order::Stop {
        task: "wk-000001/7".into(),
        attempt: 4,
        grace,
    };
    let synced = Synced {
        number: 6,
        term: 9,
        grant: Duration::from_millis(2400),
        refused: false,
        recalled: vec!["i-000002".into()],
        answers: vec![
            Told {
                name: 3,
                kind: ToldKind::Orders {
                    token: 77,
                    orders: vec![order(1.5)],
                    calm: true,
                },
            },
            Told {
                name: 4,
                kind: ToldKind::Refused {
                    status: 503,
                    retry_after: Some(30),
                },
            },
        ],
        asks: vec![("i-000009".into(), "10.0.0.9:9000".into())],
        moves: vec![("n2".into(), 20)],
        members: vec![MemberTold {
            name: "n2".into(),
            abilities: 1,
            load: 7,
            age: Duration::from_millis(300),
        }],
    };
    let bytes = body(&encode_synced(&synced));
    assert_eq!(decode_synced(&bytes), Some(synced));
    assert!((0..bytes.len()).all(|cut| decode_synced(&bytes[..cut]).is_none()));
}
