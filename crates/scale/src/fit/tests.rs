use super::*;

#[test]
fn a_line_goes_through_points_of_one() {
    let points = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    let line = line(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && (line.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn the_residual_is_of_the_point_farthest_off() {
    let points = [(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)];
    let line = line(&points).unwrap();
    assert!((line.slope).abs() < 1e-9);
    assert!((line.residual - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn one_place_gives_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
