//! A small JSON reader and writer. Numbers stay as they were written, so that integers below 2^64 are kept.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

pub fn num(n: impl ToString) -> Json {
    Json::Num(n.to_string())
}
pub fn text(s: impl Into<String>) -> Json {
    Json::Str(s.into())
}
pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Obj(
        fields
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(n) => n.parse().unwrap_or(0),
            _ => 0,
        }
    }
    pub fn bool(&self) -> bool {
        *self == Json::Bool(true)
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn is_null(&self) -> bool {
        *self == Json::Null
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
            Json::Num(n) => out.push_str(n),
            Json::Str(s) => write_str(s, out),
            Json::Arr(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (i, (k, v)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_str(k, out);
                    out.push(':');
                    v.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_str(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut p = Parser { b: bytes, i: 0 };
    let v = p.value()?;
    p.space();
    (p.i == bytes.len()).then_some(v)
}

struct Parser<'a> {
    b: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.i < self.b.len() && self.b[self.i].is_ascii_whitespace() {
            self.i += 1;
        }
    }
    fn next(&mut self) -> Option<u8> {
        self.space();
        self.b.get(self.i).copied()
    }
    fn word(&mut self, w: &str, v: Json) -> Option<Json> {
        let end = self.i + w.len();
        (self.b.get(self.i..end)? == w.as_bytes()).then(|| {
            self.i = end;
            v
        })
    }
    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.i += 1;
                let mut items = Vec::new();
                loop {
                    if self.next()? == b']' {
                        self.i += 1;
                        return Some(Json::Arr(items));
                    }
                    if !items.is_empty() {
                        if self.b[self.i] != b',' {
                            return None;
                        }
                        self.i += 1;
                    }
                    items.push(self.value()?);
                }
            }
            b'{' => {
                self.i += 1;
                let mut fields = Vec::new();
                loop {
                    if self.next()? == b'}' {
                        self.i += 1;
                        return Some(Json::Obj(fields));
                    }
                    if !fields.is_empty() {
                        if self.b[self.i] != b',' {
                            return None;
                        }
                        self.i += 1;
                        self.space();
                    }
                    let key = self.string()?;
                    if self.next()? != b':' {
                        return None;
                    }
                    self.i += 1;
                    fields.push((key, self.value()?));
                }
            }
            _ => {
                let start = self.i;
                while self.i < self.b.len()
                    && matches!(
                        self.b[self.i],
                        b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'
                    )
                {
                    self.i += 1;
                }
                let n = std::str::from_utf8(&self.b[start..self.i]).ok()?;
                n.parse::<f64>().ok()?;
                Some(Json::Num(n.to_string()))
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        if self.next()? != b'"' {
            return None;
        }
        self.i += 1;
        let mut out = Vec::new();
        loop {
            let c = *self.b.get(self.i)?;
            self.i += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.b.get(self.i)?;
                    self.i += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.b.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        e => out.push(e),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
