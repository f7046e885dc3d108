//! Reads typed fields from a JSON object and reports invalid, missing, unknown
//! and repeated fields as findings with line and column.

use std::collections::HashSet;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use wheelmast_core::finding::{suggest_name, FindingList, FindingPlace};

use crate::settings::model::ClientLimits;

/// Reads the fields of one JSON object and records the names that were read, so
/// that [`ObjectReader::finish`] can report all other fields as unknown.
///
/// Each method that reads a field returns nothing if the field is missing, and
/// adds a finding if the field's value is invalid.
pub struct ObjectReader<'a, 't> {
    text: &'t str,
    object: &'a Object<'t>,
    known_fields: HashSet<&'static str>,
}

impl<'a, 't> ObjectReader<'a, 't> {
    /// Returns a reader for `object`, which was parsed from `text`.
    pub fn new(text: &'t str, object: &'a Object<'t>) -> ObjectReader<'a, 't> {
        ObjectReader {
            text,
            object,
            known_fields: HashSet::new(),
        }
    }

    /// Returns the line and column of a JSON node.
    pub fn place_of(&self, node: &impl Ranged) -> FindingPlace {
        find_place(self.text, node.range())
    }

    /// Returns the line and column where the object starts.
    pub fn object_place(&self) -> FindingPlace {
        self.place_of(self.object)
    }

    /// Returns the value of a field, if the object has the field.
    pub fn find_field(&mut self, name: &'static str) -> Option<&'a Value<'t>> {
        self.known_fields.insert(name);
        self.object.get(name).map(|property| &property.value)
    }

    /// Reads a string that must not be empty.
    pub fn read_string(
        &mut self,
        name: &'static str,
        findings: &mut FindingList,
    ) -> Option<String> {
        let value = self.find_field(name)?;
        match value.as_string_lit() {
            Some(text) if !text.value.is_empty() => Some(text.value.to_string()),
            _ => {
                self.report_invalid(value, name, "a text that is not empty", findings);
                None
            }
        }
    }

    /// Reads a string and parses it as a `T`. `expected` describes a valid value.
    pub fn read_parsed<T: std::str::FromStr>(
        &mut self,
        name: &'static str,
        expected: &str,
        findings: &mut FindingList,
    ) -> Option<T> {
        let value = self.find_field(name)?;
        let text = value.as_string_lit();
        let parsed = text.and_then(|text| text.value.parse().ok());
        if parsed.is_none() {
            self.report_invalid(value, name, expected, findings);
        }
        parsed
    }

    /// Reads an integer from `minimum` to `maximum`.
    pub fn read_integer(
        &mut self,
        name: &'static str,
        minimum: u32,
        maximum: u32,
        findings: &mut FindingList,
    ) -> Option<u32> {
        let value = self.find_field(name)?;
        let literal = value.as_number_lit();
        let number = literal.and_then(|literal| literal.value.parse::<u32>().ok());
        let number = number.filter(|number| (minimum..=maximum).contains(number));
        if number.is_none() {
            let expected = format!("a whole number from {minimum} to {maximum}");
            self.report_invalid(value, name, &expected, findings);
        }
        number
    }

    /// Reads a finite number that is zero or greater.
    pub fn read_decimal(&mut self, name: &'static str, findings: &mut FindingList) -> Option<f64> {
        let value = self.find_field(name)?;
        let literal = value.as_number_lit();
        let number = literal.and_then(|literal| literal.value.parse::<f64>().ok());
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            self.report_invalid(value, name, "a number from 0", findings);
        }
        number
    }

    /// Reads a list of strings and parses each as a `T`. `expected` describes a
    /// valid value.
    pub fn read_parsed_list<T: std::str::FromStr>(
        &mut self,
        name: &'static str,
        expected: &str,
        findings: &mut FindingList,
    ) -> Vec<T> {
        let Some(value) = self.find_field(name) else {
            return Vec::new();
        };
        let items = value.as_array().map(|array| {
            let items = array.elements.iter();
            items
                .map(|item| item.as_string_lit()?.value.parse().ok())
                .collect::<Option<Vec<T>>>()
        });
        let Some(Some(items)) = items else {
            self.report_invalid(value, name, &format!("a list, each {expected}"), findings);
            return Vec::new();
        };
        items
    }

    /// Reads a boolean.
    pub fn read_bool(&mut self, name: &'static str, findings: &mut FindingList) -> Option<bool> {
        let value = self.find_field(name)?;
        let flag = value.as_boolean_lit().map(|literal| literal.value);
        if flag.is_none() {
            self.report_invalid(value, name, "true or false", findings);
        }
        flag
    }

    /// Reads a string that must be one of `choices`. The finding for another
    /// string suggests the choice that is spelled most alike.
    pub fn read_choice(
        &mut self,
        name: &'static str,
        choices: &[&'static str],
        findings: &mut FindingList,
    ) -> Option<&'static str> {
        let value = self.find_field(name)?;
        let text = value.as_string_lit().map(|literal| &*literal.value);
        let found = choices
            .iter()
            .find(|choice| text == Some(**choice))
            .copied();
        if found.is_none() {
            let message = format!("{name}: must be one of {}", choices.join(", "));
            let hint = text.and_then(|text| suggest_name(text, choices.iter().copied()));
            findings.add_with_hint(self.place_of(value), message, hint);
        }
        found
    }

    /// Reads an object whose values are strings and whose names are free for the
    /// operator to choose. Returns the pairs of name and value.
    pub fn read_string_map(
        &mut self,
        name: &'static str,
        findings: &mut FindingList,
    ) -> Vec<(Box<str>, Box<str>)> {
        let Some(value) = self.find_field(name) else {
            return Vec::new();
        };
        let Some(object) = value.as_object() else {
            self.report_invalid(value, name, "an object of texts", findings);
            return Vec::new();
        };
        let mut names: Vec<(Box<str>, Box<str>)> = Vec::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let Some(text) = property.value.as_string_lit() else {
                self.report_invalid(&property.value, name, "an object of texts", findings);
                continue;
            };
            if names.iter().any(|(other, _)| **other == *key) {
                let message = format!("{name}: {key} is named twice");
                findings.add(self.property_place(property), message);
            }
            names.push((key.into(), text.value.as_ref().into()));
        }
        names
    }

    /// Returns a reader for a field that is an object.
    pub fn read_object(
        &mut self,
        name: &'static str,
        findings: &mut FindingList,
    ) -> Option<ObjectReader<'a, 't>> {
        let value = self.find_field(name)?;
        match value.as_object() {
            Some(object) => Some(ObjectReader::new(self.text, object)),
            None => {
                self.report_invalid(value, name, "an object", findings);
                None
            }
        }
    }

    /// Returns a reader for each object of a field that is a list of objects.
    pub fn read_object_list(
        &mut self,
        name: &'static str,
        findings: &mut FindingList,
    ) -> Vec<ObjectReader<'a, 't>> {
        let Some(value) = self.find_field(name) else {
            return Vec::new();
        };
        let objects = value.as_array().map(|array| {
            let objects = array.elements.iter().map(|element| element.as_object());
            objects.collect::<Option<Vec<_>>>()
        });
        let Some(Some(objects)) = objects else {
            self.report_invalid(value, name, "a list of objects", findings);
            return Vec::new();
        };
        let text = self.text;
        let readers = objects.into_iter();
        readers
            .map(|object| ObjectReader::new(text, object))
            .collect()
    }

    /// Reports a required field that the object does not have.
    pub fn require_field(&self, name: &'static str, findings: &mut FindingList) {
        if self.object.get(name).is_none() {
            findings.add(self.place_of(self.object), format!("{name}: missing"));
        }
    }

    /// Reports the object's fields that were never read as unknown, and fields
    /// that occur twice.
    pub fn finish(self, findings: &mut FindingList) {
        let mut seen = HashSet::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                findings.add(
                    self.property_place(property),
                    format!("{name}: named twice"),
                );
            }
            if !self.known_fields.contains(name) {
                let hint = suggest_name(name, self.known_fields.iter().copied());
                let message = format!("{name}: unknown key");
                findings.add_with_hint(self.property_place(property), message, hint);
            }
        }
    }

    fn property_place(&self, property: &ObjectProp<'_>) -> FindingPlace {
        find_place(self.text, property.range)
    }

    fn report_invalid(
        &self,
        value: &Value<'_>,
        name: &str,
        expected: &str,
        findings: &mut FindingList,
    ) {
        findings.add(self.place_of(value), format!("{name}: must be {expected}"));
    }
}

/// Returns the line and column in `text` where a range starts, counted from 1.
fn find_place(text: &str, range: Range) -> FindingPlace {
    let before = &text[..range.start];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    FindingPlace::Text {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Reads the limits on what clients make an instance hold.
pub(crate) fn read_client_limits(
    reader: &mut ObjectReader<'_, '_>,
    findings: &mut FindingList,
) -> ClientLimits {
    let default = ClientLimits::default();
    let connections = reader.read_integer("connections", 1, 100_000, findings);
    let memory = reader.read_integer("client_memory_mb", 1, 1_000_000, findings);
    ClientLimits {
        connections: connections.unwrap_or(default.connections),
        memory_mb: memory.unwrap_or(default.memory_mb),
    }
}
