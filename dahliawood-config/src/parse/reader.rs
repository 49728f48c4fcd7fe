//! Reading of the fields of one table; detects fields that the format does not define.

use crate::parse::context::{self, CheckContext, DeclarationKind};
use crate::parse::leaf::{self, LeafMismatch, LeafValue};
use crate::report::FindingKind;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Reads one table of the document, field by field.
pub struct TableReader<'a, 'i> {
    /// The state of the validation that the reader is part of.
    pub context: &'a mut CheckContext,
    table: &'a DeTable<'i>,
    /// Kind of entity that the table describes, for reports.
    entity: &'static str,
    /// Byte offset of the table.
    offset: usize,
    known: Vec<&'static str>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    /// A reader of `table`, which starts at byte `offset`.
    pub fn new(
        context: &'a mut CheckContext,
        table: &'a DeTable<'i>,
        entity: &'static str,
        offset: usize,
    ) -> Self {
        Self {
            context,
            table,
            entity,
            offset,
            known: Vec::new(),
        }
    }

    /// Byte offset of the table.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Reads an optional field.
    pub fn optional<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Option<Spanned<T>> {
        let value = self.value(field)?;
        self.leaf(value, read)
    }

    /// Reads a required field.
    pub fn required<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Option<Spanned<T>> {
        let value = self.required_value(field)?;
        self.leaf(value, read)
    }

    /// Reads the required name of an entity, and declares it.
    pub fn declared_name(&mut self, field: &'static str, kind: DeclarationKind) -> Option<String> {
        let name = self.required(field, leaf::name)?;
        self.context.declare(kind, &name);
        Some(name.into_inner())
    }

    /// Reads a required field that refers to a name declared elsewhere in the file.
    pub fn referenced_name(
        &mut self,
        field: &'static str,
        kind: DeclarationKind,
    ) -> Option<String> {
        let name = self.required(field, leaf::name)?;
        self.context.add_reference(kind, &name);
        Some(name.into_inner())
    }

    /// Reads an optional array; invalid elements are reported and skipped.
    pub fn optional_list<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Vec<Spanned<T>> {
        let value = self.value(field);
        value.map_or_else(Vec::new, |value| self.list(value, read))
    }

    /// Reads a required array with at least one element; invalid elements are reported and skipped.
    pub fn required_list<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Vec<Spanned<T>> {
        let Some(value) = self.required_value(field) else {
            return Vec::new();
        };
        if value
            .get_ref()
            .as_array()
            .is_some_and(|array| array.is_empty())
        {
            let offset = value.span().start;
            let expected = format!("at least one element in `{field}`");
            self.context
                .add_finding(offset, FindingKind::BadValue, "an empty array", expected);
        }
        self.list(value, read)
    }

    /// Records references to names declared elsewhere in the file, each at most once in this list.
    pub fn referenced_names(
        &mut self,
        names: Vec<Spanned<String>>,
        kind: DeclarationKind,
    ) -> Vec<String> {
        let mut used = Vec::with_capacity(names.len());
        for name in names {
            self.context.add_reference(kind, &name);
            let offset = name.span().start;
            let name = name.into_inner();
            if used.contains(&name) {
                let found = format!("{kind} {} again", context::quoted(&name));
                let expected = format!("each {kind} once in this list");
                self.context
                    .add_finding(offset, FindingKind::Duplicate, found, expected);
            }
            used.push(name);
        }
        used
    }

    /// Reads each table of an array of tables; invalid tables are reported and skipped.
    pub fn tables<T>(
        &mut self,
        field: &'static str,
        entity: &'static str,
        read: impl Fn(&mut TableReader<'_, 'i>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.report_wrong_type(value, &format!("an array of tables, [[{entity}]]"));
            return Vec::new();
        };
        array
            .iter()
            .filter_map(|element| self.nested(element, entity, &read))
            .collect()
    }

    /// Like [`TableReader::tables`], but requires at least one table.
    pub fn required_tables<T>(
        &mut self,
        field: &'static str,
        entity: &'static str,
        read: impl Fn(&mut TableReader<'_, 'i>) -> Option<T>,
    ) -> Vec<T> {
        let is_missing = match self.table.get(field) {
            None => true,
            Some(value) => value
                .get_ref()
                .as_array()
                .is_some_and(|array| array.is_empty()),
        };
        if is_missing {
            self.report_missing(
                &format!("[[{entity}]]"),
                &format!("at least one [[{entity}]]"),
            );
        }
        self.tables(field, entity, read)
    }

    /// Reads a required table.
    pub fn required_table<T>(
        &mut self,
        field: &'static str,
        entity: &'static str,
        read: impl Fn(&mut TableReader<'_, 'i>) -> Option<T>,
    ) -> Option<T> {
        let value = self.required_value(field)?;
        self.nested(value, entity, &read)
    }

    /// Whether the table has `field`.
    pub fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// Reports every field of the table that was not read, as an unknown field.
    pub fn finish(self) {
        let table = self.table;
        let known = self.known;
        let expected = format!("one of the fields of {}: {}", self.entity, known.join(", "));
        for name in table.keys() {
            let is_known = known.contains(&name.get_ref().as_ref());
            if is_known {
                continue;
            }
            let offset = name.span().start;
            let found = format!("unknown field {}", context::quoted(name.get_ref()));
            self.context
                .add_finding(offset, FindingKind::UnknownField, found, expected.clone());
        }
    }

    /// Reports that `what` is missing in the table, at the position of the table.
    pub fn report_missing(&mut self, what: &str, expected: &str) {
        let found = format!("no {what} in {}", self.entity);
        self.context
            .add_finding(self.offset, FindingKind::MissingField, found, expected);
    }

    fn nested<T>(
        &mut self,
        value: &'a LeafValue<'i>,
        entity: &'static str,
        read: impl Fn(&mut TableReader<'_, 'i>) -> Option<T>,
    ) -> Option<T> {
        let Some(table) = value.get_ref().as_table() else {
            self.report_wrong_type(value, &format!("a table that describes {entity}"));
            return None;
        };
        let offset = value.span().start;
        let mut reader = TableReader::new(self.context, table, entity, offset);
        let row = read(&mut reader);
        reader.finish();
        row
    }

    fn value(&mut self, field: &'static str) -> Option<&'a LeafValue<'i>> {
        self.known.push(field);
        self.table.get(field)
    }

    fn required_value(&mut self, field: &'static str) -> Option<&'a LeafValue<'i>> {
        let value = self.value(field);
        if value.is_none() {
            self.report_missing(&format!("`{field}`"), &format!("the field `{field}`"));
        }
        value
    }

    fn leaf<T>(
        &mut self,
        value: &LeafValue<'_>,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Option<Spanned<T>> {
        match read(value) {
            Ok(item) => Some(Spanned::new(value.span(), item)),
            Err(mismatch) => {
                let offset = value.span().start;
                self.context
                    .add_finding(offset, mismatch.kind, mismatch.found, mismatch.expected);
                None
            }
        }
    }

    fn list<T>(
        &mut self,
        value: &LeafValue<'_>,
        read: impl Fn(&LeafValue<'_>) -> Result<T, LeafMismatch>,
    ) -> Vec<Spanned<T>> {
        let DeValue::Array(array) = value.get_ref() else {
            self.report_wrong_type(value, "an array");
            return Vec::new();
        };
        array
            .iter()
            .filter_map(|element| self.leaf(element, &read))
            .collect()
    }

    fn report_wrong_type(&mut self, value: &LeafValue<'_>, expected: &str) {
        let mismatch = leaf::mismatch(FindingKind::WrongType, value, expected);
        let offset = value.span().start;
        self.context
            .add_finding(offset, mismatch.kind, mismatch.found, mismatch.expected);
    }
}
