//! Stories of controllers that serve workers for the one that leads: what they may say alone, what
//! is taken back, and what becomes of it when one of them is cut off, dies, or is an older version.
//! The world checks at every tick that no task is in two places.

use super::unlimited_job;
use crate::core::simulation::World;
use crate::core::{Command, Effect, Now, Work};
use crate::job::{Kind, MachineId};
use crate::policy::Policy;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn policy(delegate: bool) -> Policy {
    Policy::with("story", &format!("delegate = {delegate}")).unwrap()
}

/// Three controllers with a leader, and so many machines that have reported; none can be rented.
fn delegating_cluster(seed: u64, machines: usize) -> (World, usize) {
    crate::core::simulation::with_log();
    let mut w = World::with_policy(seed, policy(true));
    w.capacity.clear();
    for i in 0..machines {
        w.add_machine("small", ["a", "b"][i % 2]);
    }
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    (w, leader)
}

/// How many workers report to each node.
fn loads(w: &World) -> BTreeMap<usize, usize> {
    let mut out = BTreeMap::new();
    for m in w.workers.values() {
        *out.entry(m.node).or_default() += 1;
    }
    out
}

fn all_to(w: &mut World, node: usize) {
    w.workers.values_mut().for_each(|m| m.node = node);
}

/// Reports that other controllers answered alone, by the leader's count.
fn answered(w: &World, leader: usize) -> u64 {
    (w.nodes[leader].core.lead.as_ref()).map_or(0, |l| l.delegates.answered)
}

#[test]
fn followers_answer_what_is_not_new_and_pass_on_what_is() {
    let (mut w, leader) = delegating_cluster(501, 60);
    w.run(5.0);
    let before = (answered(&w, leader), w.reports);
    w.run(10.0);
    let told = answered(&w, leader) - before.0;
    let all = u64::from(w.reports - before.1);
    assert!(told * 2 > all, "{told} of {all} were answered by others");
    // Nobody was lost by it, and work goes through all of them.
    assert_eq!(w.workers.len(), 60);
    assert_eq!(w.submit(leader, &unlimited_job("wk-1", 40, 1.0, 3)), 201);
    w.until_done("wk-1", 20.0);
    assert_eq!(w.starts, 40);
    w.run(5.0);
    assert_eq!(w.clears, 40);
}

/// Plans are some time apart, and reports were answered before the next one: each start took a call.
#[test]
fn what_is_placed_on_a_machine_that_reports_an_end_goes_into_the_answer() {
    let (mut w, leader) = delegating_cluster(503, 20);
    assert_eq!(w.submit(leader, &unlimited_job("wk-1", 300, 4.0, 2)), 201);
    w.until_done("wk-1", 90.0);
    let work = w.nodes[leader].core.stats.work;
    let (told, called) = (
        work[Work::StartInAnswer as usize],
        work[Work::StartByCall as usize],
    );
    assert_eq!(w.starts, 300);
    assert!(
        told > 250 && called < 50,
        "{told} in answers, {called} by calls"
    );
}

#[test]
fn workers_come_to_be_spread_over_all_controllers_and_stay_where_they_are() {
    let (mut w, leader) = delegating_cluster(502, 200);
    all_to(&mut w, leader);
    w.run(30.0);
    let even = loads(&w);
    let (own, others): (Vec<_>, Vec<_>) = even.iter().partition(|(n, _)| **n == leader);
    assert!(own.iter().all(|(_, n)| **n < 50), "{even:?}");
    assert!(others.iter().all(|(_, n)| **n > 60), "{even:?}");
    w.run(20.0);
    assert_eq!(loads(&w), even, "workers are moved to and fro");
    assert_eq!(w.workers.len(), 200);
}

/// A takeover began with every worker looking for the new leader, and every machine asked by it.
#[test]
fn after_a_takeover_workers_stay_where_they_are_and_all_are_known_within_a_second() {
    let (mut w, leader) = delegating_cluster(503, 300);
    w.submit(leader, &unlimited_job("wk-1", 100, 1.0, 300));
    w.run(12.0);
    let at = |w: &World, n: usize| -> Vec<MachineId> {
        let there = w.workers.iter().filter(|(_, m)| m.node == n);
        there.map(|(id, _)| id.clone()).collect()
    };
    let others: Vec<(usize, Vec<MachineId>)> = (0..3)
        .filter(|n| *n != leader)
        .map(|n| (n, at(&w, n)))
        .collect();
    let starts = w.starts;
    w.kill(leader, Duration::from_secs(30));
    w.until(5.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    let next = w.leader().unwrap();
    w.until(1.0, "all machines known", |w| {
        (w.nodes[next].core.lead.as_ref()).is_some_and(|l| l.unresolved == 0)
    });
    w.run(5.0);
    for (n, before) in others {
        let still = before.iter().filter(|id| w.workers[*id].node == n).count();
        assert!(
            still * 10 >= before.len() * 9,
            "{still} of {} stay with {n}",
            before.len()
        );
    }
    assert_eq!(w.starts, starts, "nothing is started anew");
}

/// With all controllers gone, nobody knows any worker, and the new leader asked each one itself.
#[test]
fn when_all_controllers_begin_anew_they_share_the_asking() {
    let (mut w, _) = delegating_cluster(510, 600);
    w.run(6.0);
    // Workers wait a while before they try again, so that asking them is all that there is.
    let later = w.now + Duration::from_secs(8);
    for n in 0..3 {
        w.kill(n, Duration::from_secs(2));
    }
    w.workers.values_mut().for_each(|m| m.next_report = later);
    w.until(8.0, "a leader", |w| w.leader().is_some());
    let leader = w.leader().unwrap();
    w.until(3.0, "all machines known", |w| {
        (w.nodes[leader].core.lead.as_ref()).is_some_and(|l| l.unresolved == 0)
    });
    for n in 0..3 {
        assert!(w.nodes[n].calls > 80, "{n}: {}", w.nodes[n].calls);
    }
}

/// Passed on to a leader that stands still, a submission waited until that call was given up.
#[test]
fn a_leader_that_owes_an_answer_is_not_asked_to_accept_a_job() {
    let (mut w, leader) = delegating_cluster(511, 30);
    w.nodes[leader].frozen = true;
    w.run(1.0);
    let before = w.now;
    let other = (leader + 1) % 3;
    assert_eq!(w.submit(other, &unlimited_job("wk-1", 4, 1.0, 3)), 201);
    assert!(w.now - before < Duration::from_millis(300));
    w.run(1.0);
    w.nodes[leader].frozen = false;
    w.until_done("wk-1", 20.0);
    assert_eq!((w.workers.len(), w.starts), (30, 4));
}

/// A follower goes on answering until its grant ends, and the leader, which cannot hear it, counted
/// the workers' leases from what it had last heard.
#[test]
fn a_lease_that_another_controller_may_have_renewed_is_not_counted_as_over() {
    for answered_after in [1.4, 1.7, 2.0, 2.3, 2.6] {
        let (mut w, leader) = delegating_cluster(504, 4);
        let other = (leader + 1) % 3;
        let mut service = unlimited_job("wk-1", 4, 2.0, 0);
        service.kind = Kind::Service;
        w.submit(leader, &service);
        w.until(5.0, "replicas", |w| w.places("wk-1").len() == 4);
        all_to(&mut w, other);
        w.run(5.0);
        assert!(answered(&w, leader) > 0);
        // Its grant has just been renewed, on a word that was renewed just before, when the one
        // cannot tell the other any more. Nor can the leader delete the machines.
        let grant = |w: &World| w.nodes[other].core.relay.grant.map(|g| g.until);
        w.until(3.0, "a fresh grant", |w| {
            grant(w).is_some_and(|t| t > w.now + Duration::from_millis(2500))
        });
        w.cloud_down = true;
        w.nodes[other].peers = false;
        // Each worker's next report is also its last: all of them live on, heard by nobody.
        let at = w.now + Duration::from_secs_f64(answered_after);
        w.workers.values_mut().for_each(|m| m.next_report = at);
        w.run(answered_after + 0.1);
        w.workers.values_mut().for_each(|m| m.cut.extend(0..3));
        // There is room for their tasks elsewhere.
        for _ in 0..4 {
            w.add_machine("small", "a");
        }
        w.run(40.0);
        assert_eq!(w.places("wk-1").len(), 4);
    }
}

/// Its workers wait 4 s for an answer before they look for another controller; meanwhile they were
/// taken for dead, as the others in their zones were heard.
#[test]
fn workers_of_a_controller_that_stands_still_are_not_taken_for_dead() {
    let (mut w, leader) = delegating_cluster(512, 60);
    w.run(10.0);
    let other = (leader + 1) % 3;
    assert!(loads(&w)[&other] > 10);
    w.nodes[other].frozen = true;
    w.run(12.0);
    assert_eq!(w.workers.len(), 60);
    w.nodes[other].frozen = false;
    w.run(5.0);
    assert_eq!(w.workers.len(), 60);
}

/// When a grant has run out, the leader counts nothing as lent any more. A follower that went on
/// with what it had kept, once it got another grant, answered workers that the leader then never
/// heard of.
#[test]
fn what_was_lent_under_a_grant_that_ran_out_is_forgotten() {
    let (mut w, leader) = delegating_cluster(513, 60);
    w.run(10.0);
    let other = (leader + 1) % 3;
    let there: Vec<MachineId> = (w.workers.iter())
        .filter(|(_, m)| m.node == other)
        .map(|(id, _)| id.clone())
        .collect();
    assert!(there.len() > 10);
    // Long enough for its workers to have found others, and to come back.
    w.nodes[other].peers = false;
    w.run(8.0);
    w.nodes[other].peers = true;
    for id in &there {
        w.workers.get_mut(id).unwrap().node = other;
    }
    w.run(12.0);
    assert_eq!(w.workers.len(), 60);
}

/// Where workers report often, what was told 0.4 s late made each zone seem cut off again and again,
/// and no dead machine was ever given up for its silence.
#[test]
fn a_dead_machine_is_given_up_soon_though_others_take_its_reports() {
    let (mut w, leader) = delegating_cluster(514, 60);
    w.run(10.0);
    w.submit(leader, &unlimited_job("wk-1", 30, 2.0, 20));
    w.run(2.0);
    let dead = w.places("wk-1")[0].0.clone();
    w.workers.get_mut(&dead).unwrap().hung = true;
    w.until(6.0, "the machine is deleted", |w| {
        !w.workers.contains_key(&dead)
    });
    w.until_done("wk-1", 40.0);
}

#[test]
fn what_there_is_to_say_takes_a_machine_back() {
    let (mut w, leader) = delegating_cluster(505, 12);
    w.run(6.0);
    let lent = |w: &World| {
        let lead = w.nodes[leader].core.lead.as_ref().unwrap();
        lead.machines
            .values()
            .filter(|m| m.lent_to.is_some())
            .count()
    };
    assert!(lent(&w) > 4);
    // Direct commands do not get through: starts go with answers to reports, which only the leader
    // can give.
    w.hold_commands = true;
    w.submit(leader, &unlimited_job("wk-1", 48, 1.0, 4));
    w.run(1.2);
    assert_eq!(lent(&w), 0);
    w.until_done("wk-1", 30.0);
    w.hold_commands = false;
    w.release();
    w.run(8.0);
    assert!(lent(&w) > 4);
    assert_eq!(w.starts, 48);
}

#[test]
fn a_leader_that_hears_its_workers_only_through_others_makes_way() {
    let (mut w, leader) = delegating_cluster(506, 40);
    for m in w.workers.values_mut() {
        m.cut.insert(leader);
    }
    w.run(5.0);
    // Nothing is amiss until it has something to say, and cannot.
    w.submit(leader, &unlimited_job("wk-1", 120, 1.0, 3));
    w.until(12.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    w.until_done("wk-1", 30.0);
    assert_eq!(w.workers.len(), 40);
}

#[test]
fn a_controller_that_dies_or_is_cut_off_costs_no_machine() {
    for cut in [false, true] {
        let (mut w, leader) = delegating_cluster(507, 30);
        let other = (leader + 1) % 3;
        all_to(&mut w, other);
        w.submit(leader, &unlimited_job("wk-1", 30, 2.0, 25));
        w.run(4.0);
        if cut {
            w.nodes[other].peers = false;
        } else {
            w.kill(other, Duration::from_secs(20));
        }
        w.until_done("wk-1", 60.0);
        assert_eq!((w.workers.len(), w.starts), (30, 30), "cut: {cut}");
    }
}

/// A frame that the network kept would be taken for news.
#[test]
fn a_restarted_controller_begins_with_nothing_lent() {
    let (mut w, leader) = delegating_cluster(508, 30);
    let other = (leader + 1) % 3;
    all_to(&mut w, other);
    w.submit(leader, &unlimited_job("wk-1", 30, 2.0, 30));
    w.run(5.0);
    w.kill(other, Duration::from_millis(300));
    w.run(0.6);
    all_to(&mut w, other);
    w.run(10.0);
    w.until_done("wk-1", 60.0);
    assert_eq!((w.workers.len(), w.starts), (30, 30));
}

/// Versions and settings without it drop such frames or refuse them; both may lead in turns.
#[test]
fn controllers_that_do_and_that_do_not_take_reports_serve_together() {
    for leads_with in [true, false] {
        let mut w = World::with_policy(509, policy(leads_with));
        w.policy = policy(!leads_with).into();
        for zone in ["a", "b", "a", "b"] {
            w.add_machine("small", zone);
        }
        // All but one are started anew, with the other setting.
        w.kill(1, Duration::from_millis(200));
        w.kill(2, Duration::from_millis(200));
        w.until(10.0, "a leader", |w| w.leader().is_some());
        w.run(4.0);
        let first = w.leader().unwrap();
        w.submit(first, &unlimited_job("wk-1", 8, 2.0, 5));
        w.until_done("wk-1", 30.0);
        for n in 0..3 {
            w.kill(n, Duration::from_secs(4));
            w.run(3.0);
            let id = format!("wk-2{n}");
            w.until(10.0, "a leader", |w| w.leader().is_some());
            let leader = w.leader().unwrap();
            w.submit(leader, &unlimited_job(&id, 8, 2.0, 5));
            w.until_done(&id, 40.0);
        }
        assert_eq!((w.workers.len(), w.starts), (4, 32));
    }
}

#[test]
fn monitoring_sees_who_serves_how_many() {
    let (mut w, leader) = delegating_cluster(515, 90);
    w.run(20.0);
    for node in 0..3 {
        let now = Now {
            mono: w.now,
            wall: std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000),
        };
        let ask = Command::Figures {
            ticket: u64::MAX,
            lanes: [1, 2, 3],
        };
        let effects = w.nodes[node].core.step(now, vec![ask]);
        let body = effects.into_iter().find_map(|e| match e {
            Effect::Answer { ticket, answer } if ticket == u64::MAX => Some(answer.body),
            _ => None,
        });
        let text = String::from_utf8(body.unwrap()).unwrap();
        let value = |name: &str| -> f64 {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            let line = line.unwrap_or_else(|| panic!("{name} is not in\n{text}"));
            line.trim().parse().unwrap()
        };
        let leads = f64::from(u8::from(node == leader));
        assert_eq!(value("burlusher_leads "), leads);
        assert_eq!(value("burlusher_queue{lane=\"reports\"} "), 3.0);
        assert!(text.ends_with("# EOF\n"));
        if node == leader {
            let served: f64 = (0..3)
                .map(|n| value(&format!("burlusher_workers{{node=\"n{n}\"}} ")))
                .sum();
            assert_eq!(served, 90.0);
            assert!(value("burlusher_reports_answered_by_others_total ") > 100.0);
            assert_eq!(
                value(&format!(
                    "burlusher_members{{node=\"n{}\"}} ",
                    (leader + 1) % 3
                )),
                2.0
            );
        } else {
            assert!(value("burlusher_grant_seconds ") > 1.0);
        }
    }
}
