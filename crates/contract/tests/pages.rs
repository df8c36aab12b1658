//! Objects in the documentation must be valid together with the samples, and every field must be
//! documented.

use contract::Config;
use contract::file::{Source, read};
use std::fs;

fn samples() -> Config {
    let files = fs::read_dir("../../samples").unwrap();
    let sources: Vec<_> = files
        .map(|file| file.unwrap().path())
        .map(|path| Source::new(path.to_string_lossy(), fs::read_to_string(&path).unwrap()))
        .collect();
    Config::new(0, read(&sources, &Config::default()).objects)
}

macro_rules! pages {
    ($($name:ident: $path:literal;)*) => {$(
        #[test]
        fn $name() {
            let text = fs::read_to_string(concat!("../../", $path)).unwrap();
            let blocks: Vec<_> = text.split("```toml\n").skip(1).collect();
            assert!(!blocks.is_empty());
            for block in blocks {
                let block = block.split("```").next().unwrap();
                let contents = read(&[Source::new($path, block)], &samples());
                assert_eq!(contents.problems, [], "{block}");
                assert!(!contents.objects.is_empty());
            }
        }
    )*};
}

pages! {
    first_contract: "README.md";
    contract_in_the_reference: "docs/CONTRACTS.md";
}

#[test]
fn each_field_is_documented() {
    let page = fs::read_to_string("../../docs/CONTRACTS.md").unwrap();
    let schema = fs::read_to_string("../../schema/contract.json").unwrap();
    let schema: serde_json::Value = serde_json::from_str(&schema).unwrap();
    for (kind, definition) in schema["definitions"].as_object().unwrap() {
        if kind == "Member" {
            continue;
        }
        for field in definition["properties"].as_object().unwrap().keys() {
            let spellings = [format!("`{field}`"), format!(".{field}`")];
            assert!(
                spellings.iter().any(|spelling| page.contains(spelling)),
                "{kind}: {field}"
            );
        }
    }
}
