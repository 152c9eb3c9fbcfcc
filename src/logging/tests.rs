use super::*;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_output(format: LogFormat, level: &str) -> String {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let subscriber = super::subscriber(format, parse_level(Some(level)).unwrap(), move || {
        writer.clone()
    });
    tracing::subscriber::with_default(subscriber, || {
        let id = "i-000231";
        tracing::info!(machine = %id, term = 7, "machine {id}: registered");
        tracing::debug!("hidden at level info");
    });
    let text = buffer.0.lock().unwrap().clone();
    String::from_utf8(text).unwrap()
}

#[test]
fn lines_are_text_or_json_with_fields() {
    let text = log_output(LogFormat::Text, "info");
    assert!(
        text.ends_with(" INFO ] machine i-000231: registered machine=i-000231 term=7\n"),
        "{text}"
    );
    assert_eq!(log_output(LogFormat::Text, "debug").lines().count(), 2);
    let json: serde_json::Value =
        serde_json::from_str(&log_output(LogFormat::Json, "info")).unwrap();
    assert_eq!(json["machine"], "i-000231");
    assert_eq!(json["term"], 7);
    assert_eq!(json["message"], "machine i-000231: registered");
    assert_eq!(log_output(LogFormat::Json, "error"), "");
    assert!(
        parse_level(Some("loud"))
            .unwrap_err()
            .to_string()
            .contains("loud")
    );
    assert_eq!(parse_level(None), Ok(LevelFilter::INFO));
}

#[test]
fn values_with_spaces_are_quoted() {
    assert_eq!(quoted("i-000231".into()), "i-000231");
    assert_eq!(quoted("no answer".into()), "\"no answer\"");
    assert_eq!(quoted(String::new()), "\"\"");
    assert_eq!(quoted("\"a b\"".into()), "\"a b\"");
}
