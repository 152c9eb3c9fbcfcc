use super::*;

#[test]
fn the_same_seed_gives_the_same_load_and_another_one_another() {
    let text = include_str!("../../../../scenarios/three-zones.toml");
    let times = |seed: u64| {
        let mut s = Scenario::parse("s", text).unwrap();
        s.seed = seed;
        load(&s).iter().map(|c| c.at).collect::<Vec<_>>()
    };
    assert!(times(1) == times(1) && times(1) != times(2) && times(1).len() > 10);
}
