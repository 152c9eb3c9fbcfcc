use super::*;

#[test]
fn equal_seeds_give_equal_loads_and_different_seeds_different_ones() {
    let text = include_str!("../../../../scenarios/three-zones.toml");
    let times = |seed: u64| {
        let mut s = Scenario::parse("s", text).unwrap();
        s.seed = seed;
        generate_load(&s)
            .iter()
            .map(|job| job.submit_after)
            .collect::<Vec<_>>()
    };
    assert!(times(1) == times(1) && times(1) != times(2) && times(1).len() > 10);
}
