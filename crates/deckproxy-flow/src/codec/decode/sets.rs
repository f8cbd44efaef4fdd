//! Reads the sets of a message: templates, options templates and data.

use super::{DecodeError, DecodedMessage, DecodedRecord, Domain, Limits, StoredTemplate};
use crate::codec::elements::EXPORTER;
use crate::codec::{
    ENTERPRISE_BIT, Element, FIRST_TEMPLATE_ID, Field, LONG_LENGTH, Template, VARIABLE_LENGTH, Value, Version,
};
use bytes::{Buf, Bytes};

/// Reads the sets of one message into `decoded`, and its templates into `domain`.
pub(super) struct SetReader<'a> {
    pub(super) version: Version,
    /// Milliseconds.
    pub(super) now: u64,
    pub(super) limits: &'a Limits,
    pub(super) domain: &'a mut Domain,
    pub(super) decoded: &'a mut DecodedMessage,
}

/// The content of a template's header.
struct TemplateHeader {
    id: u16,
    /// The number of scope fields; 0: the template describes flows.
    scope: u16,
    /// The number of fields, including those of the scope.
    fields: u16,
}

impl SetReader<'_> {
    pub(super) fn read_sets(&mut self, rest: &mut Bytes) -> Result<(), DecodeError> {
        while rest.len() >= 4 {
            let id = rest.get_u16();
            let length = usize::from(rest.get_u16());
            if length < 4 || length - 4 > rest.len() {
                return Err(DecodeError::InvalidLength);
            }
            self.read_set(id, rest.split_to(length - 4))?;
        }
        if rest.is_empty() { Ok(()) } else { Err(DecodeError::InvalidLength) }
    }

    fn read_set(&mut self, id: u16, mut set: Bytes) -> Result<(), DecodeError> {
        if id == self.version.template_set() {
            return self.read_templates(&mut set, false);
        }
        if id == self.version.options_template_set() {
            return self.read_templates(&mut set, true);
        }
        if id < FIRST_TEMPLATE_ID {
            // Reserved set ids (RFC 7011, 3.3.2) are skipped.
            return Ok(());
        }
        if let Some(stored) = self.domain.templates.get(&id) {
            read_records(&stored.template, self.limits, &mut set, self.decoded)
        } else {
            self.decoded.unknown_sets += 1;
            Ok(())
        }
    }

    fn read_templates(&mut self, set: &mut Bytes, is_options: bool) -> Result<(), DecodeError> {
        while set.len() >= 4 {
            let id = set.get_u16();
            let count = set.get_u16();
            let is_padding = id == 0 && count == 0;
            if is_padding {
                return Ok(());
            }
            let header = self.read_template_header(id, count, set, is_options)?;
            if self.version == Version::Ipfix && header.fields == 0 {
                self.withdraw(id);
                continue;
            }
            self.check_template(&header, is_options)?;
            let fields = self.read_fields(&header, set)?;
            self.store_template(Template { id, scope: header.scope, fields })?;
        }
        Ok(())
    }

    /// Reads the rest of a template's header after its id and first count.
    fn read_template_header(
        &self,
        id: u16,
        count: u16,
        set: &mut Bytes,
        is_options: bool,
    ) -> Result<TemplateHeader, DecodeError> {
        match self.version {
            Version::Ipfix if is_options && count > 0 => {
                Ok(TemplateHeader { id, scope: read_u16(set)?, fields: count })
            }
            // v9 counts the bytes of the scope and of the options instead of fields (RFC 3954, 6.1).
            Version::NetflowV9 if is_options => {
                let scope = count / 4;
                let options = read_u16(set)? / 4;
                let fields = scope.checked_add(options).ok_or(DecodeError::LimitExceeded)?;
                Ok(TemplateHeader { id, scope, fields })
            }
            Version::Ipfix | Version::NetflowV9 => Ok(TemplateHeader { id, scope: 0, fields: count }),
        }
    }

    /// Withdraws one template, or all of a kind if the id is that of the kind's set (RFC 7011, 8.1).
    fn withdraw(&mut self, id: u16) {
        self.decoded.templates += 1;
        let templates = &mut self.domain.templates;
        if id == self.version.template_set() {
            templates.retain(|_, stored| stored.template.scope != 0);
        } else if id == self.version.options_template_set() {
            templates.retain(|_, stored| stored.template.scope == 0);
        } else {
            templates.remove(&id);
        }
    }

    fn check_template(&self, header: &TemplateHeader, is_options: bool) -> Result<(), DecodeError> {
        let TemplateHeader { id, scope, fields } = *header;
        if id < FIRST_TEMPLATE_ID || fields == 0 || scope > fields || is_options && scope == 0 {
            return Err(DecodeError::InvalidTemplate);
        }
        if usize::from(fields) > self.limits.fields {
            return Err(DecodeError::LimitExceeded);
        }
        Ok(())
    }

    fn read_fields(&self, header: &TemplateHeader, set: &mut Bytes) -> Result<Vec<Field>, DecodeError> {
        (0..header.fields).map(|index| self.read_field(index < header.scope, set)).collect()
    }

    fn read_field(&self, is_scope: bool, set: &mut Bytes) -> Result<Field, DecodeError> {
        if set.len() < 4 {
            return Err(DecodeError::InvalidLength);
        }
        let number = set.get_u16();
        let length = set.get_u16();
        let element = match self.version {
            Version::Ipfix if number & ENTERPRISE_BIT != 0 => {
                if set.len() < 4 {
                    return Err(DecodeError::InvalidLength);
                }
                Element { id: number & !ENTERPRISE_BIT, enterprise: Some(set.get_u32()) }
            }
            // v9's scope types aren't element ids; they are stored as the exporter's element.
            Version::NetflowV9 if is_scope => Element { id: EXPORTER.id, enterprise: None },
            Version::Ipfix | Version::NetflowV9 => Element { id: number, enterprise: None },
        };
        if length == 0 || self.version == Version::NetflowV9 && length == VARIABLE_LENGTH {
            return Err(DecodeError::InvalidTemplate);
        }
        Ok(Field { element, length })
    }

    fn store_template(&mut self, template: Template) -> Result<(), DecodeError> {
        let templates = &mut self.domain.templates;
        if !templates.contains_key(&template.id) && templates.len() >= self.limits.templates {
            return Err(DecodeError::LimitExceeded);
        }
        self.decoded.templates += 1;
        templates.insert(template.id, StoredTemplate { template, defined_at: self.now });
        Ok(())
    }
}

fn read_u16(set: &mut Bytes) -> Result<u16, DecodeError> {
    if set.len() < 2 {
        return Err(DecodeError::InvalidLength);
    }
    Ok(set.get_u16())
}

fn read_records(
    template: &Template,
    limits: &Limits,
    set: &mut Bytes,
    decoded: &mut DecodedMessage,
) -> Result<(), DecodeError> {
    let min_length = template.min_record_length();
    // Remaining bytes that are fewer than the shortest record are padding.
    while set.len() >= min_length {
        if decoded.records.len() >= limits.records {
            return Err(DecodeError::LimitExceeded);
        }
        let values = read_values(template, set)?;
        decoded.records.push(DecodedRecord { scope: template.scope, values });
    }
    Ok(())
}

fn read_values(template: &Template, set: &mut Bytes) -> Result<Vec<(Element, Value)>, DecodeError> {
    let mut values = Vec::with_capacity(template.fields.len());
    for field in &template.fields {
        let length = match field.length {
            VARIABLE_LENGTH => read_value_length(set)?,
            fixed => usize::from(fixed),
        };
        if set.len() < length {
            return Err(DecodeError::InvalidLength);
        }
        values.push((field.element, Value::Bytes(set.split_to(length))));
    }
    Ok(values)
}

/// Reads the length before a value of variable length (RFC 7011, 7).
fn read_value_length(set: &mut Bytes) -> Result<usize, DecodeError> {
    if set.is_empty() {
        return Err(DecodeError::InvalidLength);
    }
    match set.get_u8() {
        LONG_LENGTH => Ok(usize::from(read_u16(set)?)),
        short => Ok(usize::from(short)),
    }
}
