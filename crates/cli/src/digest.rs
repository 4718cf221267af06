//! `digest`: prints the digest of a key for a fleet file.

use std::io::{self, Read};

use anyhow::{Context, ensure};
use argh::FromArgs;
use pw_account::prelude::*;

use crate::command::ExitStatus;
use crate::output::print_lines;

/// Reads a key from standard input and prints the digest that a fleet file stores.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct DigestArgs {}

/// Prints the digest of the key on standard input, without trailing line breaks.
///
/// # Errors
///
/// Fails if standard input is not UTF-8 or the key is empty.
pub fn run(_args: &DigestArgs) -> anyhow::Result<ExitStatus> {
    let mut key = String::new();
    io::stdin()
        .read_to_string(&mut key)
        .context("can't read the key")?;
    let key = key.trim_end_matches(['\r', '\n']);
    ensure!(!key.is_empty(), "the key is empty");
    print_lines([String::from(digest_key(key))])?;
    Ok(ExitStatus::Success)
}
