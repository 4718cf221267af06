//! Every file in `findings/` names in its `# expect:` lines exactly the findings that it gives.

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
        .filter_map(|l| l.strip_prefix("# expect: "))
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
