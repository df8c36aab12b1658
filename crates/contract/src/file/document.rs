//! Splits a parsed file into objects, as JSON, and locates their parts in the text.

use serde_json::Value as Json;
use toml_edit::{Document, Item, Table, TableLike, Value};

/// One object of a file.
pub(super) struct Entry {
    /// Kind of object, which is the name of its table.
    pub kind: String,
    /// Body of the object as JSON.
    pub body: Json,
    /// The object as TOML, with the spans of its parts.
    pub item: Item,
    /// Byte offset of the table header.
    pub start: usize,
}

/// Splits a file into objects. A kind is either an array of tables or a single table.
pub(super) fn entries(document: &Document<&str>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (kind, item) in document.iter() {
        match item {
            Item::ArrayOfTables(tables) => {
                let items = tables.iter().map(|table| Item::Table(table.clone()));
                entries.extend(items.map(|item| entry(document, kind, item)));
            }
            single => entries.push(entry(document, kind, single.clone())),
        }
    }
    entries
}

fn entry(document: &Document<&str>, kind: &str, item: Item) -> Entry {
    let key_span = document
        .as_table()
        .get_key_value(kind)
        .and_then(|(key, _)| key.span());
    let span = item.span().or(key_span);
    Entry {
        kind: kind.to_owned(),
        body: json(&item),
        start: span.map_or(0, |span| span.start),
        item,
    }
}

fn json(item: &Item) -> Json {
    match item {
        Item::None => Json::Null,
        Item::Value(value) => value_json(value),
        Item::Table(table) => table_json(table),
        Item::ArrayOfTables(tables) => tables.iter().map(table_json).collect(),
    }
}

fn table_json(table: &Table) -> Json {
    let fields = table.iter().map(|(key, item)| (key.to_owned(), json(item)));
    Json::Object(fields.collect())
}

fn value_json(value: &Value) -> Json {
    match value {
        Value::String(text) => Json::from(text.value().as_str()),
        Value::Integer(number) => Json::from(*number.value()),
        Value::Float(number) => Json::from(*number.value()),
        Value::Boolean(flag) => Json::from(*flag.value()),
        Value::Datetime(time) => Json::from(time.value().to_string()),
        Value::Array(array) => array.iter().map(value_json).collect(),
        Value::InlineTable(table) => {
            let fields = table
                .iter()
                .map(|(key, value)| (key.to_owned(), value_json(value)));
            Json::Object(fields.collect())
        }
    }
}

impl Entry {
    /// Byte offset of the part that a JSON pointer refers to, or of its closest existing ancestor.
    pub(super) fn offset(&self, pointer: &str) -> usize {
        let mut offset = self.start;
        let mut item = Some(self.item.clone());
        for segment in pointer.split('/').skip(1) {
            let segment = segment.replace("~1", "/").replace("~0", "~");
            let Some((start, next)) = item.as_ref().and_then(|item| child(item, &segment)) else {
                return offset;
            };
            offset = start.unwrap_or(offset);
            item = Some(next);
        }
        offset
    }
}

/// The child of an item by field name or index, with its byte offset.
fn child(item: &Item, segment: &str) -> Option<(Option<usize>, Item)> {
    let start = |span: Option<std::ops::Range<usize>>| span.map(|span| span.start);
    if let Some(table) = item.as_table_like() {
        let next = table.get(segment)?;
        let key = key_span(table, segment);
        let value = if next.is_value() { next.span() } else { None };
        return Some((start(value.or(key)), next.clone()));
    }
    let index: usize = segment.parse().ok()?;
    let next = match item {
        Item::ArrayOfTables(tables) => Item::Table(tables.get(index)?.clone()),
        other => Item::Value(other.as_array()?.get(index)?.clone()),
    };
    Some((start(next.span()), next))
}

fn key_span(table: &dyn TableLike, name: &str) -> Option<std::ops::Range<usize>> {
    table.get_key_value(name).and_then(|(key, _)| key.span())
}
