//! Checks that the findings of each file in `findings/` equal those in its `# expect:` lines.

use std::path::Path;

use pw_fleet::prelude::*;

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let bytes = std::fs::read(path)?;
    let found: Vec<String> = check_bytes("fleet.toml", &bytes)
        .err()
        .unwrap_or_default()
        .iter()
        .map(|finding| {
            format!(
                "{} {}:{}",
                finding.code, finding.place.line, finding.place.column
            )
        })
        .collect();
    let text = String::from_utf8_lossy(&bytes);
    let expected: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# expect: "))
        .collect();
    if found == expected {
        Ok(())
    } else {
        Err(format!("found {found:#?}, expected {expected:#?}").into())
    }
}

datatest_stable::harness! {
    { test = check_case, root = "tests/findings", pattern = r".*\.toml$" },
    { test = check_case, root = "../../examples", pattern = r"^[^/]+\.toml$" },
}
