//! One parsed file: its objects as JSON, and the locations of their parts.

use serde_json::Value as Json;
use toml_edit::{Document, Item, Table, TableLike, Value};

/// Objects of one kind under one heading.
pub(super) struct Entry {
    /// Kind of object, the heading's name.
    pub kind: String,
    /// Body of the object.
    pub body: Json,
    /// The object in the file.
    pub item: Item,
    /// First byte of the heading.
    pub start: usize,
}

/// Splits a file into objects.
pub(super) fn entries(document: &Document<&str>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (kind, item) in document.iter() {
        match item {
            Item::ArrayOfTables(tables) => {
                let items = tables.iter().map(|table| Item::Table(table.clone()));
                entries.extend(items.map(|item| entry(document, kind, item)));
            }
            other => entries.push(entry(document, kind, other.clone())),
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
    /// First byte of the part that a JSON pointer names, or of the closest part around it.
    pub(super) fn offset(&self, pointer: &str) -> usize {
        let mut offset = self.start;
        let mut item = Some(self.item.clone());
        for step in pointer.split('/').skip(1) {
            let step = step.replace("~1", "/").replace("~0", "~");
            let Some((start, next)) = item.as_ref().and_then(|item| child(item, &step)) else {
                return offset;
            };
            offset = start.unwrap_or(offset);
            item = Some(next);
        }
        offset
    }
}

fn child(item: &Item, step: &str) -> Option<(Option<usize>, Item)> {
    let start = |span: Option<std::ops::Range<usize>>| span.map(|span| span.start);
    if let Some(table) = item.as_table_like() {
        let next = table.get(step)?;
        let key = table_key(table, step);
        let own = if next.is_value() { next.span() } else { None };
        return Some((start(own.or(key)), next.clone()));
    }
    let index: usize = step.parse().ok()?;
    let next = match item {
        Item::ArrayOfTables(tables) => Item::Table(tables.get(index)?.clone()),
        other => Item::Value(other.as_array()?.get(index)?.clone()),
    };
    Some((start(next.span()), next))
}

fn table_key(table: &dyn TableLike, step: &str) -> Option<std::ops::Range<usize>> {
    table.get_key_value(step).and_then(|(key, _)| key.span())
}
