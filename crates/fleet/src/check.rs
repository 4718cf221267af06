//! Checks of a fleet file; every finding is reported, not only the first.

use pw_base::prelude::*;
use strum::{AsRefStr, EnumIter, EnumMessage};

use crate::document::FleetDocument;
use crate::rules::{FleetSections, check_rules};
use crate::spec::FleetSpec;

/// Largest fleet file in bytes.
pub const MAX_FLEET_BYTES: usize = 16 * 1024 * 1024;

/// Stable code of a kind of finding in a fleet file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, EnumIter, EnumMessage)]
pub enum FindingCode {
    /// The file is not TOML.
    #[strum(serialize = "F001", message = "The file is not TOML.")]
    Syntax,
    /// The file is not UTF-8.
    #[strum(serialize = "F002", message = "The file is not UTF-8.")]
    Encoding,
    /// The file is larger than the bound.
    #[strum(serialize = "F003", message = "The file is larger than the bound.")]
    TooLarge,
    /// A field is unknown or its value has the wrong type or range.
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
    /// Two things of the same kind have the same name.
    #[strum(serialize = "F007", message = "A name is declared twice.")]
    Duplicate,
    /// A name refers to nothing.
    #[strum(serialize = "F008", message = "A name refers to nothing.")]
    Dangling,
    /// More than one pool claims a worker, or one pool claims it twice.
    #[strum(serialize = "F009", message = "A worker is claimed more than once.")]
    ClaimedTwice,
    /// No pool claims a worker.
    #[strum(serialize = "F010", message = "A worker is in no pool.")]
    Unclaimed,
    /// An availability budget can't be kept or allows no maintenance.
    #[strum(serialize = "F011", message = "An availability budget is impossible.")]
    Budget,
    /// An account's upper limit is under what its share entitles it to.
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
    /// A queue's tasks can't finish before its deadline.
    #[strum(
        serialize = "F015",
        message = "A queue's deadline is shorter than its run timeout."
    )]
    Deadline,
    /// A rack stands in two availability zones.
    #[strum(
        serialize = "F016",
        message = "A rack stands in two availability zones."
    )]
    RackSplit,
}

/// Reads and checks the bytes of a fleet file; `file` names it in the findings.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by place.
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

/// Reads and checks the text of a fleet file; `file` names it in the findings.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by place.
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
    if document.is_malformed() {
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
