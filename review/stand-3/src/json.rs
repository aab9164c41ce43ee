//! A small JSON reader, enough for the calls that an instance makes.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(k, _)| k == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let is_word = self.text.get(self.at..end)? == word.as_bytes();
        self.at = end;
        is_word.then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || matches!(b, b'-' | b'+' | b'.' | b'e' | b'E');
        while self.text.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Json::Num)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(code).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let mut buf = [0; 4];
                            let c = char::from_u32(code)?;
                            out.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            match *self.text.get(self.at)? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.space();
            match *self.text.get(self.at)? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Map(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.space();
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
            }
        }
    }
}
