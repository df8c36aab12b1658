//! Parsing and formatting of setting values.

use crate::log::Format;
use crate::secret::Secret;
use crate::spec::{Kind, MAX_NAME_CHARS, Spec};
use std::net::SocketAddr;
use std::time::Duration;

/// A field of the settings that can be parsed from text.
pub(crate) trait Value {
    /// Sets the field from text; `None` if the text isn't valid for the setting.
    fn set(&mut self, texts: &[String], spec: &Spec) -> Option<()>;

    /// Formats the value without its unit; keys are redacted.
    fn format(&self) -> String;
}

fn single(texts: &[String]) -> Option<&str> {
    match texts {
        [one] => Some(one),
        _ => None,
    }
}

fn parse_number(texts: &[String], spec: &Spec) -> Option<u64> {
    let number = single(texts)?.parse().ok()?;
    (spec.minimum..=spec.maximum)
        .contains(&number)
        .then_some(number)
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let host = rest.split('/').next().unwrap_or_default();
    !host.is_empty() && !host.contains('@') && rest.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Value for String {
    fn set(&mut self, texts: &[String], spec: &Spec) -> Option<()> {
        let text = single(texts)?;
        let valid = match spec.kind {
            Kind::Choice => spec.choices.contains(&text),
            Kind::Name => is_name(text),
            Kind::Url => is_url(text),
            _ => !text.is_empty(),
        };
        *self = valid.then(|| text.trim_end_matches('/').to_owned())?;
        Some(())
    }

    fn format(&self) -> String {
        self.clone()
    }
}

impl Value for SocketAddr {
    fn set(&mut self, texts: &[String], _: &Spec) -> Option<()> {
        *self = single(texts)?.parse().ok()?;
        Some(())
    }

    fn format(&self) -> String {
        self.to_string()
    }
}

impl Value for Vec<SocketAddr> {
    fn set(&mut self, texts: &[String], _: &Spec) -> Option<()> {
        *self = texts
            .iter()
            .map(|text| text.parse().ok())
            .collect::<Option<_>>()?;
        Some(())
    }

    fn format(&self) -> String {
        let values: Vec<_> = self.iter().map(SocketAddr::to_string).collect();
        values.join(" ")
    }
}

impl Value for Option<SocketAddr> {
    fn set(&mut self, texts: &[String], _: &Spec) -> Option<()> {
        *self = Some(single(texts)?.parse().ok()?);
        Some(())
    }

    fn format(&self) -> String {
        self.map(|address| address.to_string()).unwrap_or_default()
    }
}

impl Value for Duration {
    fn set(&mut self, texts: &[String], spec: &Spec) -> Option<()> {
        *self = Duration::from_millis(parse_number(texts, spec)?);
        Some(())
    }

    fn format(&self) -> String {
        self.as_millis().to_string()
    }
}

impl Value for u64 {
    fn set(&mut self, texts: &[String], spec: &Spec) -> Option<()> {
        *self = parse_number(texts, spec)?;
        Some(())
    }

    fn format(&self) -> String {
        self.to_string()
    }
}

impl Value for usize {
    fn set(&mut self, texts: &[String], spec: &Spec) -> Option<()> {
        *self = parse_number(texts, spec)?.try_into().ok()?;
        Some(())
    }

    fn format(&self) -> String {
        self.to_string()
    }
}

impl Value for Format {
    fn set(&mut self, texts: &[String], _: &Spec) -> Option<()> {
        *self = match single(texts)? {
            "json" => Format::Json,
            "text" => Format::Text,
            _ => return None,
        };
        Some(())
    }

    fn format(&self) -> String {
        match self {
            Format::Json => "json".to_owned(),
            Format::Text => "text".to_owned(),
        }
    }
}

impl Value for Vec<Secret> {
    fn set(&mut self, texts: &[String], _: &Spec) -> Option<()> {
        let keys: Vec<_> = texts.iter().map(Secret::new).collect();
        if keys.is_empty() || !keys.iter().all(Secret::is_valid) {
            return None;
        }
        *self = keys;
        Some(())
    }

    fn format(&self) -> String {
        let values: Vec<_> = self.iter().map(Secret::to_string).collect();
        values.join(" ")
    }
}
