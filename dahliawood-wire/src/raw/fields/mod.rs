//! Header fields in the order in which they were received.

/// Hop-by-hop fields, which apply to one connection and must not be forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A value without the white space that HTTP allows around it.
fn trimmed(value: &str) -> &str {
    value.trim_matches([' ', '\t'])
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name, exactly as received.
    pub name: String,
    /// The value, which is not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// The fields of one head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldList {
    fields: Vec<HeaderField>,
}

impl FieldList {
    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        let (name, value) = (name.into(), value.into());
        self.fields.push(HeaderField { name, value });
    }

    /// Replaces all fields of that name with one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields of that name.
    pub fn remove(&mut self, name: &str) {
        self.fields
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// The values of all fields of that name, without those that are not UTF-8.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .map(trimmed)
    }

    /// The value of the first field of that name; `None` if it is missing or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(trimmed)
    }

    /// The number of fields of that name.
    pub fn count(&self, name: &str) -> usize {
        let is_named = |field: &&HeaderField| field.name.eq_ignore_ascii_case(name);
        self.fields.iter().filter(is_named).count()
    }

    /// All fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Whether a comma-separated field contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop fields, including those that `Connection` names.
    pub fn remove_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_owned())
            .collect();
        let is_hop = |name: &str| {
            HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
                || named.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        };
        self.fields.retain(|field| !is_hop(&field.name));
    }
}
