//! Validation of fleet files, which reports all findings rather than only the first.

use pw_base::prelude::*;
use strum::{AsRefStr, EnumIter, EnumMessage};

use crate::document::FleetDocument;
use crate::rules::{FleetSections, check_rules};
use crate::spec::FleetSpec;

/// Maximum size of a fleet file in bytes.
pub const MAX_FLEET_BYTES: usize = 16 * 1024 * 1024;

/// Kind of a finding in a fleet file; its code is stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, EnumIter, EnumMessage)]
pub enum FindingCode {
    /// The file is not TOML.
    #[strum(serialize = "F001", message = "The file is not TOML.")]
    Syntax,
    /// The file is not UTF-8.
    #[strum(serialize = "F002", message = "The file is not UTF-8.")]
    Encoding,
    /// The file exceeds the maximum size.
    #[strum(serialize = "F003", message = "The file is larger than the bound.")]
    TooLarge,
    /// A field is unknown or its value has the wrong type or is out of range.
    #[strum(
        serialize = "F004",
        message = "A field is unknown or its value is malformed."
    )]
    Field,
    /// A required field is missing.
    #[strum(serialize = "F005", message = "A required field is missing.")]
    Missing,
    /// A name has characters that are not allowed, or is empty or too long.
    #[strum(serialize = "F006", message = "A name is malformed.")]
    Name,
    /// Two elements of the same kind have the same name.
    #[strum(serialize = "F007", message = "A name is declared twice.")]
    Duplicate,
    /// A name refers to an element that is not declared.
    #[strum(serialize = "F008", message = "A name refers to nothing.")]
    Dangling,
    /// A worker is listed in several pools, or twice in the same pool.
    #[strum(serialize = "F009", message = "A worker is claimed more than once.")]
    ClaimedTwice,
    /// A worker is not listed in any pool.
    #[strum(serialize = "F010", message = "A worker is in no pool.")]
    Unclaimed,
    /// An availability budget can't be met or allows no maintenance.
    #[strum(serialize = "F011", message = "An availability budget is impossible.")]
    Budget,
    /// An account's upper limit is below the number of slots that its share entitles it to.
    #[strum(
        serialize = "F012",
        message = "An upper limit is under the account's share."
    )]
    LimitUnderShare,
    /// Two keys have the same digest.
    #[strum(serialize = "F013", message = "A key is granted twice.")]
    KeyTwice,
    /// A number or duration must be above 0.
    #[strum(serialize = "F014", message = "A number or duration must be above 0.")]
    Zero,
    /// A queue's deadline is shorter than its run timeout, so long runs can't finish in time.
    #[strum(
        serialize = "F015",
        message = "A queue's deadline is shorter than its run timeout."
    )]
    Deadline,
    /// A rack name is used in two availability zones.
    #[strum(
        serialize = "F016",
        message = "A rack stands in two availability zones."
    )]
    RackSplit,
}

/// Parses and validates the bytes of a fleet file; findings refer to it as `file`.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by their place in the file.
pub fn check_bytes(file: &str, bytes: &[u8]) -> Result<FleetSpec, Vec<FileFinding>> {
    match std::str::from_utf8(bytes) {
        Ok(text) => check_fleet(file, text),
        Err(error) => {
            let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
            Err(vec![FileFinding {
                place: LineIndex::new(file, &valid).place(valid.len()),
                code: FindingCode::Encoding.as_ref().to_owned(),
                message: "the file is not UTF-8 from here on".to_owned(),
                hint: "save the file as UTF-8".to_owned(),
            }])
        }
    }
}

/// Parses and validates the text of a fleet file; findings refer to it as `file`.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by their place in the file.
pub fn check_fleet(file: &str, text: &str) -> Result<FleetSpec, Vec<FileFinding>> {
    if text.len() > MAX_FLEET_BYTES {
        return Err(vec![FileFinding {
            place: LineIndex::new(file, "").place(0),
            code: FindingCode::TooLarge.as_ref().to_owned(),
            message: format!(
                "the file has {} bytes, more than {MAX_FLEET_BYTES}",
                text.len()
            ),
            hint: "split the fleet".to_owned(),
        }]);
    }
    let mut document = FleetDocument::parse(file, text);
    if document.has_syntax_errors() {
        return Err(document.into_findings());
    }
    let sections = FleetSections::read(&mut document);
    check_rules(&sections, &mut document);
    let findings = document.into_findings();
    if findings.is_empty() {
        Ok(sections.into_spec())
    } else {
        Err(findings)
    }
}
