//! Generates the Rust code of a node's settings from schema/settings.json. Used by developers only,
//! not part of a release.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The parts of the JSON schema that the generator reads.
#[derive(Deserialize)]
struct Schema {
    required: Vec<String>,
    #[serde(rename = "x-order")]
    order: Vec<String>,
    properties: BTreeMap<String, Property>,
}

/// Schema of one setting.
#[derive(Deserialize)]
struct Property {
    #[serde(rename = "x-kind")]
    kind: String,
    description: String,
    default: Option<serde_json::Value>,
    #[serde(default, rename = "enum")]
    choices: Vec<String>,
    #[serde(default)]
    minimum: u64,
    #[serde(default)]
    maximum: u64,
}

impl Property {
    /// Variant of `settings::spec::Kind`, and Rust type of the field.
    fn kind_and_type(&self) -> (&'static str, &'static str) {
        match self.kind.as_str() {
            "address" => ("Address", "SocketAddr"),
            "addresses" => ("Addresses", "Vec<SocketAddr>"),
            "bytes" => ("Bytes", "u64"),
            "choice" => ("Choice", "String"),
            "count" => ("Count", "usize"),
            "filter" => ("Filter", "String"),
            "keys" => ("Keys", "Vec<Secret>"),
            "log-format" => ("Choice", "Format"),
            "milliseconds" => ("Milliseconds", "Duration"),
            "name" => ("Name", "String"),
            "optional-address" => ("Address", "Option<SocketAddr>"),
            "url" => ("Url", "String"),
            other => panic!("unknown x-kind {other}"),
        }
    }

    /// Default as the text of a flag; empty if there is none.
    fn default_text(&self) -> String {
        match &self.default {
            Some(serde_json::Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }

    /// Default as a Rust expression.
    fn default_expression(&self) -> String {
        let text = self.default_text();
        match self.kind.as_str() {
            "address" => {
                let (ip, port) = text.rsplit_once(':').expect("a default address is ip:port");
                let ip = ip.replace('.', ", ");
                format!("SocketAddr::from(([{ip}], {port}))")
            }
            "bytes" | "count" => text,
            "log-format" => "Format::Text".to_owned(),
            "milliseconds" => format!("Duration::from_millis({text})"),
            "optional-address" => "None".to_owned(),
            "addresses" | "keys" => "Vec::new()".to_owned(),
            _ if text.is_empty() => "String::new()".to_owned(),
            _ => format!("{text:?}.to_owned()"),
        }
    }
}

/// Name of the field that a flag sets, without the unit.
fn field_name(flag: &str) -> String {
    let name = flag.strip_suffix("-ms").unwrap_or(flag);
    name.replace('-', "_")
}

/// Generates the Rust code of the settings from the text of the schema.
///
/// ```
/// let schema = r#"{ "required": [], "x-order": [], "properties": {} }"#;
/// assert!(schema::generate(schema).contains("pub struct Settings"));
/// ```
pub fn generate(schema: &str) -> String {
    let schema: Schema =
        serde_json::from_str(schema).expect("schema/settings.json is not a valid schema");
    assert_eq!(
        schema.order.len(),
        schema.properties.len(),
        "x-order must list every property"
    );
    let mut out = String::from(
        "//! Generated from schema/settings.json by schema/generate.sh.\n\n\
         use crate::log::Format;\n\
         use crate::secret::Secret;\n\
         use crate::spec::{Kind, Spec};\n\
         use crate::value::Value;\n\
         use std::net::SocketAddr;\n\
         use std::time::Duration;\n\n",
    );
    write_struct(&mut out, &schema);
    write_default(&mut out, &schema);
    write_field_lookup(&mut out, &schema);
    write_specs(&mut out, &schema);
    out
}

fn write_struct(out: &mut String, schema: &Schema) {
    out.push_str(
        "/// Settings of a node.\n#[derive(Clone, Debug, PartialEq)]\npub struct Settings {\n",
    );
    for flag in &schema.order {
        let property = &schema.properties[flag];
        let (_, rust_type) = property.kind_and_type();
        let _ = writeln!(
            out,
            "/// {}.\npub {}: {rust_type},",
            property.description,
            field_name(flag)
        );
    }
    out.push_str("}\n\n");
}

fn write_default(out: &mut String, schema: &Schema) {
    out.push_str("impl Default for Settings {\nfn default() -> Self {\nSelf {\n");
    for flag in &schema.order {
        let default = schema.properties[flag].default_expression();
        let _ = writeln!(out, "{}: {default},", field_name(flag));
    }
    out.push_str("}\n}\n}\n\n");
}

fn write_field_lookup(out: &mut String, schema: &Schema) {
    out.push_str("impl Settings {\n/// The field that a flag sets.\npub(crate) fn field(&mut self, flag: &str) -> Option<&mut dyn Value> {\nSome(match flag {\n");
    for flag in &schema.order {
        let _ = writeln!(out, "{flag:?} => &mut self.{},", field_name(flag));
    }
    out.push_str("_ => return None,\n})\n}\n}\n\n");
}

fn write_specs(out: &mut String, schema: &Schema) {
    out.push_str("/// All settings in the order of the help.\npub const SPECS: &[Spec] = &[\n");
    for flag in &schema.order {
        let property = &schema.properties[flag];
        let (kind, _) = property.kind_and_type();
        let env = format!("SARDINEBANK_{}", flag.replace('-', "_").to_uppercase());
        let _ = writeln!(
            out,
            "Spec {{\nflag: {flag:?},\nenv: {env:?},\nkind: Kind::{kind},\ndefault: {:?},\nchoices: &{:?},\nrequired: {},\nminimum: {},\nmaximum: {},\nhelp: {:?},\n}},",
            property.default_text(),
            property.choices,
            schema.required.contains(flag),
            property.minimum,
            property.maximum,
            property.description,
        );
    }
    out.push_str("];\n");
}
