use super::*;

#[test]
fn every_part_fits_into_a_value_after_escaping() {
    let text = "\"\\é\n".repeat(700);
    for bytes in [100, 1024, 2048] {
        let parts = split_text(&text, bytes);
        assert_eq!(parts.concat(), text);
        for text in parts {
            let value = serde_json::to_string(&PartValue { text }).unwrap();
            assert!(value.len() <= bytes, "{} of {bytes}", value.len());
        }
    }
}
