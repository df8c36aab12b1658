//! Sample files must be valid, and each bad file must produce exactly the problems listed in its
//! `#>` comments.

use contract::Config;
use contract::file::{Source, read};
use std::path::Path;

/// Prefix of the lines of a bad file that list the expected problems.
const EXPECTED_PREFIX: &str = "#> ";

fn sample_sources() -> std::io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    for entry in std::fs::read_dir("../../samples")? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        sources.push(Source::new(name, std::fs::read_to_string(&path)?));
    }
    Ok(sources)
}

fn sample(path: &Path, text: String) -> datatest_stable::Result<()> {
    let base = Config::new(0, read(&sample_sources()?, &Config::default()).objects);
    let contents = read(&[Source::new("sample", text)], &base);
    assert!(!contents.objects.is_empty(), "{path:?}");
    assert_eq!(contents.problems, [], "{path:?}");
    Ok(())
}

fn bad(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix(EXPECTED_PREFIX))
        .collect();
    let base = Config::new(0, read(&sample_sources()?, &Config::default()).objects);
    let contents = read(&[Source::new("bad", text.clone())], &base);
    let found: Vec<_> = contents.problems.iter().map(ToString::to_string).collect();
    assert_eq!(found, expected, "{path:?}");
    assert!(!found.is_empty());
    Ok(())
}

datatest_stable::harness! {
    { test = sample, root = "../../samples", pattern = r"\.toml$" },
    { test = bad, root = "tests/bad", pattern = r"\.toml$" },
}
