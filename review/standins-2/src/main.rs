//! Plays one case: `case NAME PROGRAM FOLDER`. Ends with 0 if the rule held, 1 if it was broken, and 2 if
//! the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod base64;
mod cases;
mod http;
mod json;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case is played with.
pub struct Play {
    pub program: PathBuf,
    pub folder: PathBuf,
    /// Folder for what nodes need and write.
    pub scratch: PathBuf,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, program, folder] = &arguments[..] else {
        eprintln!("case NAME PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let play = Play {
        program: program.into(),
        folder: folder.into(),
        scratch: scratch.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = std::fs::create_dir_all(&scratch).and_then(|()| cases::play(name, &play));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
