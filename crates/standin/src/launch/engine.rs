//! Command-line syntax for the settings of an engine.

use crate::{Error, engine};
use std::str::FromStr;
use std::time::Duration;

/// Availability zone and settings of an engine, parsed from text such as
/// `small@1,zone=a,quality=0.8,first_token_ms=20`.
#[derive(Clone, Debug, Default)]
pub struct EngineSpec {
    /// Availability zone.
    pub zone: String,
    /// Settings of the engine.
    pub settings: engine::Settings,
}

impl FromStr for EngineSpec {
    type Err = Error;

    /// ```
    /// let spec: standin::launch::EngineSpec = "small@1,zone=a,slots=4".parse()?;
    /// assert_eq!((spec.zone.as_str(), spec.settings.slots), ("a", 4));
    /// assert!("small".parse::<standin::launch::EngineSpec>().is_err());
    /// # Ok::<(), standin::Error>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.split(',');
        let served = parts.next().unwrap_or_default();
        let (model, version) = served
            .split_once('@')
            .ok_or_else(|| invalid("engine", served, "model@version"))?;
        let mut spec = Self::default();
        model.clone_into(&mut spec.settings.model);
        version.clone_into(&mut spec.settings.version);
        for part in parts {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| invalid("engine", part, "name=value"))?;
            spec.set(name, value)?;
        }
        Ok(spec)
    }
}

impl EngineSpec {
    fn set(&mut self, name: &str, value: &str) -> Result<(), Error> {
        let settings = &mut self.settings;
        match name {
            "zone" => value.clone_into(&mut self.zone),
            "listen" => settings.listen = read(value, "ip:port")?,
            "quality" => settings.quality = read(value, "a number from 0 to 1")?,
            "first_token_ms" => settings.first_token = millis(value)?,
            "inter_token_ms" => settings.inter_token = millis(value)?,
            "words" => settings.words = read(value, "a number")?,
            "slots" => settings.slots = read(value, "a number")?,
            "cold_slots" => settings.cold_slots = read(value, "a number")?,
            "warm_after" => settings.warm_after = read(value, "a number")?,
            "cold" => settings.cold = read(value, "true or false")?,
            "fenced" => settings.fenced = read(value, "true or false")?,
            "fallible" => settings.fallible = read(value, "true or false")?,
            "queue" => settings.queue = read(value, "a number")?,
            "poison" => settings.poison = Some(value.to_owned()),
            _ => return Err(invalid("engine", name, "the name of a setting")),
        }
        Ok(())
    }
}

fn millis(value: &str) -> Result<Duration, Error> {
    read(value, "milliseconds").map(Duration::from_millis)
}

fn read<T: FromStr>(value: &str, expected: &'static str) -> Result<T, Error> {
    value
        .parse()
        .map_err(|_| invalid("engine", value, expected))
}

fn invalid(name: &'static str, found: &str, expected: &'static str) -> Error {
    Error::Setting {
        name,
        found: found.to_owned(),
        expected,
    }
}
