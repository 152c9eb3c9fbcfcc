use super::*;

#[test]
fn texts_do_not_run_into_one_another() {
    let of = |texts: &[&str]| {
        let mut d = Digester::new(7);
        texts.iter().for_each(|t| d.text(t));
        d.finish()
    };
    assert_eq!(of(&["ab", "c"]), of(&["ab", "c"]));
    assert_ne!(of(&["ab", "c"]), of(&["a", "bc"]));
    assert_ne!(of(&["ab", ""]), of(&["ab"]));
}
