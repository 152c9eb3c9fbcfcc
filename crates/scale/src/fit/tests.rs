use super::*;

#[test]
fn collinear_points_are_fitted_exactly() {
    let points = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    let line = fit_line(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && (line.value_at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn the_residual_is_the_largest_deviation_from_the_line() {
    let points = [(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)];
    let line = fit_line(&points).unwrap();
    assert!((line.slope).abs() < 1e-9);
    assert!((line.residual - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn points_at_fewer_than_two_positions_give_no_line() {
    assert_eq!(fit_line(&[]), None);
    assert_eq!(fit_line(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
