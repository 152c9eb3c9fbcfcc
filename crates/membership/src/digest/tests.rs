use super::*;

#[test]
fn text_boundaries_change_the_digest() {
    let of = |texts: &[&str]| {
        let mut d = Digester::new(7);
        texts.iter().for_each(|t| d.write_str(t));
        d.finish()
    };
    assert_eq!(of(&["ab", "c"]), of(&["ab", "c"]));
    assert_ne!(of(&["ab", "c"]), of(&["a", "bc"]));
    assert_ne!(of(&["ab", ""]), of(&["ab"]));
}
