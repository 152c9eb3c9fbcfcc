use super::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logged(format: LogFormat, level: &str) -> String {
    let memory = Memory::default();
    let writer = memory.clone();
    let subscriber = super::subscriber(format, parse(Some(level)).unwrap(), move || writer.clone());
    tracing::subscriber::with_default(subscriber, || {
        let id = "i-000231";
        tracing::info!(machine = %id, term = 7, "machine {id}: taken on");
        tracing::debug!("not at info");
    });
    let text = memory.0.lock().unwrap().clone();
    String::from_utf8(text).unwrap()
}

#[test]
fn a_line_is_text_or_json_with_fields() {
    let text = logged(LogFormat::Text, "info");
    assert!(
        text.ends_with(" INFO ] machine i-000231: taken on machine=i-000231 term=7\n"),
        "{text}"
    );
    assert_eq!(logged(LogFormat::Text, "debug").lines().count(), 2);
    let json: serde_json::Value = serde_json::from_str(&logged(LogFormat::Json, "info")).unwrap();
    assert_eq!(json["machine"], "i-000231");
    assert_eq!(json["term"], 7);
    assert_eq!(json["message"], "machine i-000231: taken on");
    assert_eq!(logged(LogFormat::Json, "error"), "");
    assert!(
        parse(Some("loud"))
            .unwrap_err()
            .to_string()
            .contains("loud")
    );
    assert_eq!(parse(None), Ok(LevelFilter::INFO));
}

#[test]
fn a_value_of_several_words_is_quoted() {
    assert_eq!(quoted("i-000231".into()), "i-000231");
    assert_eq!(quoted("no answer".into()), "\"no answer\"");
    assert_eq!(quoted(String::new()), "\"\"");
    assert_eq!(quoted("\"a b\"".into()), "\"a b\"");
}
