use super::*;

fn user(ticket: Ticket, what: Ask) -> Envelope {
    let request = UserRequest {
        ticket,
        what,
        forwarded: false,
        tried: Vec::new(),
        received: Instant::now(),
    };
    Envelope {
        command: Command::User(request),
        reply: None,
    }
}

fn report() -> Envelope {
    let text = r#"{"drone":"i-1","endpoint":"127.0.0.1:1","breed":"b","parcel":"a",
            "tenure":1,"tally":1}"#;
    Envelope {
        command: Command::Report {
            ticket: 0,
            report: serde_json::from_str(text).unwrap(),
        },
        reply: None,
    }
}

/// Reports by the thousand kept submissions, and the lease's renewals, waiting for a minute.
#[test]
fn neither_reports_nor_questions_keep_what_is_urgent_waiting() {
    let mut lanes = Lanes::default();
    for _ in 0..1000 {
        lanes.put(report());
        lanes.put(user(1, Ask::Show("wk-1".into())));
    }
    lanes.put(user(2, Ask::Cancel("wk-1".into())));
    let step = lanes.take();
    assert!(step.len() <= 1 + SHARES[1] + SHARES[2]);
    let urgent = matches!(&step[0].command, Command::User(r) if r.ticket == 2);
    assert!(urgent);
    // Nothing is lost, and every lane moves on.
    let mut rest = 0;
    while !lanes.is_empty() {
        rest += lanes.take().len();
    }
    assert_eq!(step.len() + rest, 2001);
}

#[test]
fn a_gate_lets_in_as_many_as_it_has_places() {
    let gate = Arc::new(Gate::new(2));
    let (inside, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let (gate, inside, most) = (gate.clone(), inside.clone(), most.clone());
            std::thread::spawn(move || {
                gate.pass(|| {
                    let n = inside.fetch_add(1, Ordering::SeqCst) + 1;
                    most.fetch_max(n, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(5));
                    inside.fetch_sub(1, Ordering::SeqCst);
                })
            })
        })
        .collect();
    assert!(threads.into_iter().all(|t| t.join().unwrap().is_some()));
    assert!(most.load(Ordering::SeqCst) <= 2);
}
