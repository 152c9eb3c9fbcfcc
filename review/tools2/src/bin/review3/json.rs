//! JSON values. A number keeps its text, so that integers below 2^64 stay exact.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

pub fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(
        fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}

pub fn text(t: &str) -> Json {
    Json::Text(t.to_string())
}

pub fn int(n: u64) -> Json {
    Json::Number(n.to_string())
}

pub fn decimal(n: f64) -> Json {
    let written = format!("{n}");
    Json::Number(if written.contains(['.', 'e']) {
        written
    } else {
        written + ".0"
    })
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value(0)?;
        reader.space();
        (reader.at == bytes.len()).then_some(value)
    }

    /// The field of an object; null if there is none.
    pub fn get(&self, field: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(field).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(t) => Some(t),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(n) => n.parse().ok(),
            _ => None,
        }
    }

    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Json::Number(n) => n.parse().ok(),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Number(n) => out.push_str(n),
            Json::Text(t) => write_text(t, out),
            Json::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(t: &str, out: &mut String) {
    out.push('"');
    for c in t.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn eat(&mut self, wanted: &[u8]) -> Option<()> {
        let found = self.bytes[self.at..].starts_with(wanted);
        found.then(|| self.at += wanted.len())
    }

    fn value(&mut self, depth: usize) -> Option<Json> {
        if depth > 100 {
            return None;
        }
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.eat(b"null").map(|()| Json::Null),
            b't' => self.eat(b"true").map(|()| Json::Bool(true)),
            b'f' => self.eat(b"false").map(|()| Json::Bool(false)),
            b'"' => self.text().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if items.is_empty() && self.eat(b"]").is_some() {
                        return Some(Json::List(items));
                    }
                    items.push(self.value(depth + 1)?);
                    self.space();
                    if self.eat(b"]").is_some() {
                        return Some(Json::List(items));
                    }
                    self.eat(b",")?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    self.space();
                    if fields.is_empty() && self.eat(b"}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    let name = self.text()?;
                    self.space();
                    self.eat(b":")?;
                    let value = self.value(depth + 1)?;
                    fields.insert(name, value);
                    self.space();
                    if self.eat(b"}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.eat(b",")?;
                }
            }
            _ => {
                let start = self.at;
                let in_number = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(in_number) {
                    self.at += 1;
                }
                let written = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                written.parse::<f64>().ok()?;
                Some(Json::Number(written.to_string()))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.eat(b"\"")?;
        let mut out: Vec<u8> = Vec::new();
        loop {
            let b = *self.bytes.get(self.at)?;
            self.at += 1;
            match b {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
