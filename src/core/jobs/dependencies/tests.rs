use super::*;

fn id(n: u32) -> JobId {
    format!("wk-{n}").into()
}

/// Adds the jobs of a diamond in different orders: which jobs become ready or are cancelled must depend
/// only on how the others end.
#[test]
fn a_diamond_becomes_ready_once_and_is_cancelled_whole_in_any_event_order() {
    let edges: [(u32, &[u32]); 4] = [(1, &[]), (2, &[1]), (3, &[1]), (4, &[2, 3])];
    for rotation in 0..4 {
        let mut graph = DependencyGraph::default();
        let mut finished: BTreeMap<JobId, JobOutcome> = BTreeMap::new();
        let dependencies = |n: u32| -> Vec<JobId> {
            let found = edges.iter().find(|e| e.0 == n).unwrap();
            found.1.iter().map(|a| id(*a)).collect()
        };
        for i in 0..4 {
            let n = edges[(i + rotation) % 4].0;
            assert!(
                graph
                    .add_job(&id(n), &dependencies(n), |id| finished.get(id).copied())
                    .is_empty()
            );
        }
        assert_eq!(graph.all_dependents(&id(1)).len(), 3);
        let end_job = |graph: &mut DependencyGraph, finished: &mut BTreeMap<_, _>, n: u32, end| {
            finished.insert(id(n), end);
            let mut changed = graph.remove_job(&id(n), &dependencies(n), end);
            // A repeated event, which the watch may deliver, changes nothing.
            assert!(graph.remove_job(&id(n), &dependencies(n), end).is_empty());
            changed.sort();
            changed
        };
        assert_eq!(
            end_job(&mut graph, &mut finished, 1, JobOutcome::Done),
            [id(2), id(3)]
        );
        assert!(end_job(&mut graph, &mut finished, 2, JobOutcome::Done).is_empty());
        assert_eq!(
            (
                graph.unfinished_dependencies(&id(4)),
                graph.unfinished_dependencies(&id(3))
            ),
            (1, 0)
        );
        if rotation % 2 == 0 {
            assert_eq!(
                end_job(&mut graph, &mut finished, 3, JobOutcome::Done),
                [id(4)]
            );
        } else {
            assert_eq!(
                end_job(&mut graph, &mut finished, 3, JobOutcome::Cancelled),
                [id(4)]
            );
            assert_eq!(graph.cancelled_dependency("wk-4"), Some(&id(3)));
            // Jobs that are submitted later are cancelled as well, with direct and transitive dependencies.
            let outcome_of = |id: &JobId| finished.get(id).copied();
            assert_eq!(graph.add_job(&id(5), &[id(4)], outcome_of), [id(5)]);
            assert_eq!(graph.add_job(&id(6), &[id(3)], outcome_of), [id(6)]);
            assert!(end_job(&mut graph, &mut finished, 4, JobOutcome::Cancelled).is_empty());
        }
    }
}

#[test]
fn a_chain_of_ten_thousand_is_cancelled_without_recursion() {
    let mut graph = DependencyGraph::default();
    for n in 1..10_000 {
        graph.add_job(&id(n), &[id(n - 1)], |_| None);
    }
    assert_eq!(graph.all_dependents(&id(0)).len(), 9_999);
    assert_eq!(
        graph.remove_job(&id(0), &[], JobOutcome::Cancelled).len(),
        9_999
    );
}
