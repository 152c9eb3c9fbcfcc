//! What was sent, answered and run, with times since the start.

use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }
    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.at(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    pub fn count(&self, words: &str) -> usize {
        self.lines
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains(words))
            .count()
    }
    /// Also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.at(), text.as_ref());
        self.line(text);
    }
    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.at();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        if let Ok(mut file) = std::fs::File::create(path) {
            for line in lines {
                let _ = writeln!(file, "{line}");
            }
        }
    }
}
